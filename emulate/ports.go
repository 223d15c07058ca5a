package emulate

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are taken from a range below those that systems hand out by themselves, so that nothing else
// takes them between their choice and their use.
const (
	firstPort = 15_000
	lastPort  = 30_000
)

// used are the ports that this process has handed out, so that none is handed out twice.
var (
	usedMu sync.Mutex
	used   = map[int]bool{}
)

// Addresses returns addresses of loopback whose ports are free for connections and datagrams.
func Addresses(n int) []string {
	usedMu.Lock()
	defer usedMu.Unlock()
	var list []string
	for len(list) < n {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if !used[port] && free(address) {
			used[port] = true
			list = append(list, address)
		}
	}
	return list
}

// free says whether nothing is at the address.
func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	p, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = p.Close()
	return true
}

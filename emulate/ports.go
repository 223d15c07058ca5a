package emulate

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Ports are taken from a range below those that systems hand out by themselves, so that nothing else
// takes them between their choice and their use. They come in blocks, each of which one process has for as long as it
// lives: it listens at the block's first port. A node that is stopped and started again finds its ports free, also
// while other tests and soaks draw theirs.
const (
	firstPort = 15_000
	lastPort  = 30_000
	blockSize = 100
	blocks    = (lastPort - firstPort) / blockSize
)

// ports are what one process may use.
type ports struct {
	mu sync.Mutex
	// marks are listened at for as long as their blocks are this process's.
	marks []net.Listener
	// next is the next port of the last block, and end the one after it.
	next, end int
}

var own ports

// Addresses returns addresses of loopback whose ports are free for connections and datagrams, and stay this process's.
func Addresses(n int) []string {
	return own.take(n)
}

func (p *ports) take(n int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []string
	for len(list) < n {
		if p.next == p.end {
			p.claim()
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		p.next++
		if free(address) {
			list = append(list, address)
		}
	}
	return list
}

// claim takes a block that no process has. It waits for one if there is none: tests that end give theirs back.
func (p *ports) claim() {
	for {
		first := firstPort + rand.IntN(blocks)*blockSize
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(first)))
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		p.marks = append(p.marks, l)
		p.next, p.end = first+1, first+blockSize
		return
	}
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

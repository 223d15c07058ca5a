package emulate

import (
	"io"
	"net"
	"sync"
	"time"
)

// pieceBytes is how much of a connection's bytes go over a link at a time, so that connections share it.
const pieceBytes = 8 << 10

// catchUp is how much of the time that a busy machine sleeps too long a link makes good.
const catchUp = 40 * time.Millisecond

// A Link struct is a node's link of limited bandwidth, which all that goes to the node and from it shares.
type Link struct {
	in, out pace
}

// NewLink returns a link that carries so many bytes a second each way.
func NewLink(bytesPerSecond int) *Link {
	return &Link{in: pace{rate: bytesPerSecond}, out: pace{rate: bytesPerSecond}}
}

// Relay relays datagrams and connections to the node over its link.
func (l *Link) Relay(udpFrom, udpTo, tcpFrom, tcpTo string) (*Relay, error) {
	return newRelay(udpFrom, udpTo, tcpFrom, tcpTo, &l.in, &l.out)
}

// Outwards relays the node's own connections to an address, from a free port, over its link. It returns where
// the node finds it, and ends with the listener.
func (l *Link) Outwards(to string) (net.Listener, error) {
	from, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := from.Accept()
			if err != nil {
				return
			}
			go l.outwards(c, to)
		}
	}()
	return from, nil
}

func (l *Link) outwards(c net.Conn, to string) {
	defer func() { _ = c.Close() }()
	d, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	go func() {
		l.in.copy(c, d)
		_ = c.Close()
	}()
	l.out.copy(d, c)
	_ = d.Close()
}

// A pace lets so many bytes a second pass, first come, first served. A nil pace lets all pass at once.
type pace struct {
	rate int

	mu   sync.Mutex
	free time.Time
}

// wait returns when the bytes have passed.
func (p *pace) wait(n int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	now := time.Now()
	if least := now.Add(-catchUp); p.free.Before(least) {
		p.free = least
	}
	p.free = p.free.Add(time.Duration(n) * time.Second / time.Duration(p.rate))
	pause := p.free.Sub(now)
	p.mu.Unlock()
	time.Sleep(pause)
}

// copy copies until either side ends.
func (p *pace) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		p.wait(n)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

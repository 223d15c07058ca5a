package emulate

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const perMille = 1000

// A Relay struct carries datagrams and connections to a node, and can cut what goes towards it
// while what comes from it still passes.
type Relay struct {
	udp *net.UDPConn
	tcp net.Listener
	cut atomic.Bool
	// loss is how many of a thousand datagrams are lost, and pieces after which a connection
	// breaks.
	loss atomic.Int32

	// towardsPace and backPace are of the node's link, if it is limited.
	towardsPace, backPace *pace

	mu    sync.Mutex
	conns []net.Conn
	done  chan struct{}
}

// NewRelay relays datagrams from udpFrom to udpTo, and connections from tcpFrom to tcpTo.
func NewRelay(udpFrom, udpTo, tcpFrom, tcpTo string) (r *Relay, err error) {
	return newRelay(udpFrom, udpTo, tcpFrom, tcpTo, nil, nil)
}

func newRelay(udpFrom, udpTo, tcpFrom, tcpTo string, towards, back *pace) (r *Relay, err error) {
	defer func() { err = errors.Wrap(err, "new relay") }()
	from, err := net.ResolveUDPAddr("udp", udpFrom)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp", udpTo)
	if err != nil {
		return nil, err
	}
	r = &Relay{towardsPace: towards, backPace: back, done: make(chan struct{})}
	if r.udp, err = net.ListenUDP("udp", from); err != nil {
		return nil, err
	}
	if r.tcp, err = net.Listen("tcp", tcpFrom); err != nil {
		_ = r.udp.Close()
		return nil, err
	}
	go r.datagrams(to)
	go r.accept(tcpTo)
	return r, nil
}

// SetCut cuts the way towards the node, or mends it.
func (r *Relay) SetCut(cut bool) {
	r.cut.Store(cut)
}

// SetLoss loses that share of what goes towards the node.
func (r *Relay) SetLoss(share float64) {
	r.loss.Store(int32(share * perMille))
}

func (r *Relay) lose() bool {
	return rand.Int32N(perMille) < r.loss.Load()
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.udp.Close()
	_ = r.tcp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// Done is closed when the relay has ended.
func (r *Relay) Done() <-chan struct{} {
	return r.done
}

func (r *Relay) datagrams(to *net.UDPAddr) {
	defer close(r.done)
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if !r.cut.Load() && !r.lose() {
			r.towardsPace.wait(n)
			_, _ = r.udp.WriteToUDP(buf[:n], to)
		}
	}
}

func (r *Relay) accept(to string) {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.connection(c, to)
	}
}

func (r *Relay) connection(c net.Conn, to string) {
	d, err := net.Dial("tcp", to)
	if err != nil {
		_ = c.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, c, d)
	r.mu.Unlock()
	go func() {
		r.backPace.copy(c, d)
		_ = c.Close()
	}()
	r.towards(d, c)
	_ = d.Close()
}

// towards copies to the node. While cut, it reads and drops, as a network would.
func (r *Relay) towards(to, from net.Conn) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if r.cut.Load() {
			continue
		}
		if r.lose() {
			return
		}
		r.towardsPace.wait(n)
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

package gateway

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

// maxDatagram is the largest datagram taken. Those sent are far smaller.
const maxDatagram = 8 << 10

// A wire sends and receives datagrams.
type wire struct {
	conn *net.UDPConn
}

func listenWire(address string) (w *wire, err error) {
	defer func() { err = errors.Wrapf(err, "listen for datagrams at %s", address) }()
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, err
	}
	return &wire{conn: c}, nil
}

// send is best effort, as datagrams are.
func (w *wire) send(p *tlv1.Parcel, addresses ...string) {
	if len(addresses) == 0 {
		return
	}
	b, err := proto.Marshal(p)
	if err != nil {
		return
	}
	for _, a := range addresses {
		if to, err := netip.ParseAddrPort(a); err == nil {
			_, _ = w.conn.WriteToUDPAddrPort(b, to)
		}
	}
}

// receive returns the next datagram, or an error once the wire is closed.
func (w *wire) receive(buf []byte) (*tlv1.Parcel, error) {
	for {
		n, _, err := w.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			continue
		}
		p := &tlv1.Parcel{}
		if proto.Unmarshal(buf[:n], p) == nil {
			return p, nil
		}
	}
}

// receive takes in datagrams until the wire is closed or the part is stopped.
func (n *Node) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.wire.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		p, err := n.wire.receive(buf)
		if err != nil {
			return
		}
		switch b := p.GetBody().(type) {
		case *tlv1.Parcel_Gossip:
			n.sendGossip(n.members.Receive(b.Gossip))
			n.peers.met(b.Gossip.GetFrom())
		case *tlv1.Parcel_Confirm:
			n.duty.hear(b.Confirm)
		case *tlv1.Parcel_Targets:
			n.roster.put(b.Targets.GetRecords())
		case *tlv1.Parcel_Report:
			n.services.hear(b.Report)
		}
	}
}

func (n *Node) sendGossip(sends []member.Send) {
	for _, s := range sends {
		n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Gossip{Gossip: s.Gossip}}, s.Address)
	}
}

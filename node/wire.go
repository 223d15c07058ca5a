package node

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

const (
	macSize = 16
	// maxDatagram is the largest datagram accepted. Those sent are far smaller.
	maxDatagram = 8 << 10
	// peerKeyContext separates the key for peers' HTTP requests from the signatures of datagrams.
	peerKeyContext = "tinladder peers' door"
)

// errBadSignature is returned for a datagram that no peer signed.
var errBadSignature = errors.New("datagram is not signed by a peer")

// A keyring holds the keys that peers share. The first one signs; all are accepted, so that a key
// can be replaced without interruption. Without keys nothing is signed.
type keyring struct {
	keys     [][]byte
	peerKeys []string
}

func newKeyring(keys [][]byte) *keyring {
	k := &keyring{keys: keys}
	for _, key := range keys {
		k.peerKeys = append(k.peerKeys, hex.EncodeToString(mac(key, []byte(peerKeyContext))))
	}
	return k
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)[:macSize]
}

func (k *keyring) sign(p *tlv1.Parcel) ([]byte, error) {
	body, err := proto.Marshal(p)
	if err != nil || len(k.keys) == 0 {
		return body, errors.Wrap(err, "encode datagram")
	}
	return append(mac(k.keys[0], body), body...), nil
}

func (k *keyring) verify(b []byte) (*tlv1.Parcel, error) {
	body, err := k.body(b)
	if err != nil {
		return nil, err
	}
	p := &tlv1.Parcel{}
	return p, errors.Wrap(proto.Unmarshal(body, p), "decode datagram")
}

func (k *keyring) body(b []byte) ([]byte, error) {
	if len(k.keys) == 0 {
		return b, nil
	}
	if len(b) < macSize {
		return nil, errBadSignature
	}
	for _, key := range k.keys {
		if hmac.Equal(mac(key, b[macSize:]), b[:macSize]) {
			return b[macSize:], nil
		}
	}
	return nil, errBadSignature
}

// peerKey authenticates this node in HTTP requests to a peer.
func (k *keyring) peerKey() string {
	if len(k.peerKeys) == 0 {
		return ""
	}
	return k.peerKeys[0]
}

func (k *keyring) acceptsPeerKey(s string) bool {
	found := len(k.peerKeys) == 0
	for _, d := range k.peerKeys {
		found = hmac.Equal([]byte(d), []byte(s)) || found
	}
	return found
}

// A wire sends and receives datagrams.
type wire struct {
	conn *net.UDPConn
	keys *keyring
	// sent counts bytes by kind and address, for the metrics.
	sent func(kind, address string, bytes int)
}

func listenWire(address string, keys *keyring, sent func(kind, address string, bytes int)) (w *wire, err error) {
	defer func() { err = errors.Wrapf(err, "listen for datagrams at %s", address) }()
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	c, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, err
	}
	return &wire{conn: c, keys: keys, sent: sent}, nil
}

// send sends a datagram, best effort.
func (w *wire) send(p *tlv1.Parcel, addresses ...string) {
	if len(addresses) == 0 {
		return
	}
	b, err := w.keys.sign(p)
	if err != nil {
		return
	}
	for _, a := range addresses {
		to, err := netip.ParseAddrPort(a)
		if err != nil {
			continue
		}
		if n, err := w.conn.WriteToUDPAddrPort(b, to); err == nil {
			w.sent(kindOfParcel(p), a, n)
		}
	}
}

// receive returns the next datagram signed by a peer, or an error once the connection is closed.
func (w *wire) receive(buf []byte) (*tlv1.Parcel, error) {
	for {
		n, _, err := w.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			continue
		}
		if p, err := w.keys.verify(buf[:n]); err == nil {
			return p, nil
		}
	}
}

// receive handles datagrams until the connection is closed or the context ends.
func (n *Node) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.wire.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		p, err := n.wire.receive(buf)
		if err != nil {
			return
		}
		n.metrics.datagrams.Inc()
		switch b := p.GetBody().(type) {
		case *tlv1.Parcel_Gossip:
			n.sendGossip(n.members.Receive(b.Gossip))
			n.peers.syncOnFirstContact(b.Gossip.GetFrom())
		case *tlv1.Parcel_Confirm:
			n.duty.receiveConfirm(b.Confirm)
		case *tlv1.Parcel_Records:
			n.records.receive(b.Records, "peer")
		case *tlv1.Parcel_Report:
			n.services.handleReport(b.Report)
		case *tlv1.Parcel_Borrow:
			n.quotas.lend(b.Borrow)
		case *tlv1.Parcel_Lend:
			n.quotas.addLoan(b.Lend)
		case *tlv1.Parcel_Suspects:
			n.suspects.handleSuspects(b.Suspects)
		}
	}
}

func (n *Node) sendGossip(sends []member.Message) {
	for _, s := range sends {
		n.wire.send(&tlv1.Parcel{Body: &tlv1.Parcel_Gossip{Gossip: s.Gossip}}, s.Address)
	}
}

// gossipAddresses returns the gossip addresses of the members that keep accepts.
func gossipAddresses(members []*tlv1.Member, keep func(m *tlv1.Member) bool) []string {
	var list []string
	for _, m := range members {
		if keep(m) {
			list = append(list, m.GetGossipAddress())
		}
	}
	return list
}

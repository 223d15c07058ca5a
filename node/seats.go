package node

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/config"
	"github.com/tinladder/tinladder/eject"
	"github.com/tinladder/tinladder/guard"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	"github.com/tinladder/tinladder/backing"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"google.golang.org/protobuf/proto"
)

const (
	seatsPrefix = "seats/"
	// seatsPause is the least time between looks at one service's seats, and seatsPerNode
	// what each node of the fleet adds to it, to stay within the table's rate.
	seatsPause                = 5 * clock.Second
	seatsPerNode clock.Millis = 15
	// pausedSeats is a gap between rounds after which this process may have been taken for
	// gone, so that it must look again before it ejects.
	pausedSeats = guard.Lease
)

// A seatKeeper claims seats in the table for the services of this node, and gives up those that
// belong to others.
type seatKeeper struct {
	node *Node

	mu   sync.Mutex
	vms  map[string]bool
	seen map[ident.Service]clock.Millis
	last clock.Millis
	// unsettled are the versions of rows that a commit without answer would replace. It may
	// still come, and give away a seat, until something else replaces that version.
	unsettled map[ident.Service]uint64
}

func newSeatKeeper(n *Node) *seatKeeper {
	return &seatKeeper{
		node: n, seen: map[ident.Service]clock.Millis{}, last: n.clock.Now(), unsettled: map[ident.Service]uint64{},
	}
}

// listed takes in the platform's list of VMs.
func (k *seatKeeper) listed(addresses []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.vms = map[string]bool{}
	for _, a := range addresses {
		k.vms[a] = true
	}
}

func (k *seatKeeper) tick(ctx context.Context) {
	now := k.node.clock.Now()
	if now-k.last > pausedSeats {
		k.forget()
	}
	k.last = now
	maps.DeleteFunc(k.seen, func(name ident.Service, _ clock.Millis) bool { return k.node.guards.get(name) == nil })
	pause := max(seatsPause, seatsPerNode*clock.Millis(k.node.view.size()))
	for _, s := range k.node.guards.all() {
		if at, found := k.seen[s.name]; found && now-at < pause {
			continue
		}
		k.seen[s.name] = now
		if err := k.look(ctx, s); err != nil && !errors.Is(err, backing.ErrAway) {
			k.node.log.WithFields(logrus.Fields{"event": "seats_unread", "service": s.name, "error": err}).Warn()
		}
	}
}

// forget gives the seats up until the table has been read again.
func (k *seatKeeper) forget() {
	clear(k.seen)
	for _, s := range k.node.guards.all() {
		s.SetSeats(nil)
	}
}

// look reads the service's row and changes it if seats are to be claimed or given up.
func (k *seatKeeper) look(ctx context.Context, s *served) (err error) {
	defer func() { err = errors.Wrapf(err, "seats of %s", s.name) }()
	ctx, cancel := k.node.callTimeout(ctx)
	defer cancel()
	key := seatsPrefix + s.name.String()
	rows, err := k.node.platform.Read(ctx, key)
	if err != nil {
		return err
	}
	row := &tlv1.Seats{}
	if err := proto.Unmarshal(rows[0].Value, row); err != nil {
		return err
	}
	holders := holdersIn(row)
	n := config.Ejectable(s.doc.GetService())
	serving := processesOf(s.serving)
	spare := eject.Spare(holders, n, k.node.self, s.FreeSeats(), serving)
	wanted := slices.Clone(holders)
	for _, i := range spare {
		wanted[i] = ident.Process{}
	}
	wanted = eject.Claim(wanted, n, k.node.self, serving, k.goneIn(row))
	next := k.rowFor(wanted, row)
	if v, waits := k.unsettled[s.name]; proto.Equal(next, row) && !(waits && v == rows[0].Version) {
		delete(k.unsettled, s.name)
		s.SetSeats(eject.HeldBy(holders, k.node.self))
		return nil
	}
	// Until the answer is here, only what is held before and after, and was held all along, is
	// certain.
	certain := both(eject.HeldBy(holders, k.node.self), eject.HeldBy(wanted, k.node.self))
	s.SetSeats(both(certain, s.Seats()))
	return k.commit(ctx, s, rows[0], next, wanted)
}

func (k *seatKeeper) commit(ctx context.Context, s *served, old backing.Row, next *tlv1.Seats, wanted []ident.Process) error {
	value, err := proto.Marshal(next)
	if err != nil {
		return err
	}
	err = k.node.platform.Commit(ctx, backing.Write{Key: old.Key, Value: value, Expected: old.Version})
	var conflict *backing.Conflict
	switch {
	case errors.As(err, &conflict):
		delete(k.seen, s.name)
		return nil
	case err != nil:
		delete(k.seen, s.name)
		k.unsettled[s.name] = old.Version
		return err
	}
	delete(k.unsettled, s.name)
	s.SetSeats(eject.HeldBy(wanted, k.node.self))
	return nil
}

func both(a, b []int) []int {
	return slices.DeleteFunc(slices.Clone(a), func(i int) bool { return !slices.Contains(b, i) })
}

func holdersIn(row *tlv1.Seats) []ident.Process {
	list := make([]ident.Process, len(row.GetSeats()))
	for i, s := range row.GetSeats() {
		list[i], _ = ident.ParseProcess(s.GetHolder()) // free seats have none
	}
	return list
}

// rowFor returns the row with those holders, and notes which of their VMs have been listed.
func (k *seatKeeper) rowFor(holders []ident.Process, old *tlv1.Seats) *tlv1.Seats {
	k.mu.Lock()
	defer k.mu.Unlock()
	row := &tlv1.Seats{}
	for i, p := range holders {
		row.Seats = append(row.Seats, k.seatFor(i, p, old))
	}
	return row
}

// seatFor returns one seat of a row: as it was if its holder is the same. The caller holds the
// lock.
func (k *seatKeeper) seatFor(i int, holder ident.Process, old *tlv1.Seats) *tlv1.Seat {
	if holder == (ident.Process{}) {
		return &tlv1.Seat{}
	}
	seat := &tlv1.Seat{Holder: holder.String(), GossipAddress: k.node.settings.Node.GossipAddress()}
	if i < len(old.GetSeats()) && old.GetSeats()[i].GetHolder() == seat.GetHolder() {
		seat = proto.CloneOf(old.GetSeats()[i])
	}
	seat.Listed = seat.GetListed() || k.vms[seat.GetGossipAddress()]
	return seat
}

// goneIn returns which holders are certainly gone: a later process has their address, or their
// VM has been in the platform's list and is so no more. Silence proves nothing.
func (k *seatKeeper) goneIn(row *tlv1.Seats) func(ident.Process) bool {
	at := map[string]ident.Process{}
	for _, m := range k.node.members.All() {
		at[m.GetGossipAddress()] = member.ProcessOf(m)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	gone := map[ident.Process]bool{}
	for i, p := range holdersIn(row) {
		seat := row.GetSeats()[i]
		now, known := at[seat.GetGossipAddress()]
		switch {
		case known && now.Node == p.Node && now.Incarnation > p.Incarnation:
			gone[p] = true
		case known && now == p:
		case seat.GetListed() && k.vms != nil && !k.vms[seat.GetGossipAddress()]:
			gone[p] = true
		}
	}
	return func(p ident.Process) bool { return gone[p] }
}

// release gives up all seats of this process that are free, before it ends.
func (k *seatKeeper) release(ctx context.Context) {
	for _, s := range k.node.guards.all() {
		if err := k.releaseOf(ctx, s); err != nil {
			k.node.log.WithFields(logrus.Fields{"event": "seats_kept", "service": s.name, "error": err}).Warn()
		}
	}
}

func (k *seatKeeper) releaseOf(ctx context.Context, s *served) error {
	ctx, cancel := k.node.callTimeout(ctx)
	defer cancel()
	free := s.FreeSeats()
	s.SetSeats(nil)
	rows, err := k.node.platform.Read(ctx, seatsPrefix+s.name.String())
	if err != nil {
		return err
	}
	row := &tlv1.Seats{}
	if err := proto.Unmarshal(rows[0].Value, row); err != nil {
		return err
	}
	changed := false
	for _, i := range free {
		if i < len(row.GetSeats()) && row.GetSeats()[i].GetHolder() == k.node.self.String() {
			row.Seats[i] = &tlv1.Seat{}
			changed = true
		}
	}
	if !changed {
		return nil
	}
	value, err := proto.Marshal(row)
	if err != nil {
		return err
	}
	k.unsettled[s.name] = rows[0].Version
	return k.node.platform.Commit(ctx, backing.Write{Key: rows[0].Key, Value: value, Expected: rows[0].Version})
}

package node

import (
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/replica"
	"github.com/tinladder/tinladder/store"
	"github.com/tinladder/tinladder/warmup"
)

// An evacuation is what is known of a hall that operators evacuated at some time.
type evacuation struct {
	// inForce says that its targets are to get nothing.
	inForce bool
	// restoredAt is when the store was read that no longer had it; its targets may have become cold by then.
	restoredAt clock.Millis
}

// evacuations returns the halls that are evacuated, or were of late, by the platform's operators or by the fleet's own.
func (r *records) evacuations() map[ident.Hall]evacuation {
	byHall := map[ident.Hall]evacuation{}
	for _, x := range r.sets[store.Evacuations].All() {
		e := evacuation{inForce: !x.Deleted}
		if x.Deleted {
			e.restoredAt = x.ReadAt
		}
		byHall[ident.Hall(x.Key)] = e
	}
	for hall, evacuated := range r.documents.Load().evacuated {
		e := byHall[hall]
		e.inForce = e.inForce || evacuated
		byHall[hall] = e
	}
	return byHall
}

// tellEvacuations tells the log of halls that are evacuated, or are no longer.
func (r *records) tellEvacuations(news []replica.Record, from string) {
	for _, x := range news {
		event := "hall_evacuated"
		if x.Deleted {
			event = "hall_restored"
		}
		r.node.log.WithFields(logrus.Fields{
			"event": event, "hall": x.Key, "version": x.Version, "from": from, "read_ms": r.node.clock.Now() - x.ReadAt,
		}).Warn()
	}
}

// coldMet is how long after its start a process has heard of the others.
const coldMet = 2 * clock.Second

// A placing says how the targets of each hall and service are to be used, as of one look at all of them.
type placing struct {
	node        *Node
	evacuations map[ident.Hall]evacuation
	// view is what this node sees of those that might send to cold targets; First is set for each target.
	view warmup.View
}

func (n *Node) placing() placing {
	return placing{node: n, evacuations: n.records.evacuations(), view: n.coldView()}
}

// coldView is what this node sees of those that might send to cold targets.
func (n *Node) coldView() warmup.View {
	now := n.clock.Now()
	live := len(n.members.Live()) + 1
	return warmup.View{
		Live: live, PeakLive: n.quotas.known.see(live, now), Converged: now-n.duty.since >= coldMet && !n.peers.lonely(),
	}
}

// cold returns until when what the target gets from all nodes together is bounded, and this node's part of that by the
// second; 0 and 0 if it is not bounded.
func (p placing) cold(t target, turn int) (until clock.Millis, perSecond float64) {
	table := p.node.records.table.Load()
	if table == nil {
		return 0, 0
	}
	svc := table.Services[t.service]
	c := p.node.settings().Cold
	l := warmup.Limit{PerSecond: svc.WarmupPerSecond, Overshoot: c.Overshoot, Slack: c.Slack}
	if !l.Bounded() {
		return 0, 0
	}
	if at := p.evacuations[t.hall].restoredAt; at > 0 {
		until = at + svc.WarmupPeriod
	}
	until = max(until, t.warmupUntil)
	v := p.view
	v.Owner = turn == 0
	return until, l.Rate(v)
}

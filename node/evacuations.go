package node

import (
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/replica"
	"github.com/tinladder/tinladder/store"
	"github.com/tinladder/tinladder/throttle"
)

// An evacuation is the state of a hall that operators have evacuated at some time.
type evacuation struct {
	// inForce is set while the hall's targets must not get any requests.
	inForce bool
	// restoredAt is when the store was first read without the evacuation. The hall's targets may have to warm up after it.
	restoredAt clock.Millis
}

// evacuations returns the halls that are or recently were evacuated, by operators of the platform or of the fleet's own interface.
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

// logEvacuations logs halls that were evacuated or restored.
func (r *records) logEvacuations(changed []replica.Record, from string) {
	for _, x := range changed {
		event := "hall_evacuated"
		if x.Deleted {
			event = "hall_restored"
		}
		r.node.log.WithFields(logrus.Fields{
			"event": event, "hall": x.Key, "version": x.Version, "from": from, "read_ms": r.node.clock.Now() - x.ReadAt,
		}).Warn()
	}
}

// convergencePeriod is how long after its start a process is assumed to know the other nodes.
const convergencePeriod = 2 * clock.Second

// A placement determines the use of targets by hall and service, for one refresh of all targets.
type placement struct {
	node        *Node
	evacuations map[ident.Hall]evacuation
	// view is this node's view of the nodes that may send to throttled targets; Owner is set per target.
	view throttle.View
}

func (n *Node) newPlacement() placement {
	return placement{node: n, evacuations: n.records.evacuations(), view: n.throttleView()}
}

// throttleView returns this node's view of the nodes that may send to targets whose load from all nodes together is limited.
func (n *Node) throttleView() throttle.View {
	now := n.clock.Now()
	live := len(n.members.Live()) + 1
	return throttle.View{
		Live: live, PeakLive: n.quotas.peakLive.observe(live, now), Converged: now-n.duty.startedAt >= convergencePeriod && n.quotas.reachesMostSeeds(),
	}
}

// warmupLimit returns until when the target's rate of requests from all nodes is limited for its warm-up, and this node's share
// of that rate in requests per second; 0 and 0 if it is not limited.
func (p placement) warmupLimit(t target, turn int) (until clock.Millis, perSecond float64) {
	table := p.node.records.table.Load()
	if table == nil {
		return 0, 0
	}
	svc := table.Services[t.service]
	c := p.node.settings().Cold
	l := throttle.Limit{PerSecond: svc.WarmupPerSecond, Overshoot: c.Overshoot, Slack: c.Slack}
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

package node

import (
	"fmt"
	"io"
	stdlog "log"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/limit"
	"github.com/tinladder/tinladder/logs"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/quarantine"
	"github.com/tinladder/tinladder/store"
)

// nodeMetrics are the node's metrics, in a set of their own. Labels have bounded sets of values: kinds
// of requests, outcomes, causes, statuses; never names of services, routes or targets.
type nodeMetrics struct {
	clock clock.Clock
	set   *metrics.Set
	peers map[peerTraffic]*metrics.Counter
	// storeCalls are all calls to the store for records.
	storeCalls *metrics.Counter
	datagrams  *metrics.Counter
	retries    *metrics.Counter
	denied     *metrics.Counter
	hedges     *metrics.Counter
	away       *metrics.Counter
	version    *metrics.Counter
	// stateAt is when the desired state in force arrived.
	stateAt *metrics.Counter
	// usage returns how much of their limits workspaces used.
	usage func() []limit.Usage
}

func newMetrics(c clock.Clock) *nodeMetrics {
	set := metrics.NewSet()
	peers := map[peerTraffic]*metrics.Counter{}
	for _, t := range allPeerTraffic() {
		peers[t] = set.NewCounter(t.metric())
	}
	return &nodeMetrics{
		clock:      c,
		set:        set,
		peers:      peers,
		storeCalls: &metrics.Counter{},
		datagrams:  set.NewCounter("tinladder_datagram_received_total"),
		retries:    set.NewCounter("tinladder_retries_total"),
		denied:     set.NewCounter("tinladder_retries_denied_total"),
		hedges:     set.NewCounter("tinladder_hedges_total"),
		away:       set.NewCounter("tinladder_store_away"),
		version:    set.NewCounter("tinladder_state_version"),
		stateAt:    set.NewCounter("tinladder_state_since_ms"),
	}
}

// crashed counts reports of targets that crashed under a request, by what they changed.
func (m *nodeMetrics) crashed(c quarantine.Change) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tinladder_request_crashes_total{change=%q}", c)).Inc()
}

// heldBack counts a request refused because targets crashed under it, and trial a trial of such a request.
func (m *nodeMetrics) heldBack() {
	m.set.GetOrCreateCounter("tinladder_requests_held_back_total").Inc()
}

func (m *nodeMetrics) trial(granted bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("tinladder_request_trials_total{granted=\"%t\"}", granted)).Inc()
}

// gauges adds the metrics that are computed when read.
func (m *nodeMetrics) gauges(n *Node) {
	m.usage = n.quotas.table.Usage
	sum := func(of func(s pool.Stats) int) func() float64 {
		return func() float64 {
			total := 0
			for _, svc := range n.services.all() {
				total += of(svc.pool.Stats())
			}
			return float64(total)
		}
	}
	m.set.NewGauge("tinladder_queue_waiting", sum(func(s pool.Stats) int { return s.Waiting }))
	m.set.NewGauge("tinladder_requests_in_flight", sum(func(s pool.Stats) int { return s.InFlight }))
	m.set.NewGauge("tinladder_share_refused_total", sum(func(s pool.Stats) int { return s.ShareRefused }))
	m.set.NewGauge("tinladder_share_held_workspaces", sum(func(s pool.Stats) int { return s.HeldWorkspaces }))
	m.set.NewGauge("tinladder_targets", func() float64 { return float64(n.services.count()) })
	m.set.NewGauge("tinladder_targets_ready", sum(func(s pool.Stats) int { return s.Targets }))
	m.set.NewGauge("tinladder_targets_usable", sum(func(s pool.Stats) int { return s.Usable }))
	m.set.NewGauge("tinladder_targets_slow", sum(func(s pool.Stats) int { return s.Slow }))
	m.set.NewGauge("tinladder_services_lacking_room", func() float64 {
		_, n := n.services.leastShare()
		return float64(n)
	})
	m.set.NewGauge("tinladder_least_admitted_share", func() float64 {
		share, _ := n.services.leastShare()
		return share
	})
	m.set.NewGauge("tinladder_requests_suspected", func() float64 { return float64(len(n.suspects.list.All())) })
	m.set.NewGauge("tinladder_members", func() float64 { return float64(len(n.members.Live())) })
	m.set.NewGauge("tinladder_log_lines_dropped", func() float64 { return float64(n.log.Dropped()) })
	m.set.NewGauge("tinladder_log_written_bytes", func() float64 { return float64(n.log.Written()) })
	m.set.NewGauge("tinladder_state_behind_ms", func() float64 { return float64(n.lag.behind(store.State)) })
	m.set.NewGauge("tinladder_state_age_seconds", func() float64 {
		if m.stateAt.Get() == 0 {
			return 0
		}
		return (m.clock.Now() - clock.Millis(m.stateAt.Get())).Duration().Seconds()
	})
}

// peerBytes counts bytes between nodes by kind of message, those that leave the hall separately.
func (m *nodeMetrics) peerBytes(kind string, far bool, bytes int) {
	m.peers[peerTraffic{kind, far}].Add(bytes)
}

func (m *nodeMetrics) storeAway(away bool) {
	if away {
		m.away.Set(1)
	} else {
		m.away.Set(0)
	}
}

func (m *nodeMetrics) stateVersion(v uint64) {
	m.version.Set(v)
	m.stateAt.Set(uint64(m.clock.Now()))
}

func (m *nodeMetrics) storeCall(k store.Kind, follow bool) {
	m.storeCalls.Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_store_calls_total{kind=%q,follow="%v"}`, k, follow)).Inc()
}

// storeEra sets the newest era of the store.
func (m *nodeMetrics) storeEra(era uint64) {
	m.set.GetOrCreateGauge("tinladder_store_era", nil).Set(float64(era))
}

// recordsUnused counts records that the store returned and that are not newer than those held.
func (m *nodeMetrics) recordsUnused(k store.Kind, count int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_store_records_unused_total{kind=%q}`, k)).Add(count)
}

func (m *nodeMetrics) storeFailed(k store.Kind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_store_calls_failed_total{kind=%q}`, k)).Inc()
}

// synced counts this node's syncs with others, and the bytes of the responses, including those of
// syncs given up.
func (m *nodeMetrics) synced(ok, far bool, bytes int) {
	m.peerBytes(kindSync, far, bytes)
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_syncs_total{ok="%v"}`, ok)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_sync_read_bytes_total{ok="%v"}`, ok)).Add(bytes)
}

// pulled counts requests for a large record, and the bytes of the responses, including those given up.
func (m *nodeMetrics) pulled(ok, busy, far bool, bytes int) {
	m.peerBytes(kindPull, far, bytes)
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_pulls_total{ok="%v",busy="%v"}`, ok, busy)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_pull_read_bytes_total{ok="%v"}`, ok)).Add(bytes)
}

// syncServed counts syncs requested by others, with records or without, and the bytes of the responses
// before compression.
func (m *nodeMetrics) syncServed(records bool, bytes int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_syncs_served_total{records="%v"}`, records)).Inc()
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_sync_served_bytes_total{records="%v"}`, records)).Add(bytes)
}

// recordRefused counts records of the store that cannot be used, wholly or in part.
func (m *nodeMetrics) recordRefused(k store.Kind, whole bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_records_refused_total{kind=%q,whole="%v"}`, k, whole)).Inc()
}

// unwatched counts an attempt that ended before its target responded and for which there was no room to watch the target.
func (m *nodeMetrics) unwatched() {
	m.set.GetOrCreateCounter("tinladder_attempts_unwatched_total").Inc()
}

func (m *nodeMetrics) attempt(o pool.Outcome, took clock.Millis) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_attempts_total{outcome=%q}`, o)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`tinladder_attempt_seconds{outcome=%q}`, o)).Update(took.Duration().Seconds())
}

// passed counts a request that was passed to a node that reaches targets.
func (m *nodeMetrics) passed(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_requests_passed_total{answered="%t"}`, err == nil)).Inc()
}

// limitedAttempt counts an attempt at a target that limits its rate of requests, by why the target was chosen.
func (m *nodeMetrics) limitedAttempt(why pool.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_limited_attempts_total{why=%q}`, why)).Inc()
}

// restingAttempt counts an attempt at a target that had asked this node for a rest, by why the target was chosen.
func (m *nodeMetrics) restingAttempt(why pool.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_resting_attempts_total{why=%q}`, why)).Inc()
}

// leavingAttempt counts an attempt at a target that had said that it is leaving, by why the target was chosen.
func (m *nodeMetrics) leavingAttempt(why pool.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_leaving_attempts_total{why=%q}`, why)).Inc()
}

func (m *nodeMetrics) belief(k pool.EventKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_beliefs_total{event=%q}`, k)).Inc()
}

// retried counts retries, made and denied by the budget.
func (m *nodeMetrics) retried(allowed bool) {
	if allowed {
		m.retries.Inc()
	} else {
		m.denied.Inc()
	}
}

// furtherAttempt counts denied retries and hedges, by why they were denied.
func (m *nodeMetrics) furtherAttempt(p pool.Permit) {
	if p != pool.Allowed {
		m.set.GetOrCreateCounter(fmt.Sprintf("tinladder_further_denied_total{why=%q}", p)).Inc()
	}
}

// hedged counts hedged attempts.
func (m *nodeMetrics) hedged() {
	m.hedges.Inc()
}

// refused counts refused requests by status.
func (m *nodeMetrics) refused(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_refused_total{status="%d"}`, status)).Inc()
}

// maxPrioritySeries is how many priorities have metrics of their own, the most urgent ones.
const maxPrioritySeries = 4

// refusedByLevel counts requests refused since their service admitted only more urgent ones.
func (m *nodeMetrics) refusedByLevel(priority uint32) {
	label := "others"
	if priority < maxPrioritySeries {
		label = strconv.FormatUint(uint64(priority), 10)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_refused_by_level_total{priority=%q}`, label)).Inc()
}

// leastShare returns the least share of its requests that a service admits, and how many services lack room.
func (s *services) leastShare() (share float64, lacking int) {
	share = 1
	for _, svc := range s.all() {
		l := svc.pool.UrgencyLevel()
		share = min(share, l.Share)
		if l.On {
			lacking++
		}
	}
	return share, lacking
}

// ended counts requests for services by kind and status, and failed ones by cause.
func (m *nodeMetrics) ended(repeatable bool, status int, c cause, took clock.Millis) {
	kind := kindOf(repeatable)
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_requests_total{kind=%q,status="%d"}`, kind, status)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`tinladder_request_seconds{kind=%q}`, kind)).Update(took.Duration().Seconds())
	if c != "" {
		m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_requests_failed_total{cause=%q}`, c)).Inc()
	}
}

func kindOf(repeatable bool) string {
	if repeatable {
		return "repeatable"
	}
	return "once"
}

// maxWorkspaceSeries is how many workspaces have metrics of their own: those with the most requests. The others share one.
const maxWorkspaceSeries = 24

// writeUsage writes how much of their limits workspaces used on this node.
func writeUsage(w io.Writer, uses []limit.Usage) {
	var rest limit.Usage
	rest.Workspace = "(others)"
	for i, u := range uses {
		if i >= maxWorkspaceSeries {
			rest.Used, rest.Refused = rest.Used+u.Used, rest.Refused+u.Refused
			continue
		}
		writeWorkspaceUsage(w, u)
	}
	if len(uses) > maxWorkspaceSeries {
		writeWorkspaceUsage(w, rest)
	}
}

func writeWorkspaceUsage(w io.Writer, u limit.Usage) {
	metrics.WriteCounterUint64(w, fmt.Sprintf(`tinladder_workspace_requests_total{workspace=%q,outcome="used"}`, u.Workspace), u.Used)
	metrics.WriteCounterUint64(w, fmt.Sprintf(`tinladder_workspace_requests_total{workspace=%q,outcome="refused"}`, u.Workspace), u.Refused)
	if u.Rate.Bounded() {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`tinladder_workspace_limit{workspace=%q,of="per_second"}`, u.Workspace), u.Rate.PerSecond)
		metrics.WriteGaugeFloat64(w, fmt.Sprintf(`tinladder_workspace_limit{workspace=%q,of="burst"}`, u.Workspace), u.Rate.Burst)
	}
}

func (m *nodeMetrics) write(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	writeUsage(w, m.usage())
	metrics.WriteProcessMetrics(w)
}

// httpErrorLog receives the HTTP server's own messages, such as those of broken connections.
func httpErrorLog(l *logs.Log) *stdlog.Logger {
	return stdlog.New(l.WithField("event", "http_server").WriterLevel(logrus.DebugLevel), "", 0)
}

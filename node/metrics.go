package node

import (
	"fmt"
	stdlog "log"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/store"
)

// nodeMetrics are what the node counts, in a set of its own.
type nodeMetrics struct {
	set     *metrics.Set
	took    *metrics.Histogram
	wireOut *metrics.Counter
	away    *metrics.Counter
	version *metrics.Counter
}

func newMetrics() *nodeMetrics {
	set := metrics.NewSet()
	return &nodeMetrics{
		set:     set,
		took:    set.NewHistogram("tinladder_request_seconds"),
		wireOut: set.NewCounter("tinladder_datagram_sent_bytes_total"),
		away:    set.NewCounter("tinladder_store_away"),
		version: set.NewCounter("tinladder_state_version"),
	}
}

func (m *nodeMetrics) controlBytes(n int) {
	m.wireOut.Add(n)
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
}

func (m *nodeMetrics) storeCall(k store.Kind, follow bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_store_calls_total{kind=%q,follow="%v"}`, k, follow)).Inc()
}

func (m *nodeMetrics) attempt(o pool.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_attempts_total{outcome=%q}`, o)).Inc()
}

func (m *nodeMetrics) belief(k pool.EventKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_beliefs_total{event=%q}`, k)).Inc()
}

func (m *nodeMetrics) refused(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_refused_total{status="%d"}`, status)).Inc()
}

func (m *nodeMetrics) ended(status int, took clock.Millis) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`tinladder_requests_total{status="%d"}`, status)).Inc()
	m.took.Update(took.Duration().Seconds())
}

func (m *nodeMetrics) write(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// quietLog takes the HTTP server's own messages, such as those of broken connections.
func quietLog(l *logrus.Logger) *stdlog.Logger {
	return stdlog.New(l.WithField("event", "http_server").WriterLevel(logrus.DebugLevel), "", 0)
}

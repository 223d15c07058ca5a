package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform/standin"
)

// TestCauseOfARefusalByUrgency sends far more than the target can run, of two priorities. The urgent requests are served, and
// the log, the metrics and the explanation of a refused request name the level as its cause.
func TestCauseOfARefusalByUrgency(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return "[balance]\nurgency_level = true\n" })
	target := f.target("i-1", "desk")
	target.SetFaults(standin.TargetFaults{Slow: 10}) // 50 ms for a request, 60 a second
	less := route("/once/", standin.RunOnce, "desk")
	less.Rank = 2
	f.store.Configure(3, []string{"desk", "clerk"}, route("/get/", standin.Repeatable, "desk"), less)
	f.ready(3, 1)
	var mu sync.Mutex
	urgent, served, refused := 0, 0, ""
	var wg sync.WaitGroup
	for i := range 400 { // 160 a second, a tenth of them urgent
		wg.Go(func() {
			id, path, method := fmt.Sprint("u", i), "/once/", http.MethodPost
			if i%10 == 0 {
				path, method = "/get/", http.MethodGet
			}
			r := f.call(f.nodes[0], method, path, id, "")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case i%10 == 0 && i > 200:
				urgent++
				if r.status == http.StatusOK {
					served++
				}
			case r.status == http.StatusServiceUnavailable && strings.Contains(f.nodes[0].log.String(), "cause=urgency") && r.took < 50*time.Millisecond:
				refused = id
			}
		})
		time.Sleep(6250 * time.Microsecond)
	}
	wg.Wait()
	is.True(float64(served) >= 0.9*float64(urgent))
	is.True(refused != "")
	s := f.explain(refused)
	is.Equal(s.Cause, "urgency")
	is.True(strings.Contains(s.Said, "admitted only more urgent requests. It has not run"))
	is.Equal(ran(refused, target), 0)
	text := f.nodes[0].log.String()
	is.True(strings.Contains(text, "event=level_changed"))
	is.True(strings.Contains(text, "lacks_room=true"))
	res, err := f.http.Get("http://" + f.nodes[0].metrics + "/metrics")
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(b), `tinladder_refused_by_level_total{priority="2"}`))
	is.True(strings.Contains(string(b), "tinladder_least_admitted_share"))
}

package node_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	shopKey    = "uakn2ftimaj3nr26tta8"
	courierKey = "28m82thhkmgjqnirth5m"
)

var workspaces = []standin.WorkspaceRow{
	{Name: "shops", Keys: []string{shopKey}, Rank: 1},
	{Name: "couriers", Keys: []string{courierKey}, Rank: 2, PerSecond: 20, Burst: 10},
}

// configureKeyed stores a desired state with workspaces, and with a public route in addition.
func (f *fleet) configureKeyed(version uint64, list []standin.WorkspaceRow) {
	public := route("/open/", standin.Repeatable, "desk")
	public.Public = true
	f.store.ConfigureKeyed(version, []string{"desk"}, list, route("/get/", standin.Repeatable, "desk"), route("/once/", standin.RunOnce, "desk"), public)
}

// callWith sends a request with these headers, in the order and spelling given.
func (f *fleet) callWith(n *testNode, path, id string, headers ...string) reply {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.callers+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "shop"
	req.Header.Set("X-Request-Id", id)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header[headers[i]] = append(req.Header[headers[i]], headers[i+1])
	}
	start := time.Now()
	res, err := f.http.Do(req)
	if err != nil {
		return reply{broken: true, took: time.Since(start)}
	}
	defer func() { _ = res.Body.Close() }()
	return reply{status: res.StatusCode, header: res.Header, took: time.Since(start)}
}

// awaitKeys waits until all nodes accept the key, that is, until they know how recent their keys are.
func (f *fleet) awaitKeys(key string) {
	f.t.Helper()
	for i, n := range f.nodes {
		f.eventually(n.name+" takes keys", func() bool {
			return f.callWith(n, "/get/", fmt.Sprint("proved-", i), "Authorization", "Bearer "+key).status == http.StatusOK
		})
	}
}

// TestKeysStayHere sends keys and workspace names in many forms. Targets get only the workspace name that the node sets,
// and keys reach neither targets nor logs nor metrics.
func TestKeysStayHere(t *testing.T) {
	f := newFleetWith(t, 1, func(int) string { return "revoke = \"5s\"\n" })
	target := f.target("i-1", "desk")
	f.configureKeyed(3, workspaces)
	f.ready(3, 1)
	f.awaitKeys(shopKey)
	time.Sleep(time.Second) // the token bucket of couriers fills
	cases := []struct {
		name, path string
		headers    []string
		status     int
		space      string
	}{
		{"a key", "/get/", []string{"Authorization", "Bearer " + shopKey}, http.StatusOK, "shops"},
		{"another one", "/get/", []string{"Authorization", "bearer  " + courierKey}, http.StatusOK, "couriers"},
		{"a name beside it", "/get/", []string{"Authorization", "Bearer " + shopKey, "X-Tenant-Id", "couriers"}, http.StatusOK, "shops"},
		{"names beside it", "/get/", []string{"Authorization", "Bearer " + shopKey, "X-Tenant-Id", "couriers", "X-Tenant-Id", "x", "x-tenant-id", "y", "X_Tenant_Id", "z"}, http.StatusOK, "shops"},
		{"a name of the connection", "/get/", []string{"Authorization", "Bearer " + shopKey, "Connection", "X-Tenant-Id"}, http.StatusOK, "shops"},
		{"a key of the connection", "/get/", []string{"Authorization", "Bearer " + shopKey, "Connection", "Authorization"}, http.StatusOK, "shops"},
		{"no key", "/get/", nil, http.StatusUnauthorized, ""},
		{"an unknown one", "/get/", []string{"Authorization", "Bearer nobody"}, http.StatusUnauthorized, ""},
		{"two", "/get/", []string{"Authorization", "Bearer " + shopKey, "Authorization", "Bearer " + courierKey}, http.StatusUnauthorized, ""},
		{"another scheme", "/get/", []string{"Authorization", "Basic " + shopKey}, http.StatusUnauthorized, ""},
		{"very long", "/get/", []string{"Authorization", "Bearer " + strings.Repeat("k", 4000)}, http.StatusUnauthorized, ""},
		{"public", "/open/", nil, http.StatusOK, ""},
		{"public, with a key", "/open/", []string{"Authorization", "Bearer " + shopKey}, http.StatusOK, ""},
		{"public, with a name", "/open/", []string{"X-Tenant-Id", "shops"}, http.StatusOK, ""},
		{"run once", "/once/", []string{"Authorization", "Bearer " + shopKey}, http.StatusOK, "shops"},
		{"no route", "/none/", []string{"Authorization", "Bearer " + shopKey}, http.StatusNotFound, ""},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			id := fmt.Sprint("x", i)
			is.Equal(f.callWith(f.nodes[0], c.path, id, c.headers...).status, c.status)
			is.Equal(ran(id, target) == 1, c.status == http.StatusOK)
		})
	}
	is := is.New(t)
	for _, s := range target.Seen() {
		for name, values := range s.Header {
			is.True(!strings.Contains(strings.Join(values, " "), shopKey))
			is.True(!strings.Contains(strings.Join(values, " "), courierKey))
			is.True(name != "X_tenant_id" && name != "Authorization")
		}
		for i, c := range cases {
			if s.ID == fmt.Sprint("x", i) {
				is.Equal(strings.Join(s.Header["X-Tenant-Id"], " "), c.space)
			}
		}
	}
	res, err := f.http.Get("http://" + f.nodes[0].metrics + "/metrics")
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	var metrics strings.Builder
	_, _ = fmt.Fprint(&metrics, res.Header)
	buf := make([]byte, 1<<20)
	for n, err := res.Body.Read(buf); n > 0 || err == nil; n, err = res.Body.Read(buf) {
		metrics.Write(buf[:n])
	}
	for _, text := range []string{f.nodes[0].log.String(), metrics.String()} {
		is.True(!strings.Contains(text, shopKey))
		is.True(!strings.Contains(text, courierKey))
		is.True(!strings.Contains(text, "nobody"))
	}
	is.True(strings.Contains(metrics.String(), `tinladder_workspace_requests_total{workspace="couriers",outcome="used"}`))
	is.True(strings.Contains(metrics.String(), `tinladder_workspace_limit{workspace="couriers",of="per_second"} 20`))
	is.True(strings.Contains(metrics.String(), `tinladder_workspace_limit{workspace="couriers",of="burst"} 10`))
}

// TestKeysLapseWithoutTheStore revokes a key while a node cannot learn of it, since the store does not respond. The node
// stops accepting all keys before the revocation bound, directs callers elsewhere before that, and accepts keys again once
// the store is back.
func TestKeysLapseWithoutTheStore(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 1, func(int) string { return "revoke = \"2s\"\n" })
	target := f.target("i-1", "desk")
	f.configureKeyed(3, workspaces)
	f.ready(3, 1)
	f.awaitKeys(shopKey)
	n := f.nodes[0]
	n.door.SetFaults(standin.Faults{Away: standin.Silent})
	f.configureKeyed(4, workspaces[1:])
	taken := time.Now()
	ledAway := false
	var last time.Time
	for i := 0; time.Since(taken) < 3*time.Second; i++ {
		sent := time.Now()
		ledAway = ledAway || f.status(n.directory, platform.ResolvePath+"?name=shop&zone=h0") != http.StatusOK
		r := f.callWith(n, "/get/", fmt.Sprint("x", i), "Authorization", "Bearer "+shopKey)
		if r.status == http.StatusOK {
			last = sent
			is.True(!ledAway || time.Since(taken) < 2*time.Second)
		} else {
			is.Equal(r.status, http.StatusServiceUnavailable) // not run, and may be retried
			is.True(r.header.Get("Retry-After") != "")
			is.True(ledAway)
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.True(last.Sub(taken) < 2*time.Second)
	is.Equal(f.callWith(n, "/open/", "open", "Authorization", "x").status, http.StatusOK) // the route needs no key
	is.Equal(f.status(n.readiness, platform.ReadyPath), http.StatusServiceUnavailable)
	n.door.SetFaults(standin.Faults{})
	f.eventually("the key is known to be gone", func() bool {
		return f.callWith(n, "/get/", "gone", "Authorization", "Bearer "+shopKey).status == http.StatusUnauthorized
	})
	f.awaitKeys(courierKey)
	is.Equal(ran("gone", target), 0)
}

// TestNewKeyIsNotRefusedByANodeThatIsBehind adds a workspace while the connections between nodes are silent and the store
// refuses all nodes but one, so that nodes learn of the new state before they have it. A node that knows it is behind must
// not reject the key as unknown. The fault: a node that was five versions behind answered 20 of 53 requests with 401.
func TestNewKeyIsNotRefusedByANodeThatIsBehind(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4, &fleet{silenceable: true, via: func(store string) string { return store }})
	f.target("i-1", "desk")
	f.configureKeyed(3, workspaces[1:])
	f.ready(3, 1)
	f.awaitKeys(courierKey)
	for _, n := range f.nodes[1:] {
		n.door.SetFaults(standin.Faults{Away: standin.Busy})
	}
	large := func(version uint64, list []standin.WorkspaceRow) {
		routes := []standin.RouteRow{route("/get/", standin.Repeatable, "desk")}
		for i := range 600 {
			routes = append(routes, route(fmt.Sprintf("/%x/", rand.Uint64()), standin.RunOnce, fmt.Sprint("s", i)))
		}
		f.store.ConfigureKeyed(version, []string{"desk"}, list, routes...)
	}
	large(4, workspaces[1:])
	_, late := f.inForceWithin(4, time.Now(), 5*time.Second) // leaves idle connections open
	is.Equal(late, nil)
	told := func(n *testNode) int { return strings.Count(n.log.String(), "event=state_behind") }
	before := map[*testNode]int{}
	for _, n := range f.nodes {
		n.silencer.silence()
		before[n] = told(n)
	}
	large(5, workspaces)
	refused := map[int]int{}
	f.eventually("the new key is taken by all", func() bool {
		behind := false
		for i, n := range f.nodes {
			if inForce(n, 5) {
				continue
			}
			behind = true
			if told(n) > before[n] {
				refused[f.callWith(n, "/get/", fmt.Sprint("new-", i), "Authorization", "Bearer "+shopKey).status]++
			}
		}
		return !behind
	})
	t.Logf("answers of nodes that were behind: %v", refused)
	is.Equal(refused[http.StatusUnauthorized], 0)
	is.True(refused[http.StatusServiceUnavailable] > 0) // some node knew of the new state before it had it
	is.Equal(f.callWith(f.nodes[0], "/get/", "unknown", "Authorization", "Bearer x").status, http.StatusUnauthorized)
}

// TestProofIsHandedOn has the store respond to one node only. The others accept keys on that node's confirmations.
func TestProofIsHandedOn(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(t, 6, func(int) string { return "revoke = \"5s\"\n" })
	f.target("i-1", "desk")
	f.configureKeyed(3, workspaces)
	f.ready(3, 1)
	f.awaitKeys(shopKey)
	for _, n := range f.nodes[1:] {
		n.door.SetFaults(standin.Faults{Away: standin.Busy})
	}
	away := time.Now()
	asked, refused := 0, 0
	for time.Since(away) < 8*time.Second {
		for _, n := range f.nodes {
			asked++
			if r := f.callWith(n, "/get/", fmt.Sprint("x", asked), "Authorization", "Bearer "+shopKey); r.status != http.StatusOK {
				t.Logf("%s refused at %v: %d", n.name, time.Since(away), r.status)
				refused++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("refused %d of %d", refused, asked)
	is.True(refused <= asked/50)
}

// TestLimitHoldsOverNodes floods two nodes of a fleet with one workspace's requests. The workspace's limit holds over all
// nodes, and another workspace is served as before.
func TestLimitHoldsOverNodes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4)
	target := f.target("i-1", "desk")
	f.configureKeyed(3, workspaces)
	f.ready(3, 1)
	f.awaitKeys(shopKey)
	time.Sleep(2500 * time.Millisecond) // token buckets fill from the start
	var wg sync.WaitGroup
	begun := time.Now()
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range 4 {
		wg.Go(func() {
			for k := 0; time.Since(begun) < 4500*time.Millisecond; k++ {
				r := f.callWith(f.nodes[i%2], "/get/", fmt.Sprintf("c%d-%d", i, k), "Authorization", "Bearer "+courierKey)
				mu.Lock()
				statuses[r.status]++
				mu.Unlock()
				if r.status == http.StatusTooManyRequests {
					is.True(r.header.Get("Retry-After") != "")
				}
			}
		})
	}
	for k := range 50 {
		r := f.callWith(f.nodes[k%4], "/get/", fmt.Sprint("s", k), "Authorization", "Bearer "+shopKey)
		if r.status != http.StatusOK { // its log line may be one of those dropped during the flood
			t.Logf("s%d at %s: %d %s", k, f.nodes[k%4].name, r.status, r.body)
		}
		is.Equal(r.status, http.StatusOK)
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	count := 0
	for _, s := range target.Seen() {
		if strings.HasPrefix(s.ID, "c") && s.Ran {
			count++
		}
	}
	t.Logf("statuses %v, ran %d", statuses, count)
	is.True(count <= 141) // (20 x 5 + 10) x 1.1 + 20
	is.True(count >= 60)  // the limit is used
	is.True(statuses[http.StatusTooManyRequests] > 0)
}

// TestTargetStartsAgainUnderItsID stops a target that was leaving, and starts it again under its id. The new generation
// gets requests, and failures of the old one do not count against it.
func TestTargetStartsAgainUnderItsID(t *testing.T) {
	f := newFleet(t, 2)
	target := f.target("i-1", "desk")
	target.RegisterBorn(1000, false)
	f.calm(3)
	f.ready(3, 1)
	f.eventually("it serves", func() bool { return f.call(f.nodes[0], http.MethodGet, "/get/", "a", "").status == http.StatusOK })
	target.SetFaults(standin.TargetFaults{Fail: 1})
	for i := range 20 {
		f.call(f.nodes[i%2], http.MethodGet, "/get/", fmt.Sprint("f", i), "")
	}
	target.RegisterBorn(1000, true)
	f.eventually("it is left", func() bool {
		return f.call(f.nodes[1], http.MethodGet, "/get/", "b", "").status == http.StatusServiceUnavailable
	})
	target.SetFaults(standin.TargetFaults{})
	target.RegisterBorn(2000, false)
	for _, n := range f.nodes {
		f.eventually(n.name+" serves by it again", func() bool { return f.call(n, http.MethodGet, "/get/", "c", "").status == http.StatusOK })
		f.eventually(n.name+" says so", func() bool { return strings.Contains(n.log.String(), "event=target_reborn") })
	}
	f.store.Put("servers", "i-1", []byte(`{"address":7}`)) // another writer overwrites the row
	f.eventually("it names no target", func() bool {
		return f.call(f.nodes[0], http.MethodGet, "/get/", "d", "").status == http.StatusServiceUnavailable
	})
}

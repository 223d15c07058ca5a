package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is where all requests go.
const host = "shop.example"

// A try is one requester attempt.
type try struct {
	at, end    time.Time
	id, path   string
	method     string
	node       *node
	status     int
	signature  string
	body       string
	err        error
	retryAfter string
	deadlineMs int
	// payload is the body, sent in chunks or with a length, in pieces with a gap between them.
	payload []byte
	chunked bool
	gap     time.Duration
	// keep says that the request goes on a connection that is kept.
	keep       bool
	responseID string
	// leaving says that the answer said that its upstream leaves.
	leaving bool
	// patience is how long the requester waits before it leaves; 0 for its time limit.
	patience time.Duration
}

// requesters send requests to nodes and note what becomes of them.
type requesters struct {
	fleet *fleet
	// fresh opens a connection for each request. kept keeps connections: the library repeats no request on one that has a body
	// which it cannot read again.
	fresh, kept *http.Client
	count       atomic.Uint64

	mu    sync.Mutex
	tries []*try
}

func newRequesters(f *fleet) *requesters {
	return &requesters{
		fleet: f,
		fresh: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		kept:  &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}},
	}
}

// send makes one try and waits for its answer, for its time limit and half a second.
func (q *requesters) send(t *try) {
	patience := time.Duration(t.deadlineMs+500) * time.Millisecond
	if t.patience > 0 {
		patience = t.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if t.id == "" {
		t.id = fmt.Sprintf("%016x", 0x9c41d07b00000000+q.count.Add(1))
	}
	var body io.Reader
	if t.payload != nil {
		body = &paced{rest: t.payload, gap: t.gap} // of unknown length, until that is set
	}
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+t.node.callers+t.path, body)
	if err != nil {
		t.err = err
		return
	}
	if t.payload != nil && !t.chunked {
		req.ContentLength = int64(len(t.payload))
	}
	req.Host = host
	req.Header.Set("X-Request-Id", t.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(t.deadlineMs))
	t.at = time.Now()
	q.mu.Lock()
	q.tries = append(q.tries, t)
	q.mu.Unlock()
	client := q.fresh
	if t.keep {
		client = q.kept
	}
	res, err := client.Do(req)
	if err != nil {
		t.end, t.err = time.Now(), err
		return
	}
	raw, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	t.end, t.err, t.status, t.body = time.Now(), err, res.StatusCode, string(raw)
	t.signature, t.retryAfter = res.Header.Get("X-Upstream-Signature"), res.Header.Get("Retry-After")
	t.responseID, t.leaving = res.Header.Get("X-Request-Id"), res.Header.Get("Server-Leaving") != ""
}

// stream sends tries that make returns, perSecond of them, to the nodes in turn until the context ends, and waits for their
// answers.
func (q *requesters) stream(ctx context.Context, perSecond float64, next func(i int) *try) {
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		t := next(i)
		t.node = q.fleet.nodes[i%len(q.fleet.nodes)]
		wg.Go(func() { q.send(t) })
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// all returns the tries so far.
func (q *requesters) all() []*try {
	q.mu.Lock()
	defer q.mu.Unlock()
	return append([]*try(nil), q.tries...)
}

// outcome names how a try ended, for the record.
func (t *try) outcome() string {
	if t.err != nil {
		text := t.err.Error()
		return "no answer: " + text[strings.LastIndex(text, ": ")+1:]
	}
	if t.signature != "" {
		return fmt.Sprintf("%d from an upstream", t.status)
	}
	return fmt.Sprint(t.status)
}

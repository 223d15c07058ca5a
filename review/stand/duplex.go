package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// uploadBytes is the length of a request's body, and packBytes that of its answer's.
	uploadBytes = 200 << 10
	packBytes   = 600 << 10
	// piece is how much of a body is sent at a time, and pieceGap the pause between two: some 4 Mbit/s.
	piece    = 20 << 10
	pieceGap = 40 * time.Millisecond
)

// A delivery is what an upstream read of one request's body.
type delivery struct {
	id, upstream string
	begun        time.Time
	body         []byte
	// whole says that the body ended as the protocol has it.
	whole bool
}

// playDuplex has upstreams answer before they have read a long body: they keep the connection and read on. It compares what
// they read with what requesters sent.
func playDuplex(r *record, trouble bool) (bool, error) {
	f, err := startFleet(3, nil, func(s *standin.Store) {
		s.Configure(1, []string{"label-press"}, standin.RouteRow{
			Name: "label", Host: host, Prefix: "/label/", Kind: standin.RunOnce, Timeout: "5s", Aim: "2s", Service: "label-press", Attempts: 2,
		})
	})
	defer f.stop()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var deliveries []*delivery
	var upstreams []*upstream
	for i := range 3 {
		u, err := newUpstream(f.store, fmt.Sprintf("i-%d", i+1), "label-press", sortedKeys(zones)[i%3], 6, 0)
		if err != nil {
			return false, err
		}
		defer u.end()
		u.early = func(w http.ResponseWriter, q *http.Request, a *arrival) bool {
			d := &delivery{id: a.id, upstream: u.id, begun: time.Now()}
			mu.Lock()
			deliveries = append(deliveries, d)
			mu.Unlock()
			u.mu.Lock()
			a.ran = true
			u.mu.Unlock()
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("X-Upstream-Signature", u.id+"."+a.id)
			w.Header().Set("Content-Length", strconv.Itoa(packBytes))
			read := func() {
				raw, err := io.ReadAll(q.Body)
				mu.Lock()
				d.body, d.whole = raw, err == nil
				mu.Unlock()
			}
			if !trouble {
				read()
			}
			u.mu.Lock()
			a.answered = http.StatusOK
			u.mu.Unlock()
			w.WriteHeader(http.StatusOK)
			pack := contentOf("answer to "+a.id, packBytes)
			_, _ = w.Write(pack[:packBytes/2])
			_ = http.NewResponseController(w).Flush()
			if trouble {
				read()
			}
			_, _ = w.Write(pack[packBytes/2:])
			return true
		}
		upstreams = append(upstreams, u)
	}
	q := newRequesters(f)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	time.Sleep(2 * time.Second)
	q.stream(ctx, 4, func(i int) *try {
		id := fmt.Sprintf("%016x", 0x5d00000000000000+uint64(i))
		return &try{id: id, method: http.MethodPost, path: "/label/", deadlineMs: 5000, payload: contentOf(id, uploadBytes), chunked: i%2 == 0, gap: pieceGap, keep: true}
	})
	time.Sleep(time.Second)
	r.history(q.all(), upstreams)
	sent := map[string]*try{}
	cut := 0
	for _, t := range q.all() {
		sent[t.id] = t
		if t.status == http.StatusOK && (t.err != nil || t.body != string(contentOf("answer to "+t.id, packBytes))) {
			cut++
		}
	}
	changed, wholeAndChanged := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, d := range deliveries {
		t := sent[d.id]
		at := firstDifference(d.body, t.payload)
		if at < 0 {
			continue
		}
		changed++
		if d.whole {
			wholeAndChanged++
		}
		r.at(d.begun, "upstream %s read other bytes of request %s from byte %d on: %d bytes, ended well: %v, sha256 %s; sent were %d bytes, in chunks: %v, sha256 %s",
			d.upstream, d.id, at, len(d.body), d.whole, sum(d.body), len(t.payload), t.chunked, sum(t.payload))
	}
	r.sum("requests: %d; upstreams read other bytes than were sent in the bodies of %d, of which %d ended as if they were whole", len(deliveries), changed, wholeAndChanged)
	r.sum("answers of upstreams that came cut or changed: %d", cut)
	return changed > 0, nil
}

// firstDifference returns where got leaves what was sent; -1 if it is the beginning of that, or all.
func firstDifference(got, sent []byte) int {
	for i := range got {
		if i >= len(sent) || got[i] != sent[i] {
			return i
		}
	}
	return -1
}

// contentOf returns bytes that differ from name to name, and from place to place.
func contentOf(name string, size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, "%s %08d\n", name, i)
	}
	return b.Bytes()[:size]
}

func sum(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:6])
}

// A paced reader gives a body piece by piece.
type paced struct {
	rest []byte
	gap  time.Duration
}

var errNoRead = errors.New("nothing to read into")

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, errNoRead
	}
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(p.gap)
	n := copy(b[:min(len(b), piece)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

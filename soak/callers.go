package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tinladder/tinladder/platform"
	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// workers send the requests of all callers, one at a time each.
	workers = 24
	// answerBound is how long a caller waits for an answer.
	answerBound = 4 * time.Second
	// probeEvery is how often each node is asked which desired state it goes by.
	probeEvery = 100 * time.Millisecond
	// keptShare is the share of requests that go out on the connection of the one before, for as
	// long as the node keeps it.
	keptShare = 0.9
)

// A sent is one request, and what became of it for its caller.
type sent struct {
	id, path string
	once     bool
	// content is a long body; empty if the request has the short one.
	content string
	// chunked says that the short body goes out in chunks.
	chunked bool
	// patience is how long its caller waits, if not for long.
	patience time.Duration
	node     *process
	life     int
	at, end  time.Time
	// status is 0 if no whole answer came; body and mark are of one that did.
	status     int
	body, mark string
	// saysLeaving says that the answer has its target's word that it leaves.
	saysLeaving bool
	// space is the workspace that asks, and key what it shows.
	space, key string
	// stray says that it need not be served: its key may be gone, or its workspace over its limit.
	stray bool
	// written says that the request went out whole, and unread that its connection ended before any
	// byte of an answer.
	written, unread bool
	// kept says that an earlier request had been answered on the connection.
	kept bool
	// left is when the caller left without waiting any longer, if it did.
	left time.Time
	// why is how the connection ended, if no whole answer came.
	why error
}

// callers send requests to nodes, over connections that they keep until the node ends them.
type callers struct {
	world  *world
	oracle *oracle
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newCallers(w *world, o *oracle) *callers {
	return &callers{world: w, oracle: o}
}

// start sends at the rate of the world's settings until stop.
func (c *callers) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	pause := time.Duration(float64(workers) / c.world.cfg.Rate * float64(time.Second))
	for i := range workers {
		c.wg.Go(func() { c.work(ctx, i, pause) })
	}
	for _, p := range c.world.nodes {
		c.wg.Go(func() { c.probe(ctx, p) })
	}
	for i := range c.world.cfg.Resting {
		c.wg.Go(func() { c.rest(ctx, c.world.nodes[i%len(c.world.nodes)], i) })
	}
	for i := range c.world.cfg.Leavers {
		c.wg.Go(func() { c.leave(ctx, i) })
	}
	for i := range c.world.cfg.Uploaders {
		c.wg.Go(func() { c.upload(ctx, i) })
	}
	for i := range c.world.cfg.Crashers {
		c.wg.Go(func() { c.crash(ctx, i) })
	}
	c.wg.Go(func() { c.world.replaceCrashed(ctx) })
	c.wg.Go(func() { c.rotating(ctx) })
	c.wg.Go(func() { c.steal(ctx) })
	for i := range flooders {
		c.wg.Go(func() { c.flooding(ctx, i) })
	}
}

func (c *callers) stop() {
	c.cancel()
	c.wg.Wait()
}

// work sends one request after the other, to a node that is chosen anew when its connection ends.
func (c *callers) work(ctx context.Context, worker int, pause time.Duration) {
	r := rand.New(rand.NewPCG(c.world.cfg.Seed, uint64(worker)+100))
	var conn *conn
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(float64(pause) * (0.5 + r.Float64())))
		if conn == nil || r.Float64() > keptShare {
			conn.close()
			conn = dial(c.world.someNode(r))
		}
		s := &sent{id: fmt.Sprintf("w%d-%d", worker, i), path: "/get/", once: r.IntN(2) == 0, space: shops, key: c.world.key()}
		if s.once {
			s.path = "/once/"
		}
		if conn == nil {
			continue
		}
		if !conn.send(s) {
			conn.close()
			conn = nil
		}
		c.oracle.add(s)
	}
	conn.close()
}

// probe asks one node again and again for routes that only the newest desired states have.
func (c *callers) probe(ctx context.Context, p *process) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(probeEvery)
		v, _ := c.world.newest()
		if i%2 == 1 && v > 1 {
			v--
		}
		conn := dial(p)
		if conn == nil {
			continue
		}
		s := &sent{id: fmt.Sprintf("p-%s-%d", p.name, i), path: versionPath(v)}
		conn.send(s)
		conn.close()
		c.oracle.addProbe(s, v)
	}
}

// A conn is a caller's connection to a node.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	node   *process
	life   int
	// used says that a request has been answered on it.
	used bool
}

// dial returns a connection to the node, or nil.
func dial(p *process) *conn {
	life := p.lives()
	n, err := net.DialTimeout("tcp", p.callers, time.Second)
	if err != nil {
		return nil
	}
	return &conn{net: n, reader: bufio.NewReader(n), node: p, life: life}
}

func (c *conn) close() {
	if c != nil {
		_ = c.net.Close()
	}
}

// send sends a request and reads its answer. It says whether the connection may be used again.
func (c *conn) send(s *sent) bool {
	s.node, s.life, s.kept, s.at = c.node, c.life, c.used, time.Now()
	defer func() { s.end = time.Now() }()
	_ = c.net.SetDeadline(s.at.Add(answerBound))
	if s.patience > 0 {
		_ = c.net.SetDeadline(s.at.Add(s.patience))
	}
	text := s.head(fmt.Sprintf("Content-Length: %d", len(shortBody))) + shortBody
	if s.chunked {
		text = s.head("Transfer-Encoding: chunked") + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(shortBody), shortBody)
	}
	if _, err := io.WriteString(c.net, text); err != nil {
		return false
	}
	s.written = true
	return c.readAnswer(s)
}

// head returns the request's line and header.
func (s *sent) head(framing string) string {
	h := platform.Headers()
	text := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: somebody\r\n%s\r\n",
		s.path, host, h.RequestID, s.id, h.Deadline, (2 * routeTimeout).Milliseconds(), h.Workspace, framing)
	if s.key != "" {
		text += fmt.Sprintf("%s: Bearer %s\r\n", h.Key, s.key)
	}
	return text + "\r\n"
}

// readAnswer reads the answer to the request. It says whether the connection may be used again.
func (c *conn) readAnswer(s *sent) bool {
	if _, err := c.reader.Peek(1); err != nil {
		s.unread, s.why = true, err
		return false
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return false // one that is cut would look whole
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return false
	}
	c.used = true
	s.status, s.body, s.mark = res.StatusCode, string(body), res.Header.Get(standin.Signature)
	s.saysLeaving = platform.Headers().SaysLeaving(res.Header)
	return !res.Close && !strings.EqualFold(res.Header.Get("Connection"), "close")
}

// String tells of the request, for reports.
func (s *sent) String() string {
	text := fmt.Sprintf("request %s to %s%s at %s: status %s after %s",
		s.id, s.node.name, s.path, s.at.Format("15:04:05.000"), strconv.Itoa(s.status), s.end.Sub(s.at).Round(time.Microsecond))
	if s.why != nil {
		text += ": " + s.why.Error()
	}
	return text
}

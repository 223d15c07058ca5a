package emulate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/node"
)

// A Result says how one request ended for its caller.
type Result int

// Results of a request.
const (
	// OK answers were whole and the caller's own.
	OK Result = iota
	// Refused requests got a status that a target or a node gave.
	Refused
	// NotRun requests were told so.
	NotRun
	// Unsettled requests may have run.
	Unsettled
	// Broken requests lost their connection.
	Broken
	// Crossed answers were another request's, or not whole and yet ended well.
	Crossed
	results
)

// String returns the result's name in reports.
func (r Result) String() string {
	return [...]string{"ok", "refused", "not-run", "unsettled", "broken", "crossed"}[r]
}

// A Caller struct asks the fleet which addresses to use, keeps the answer while it is valid, and
// checks every answer that it gets. It is safe for concurrent use.
type Caller struct {
	// Entries are callers' doors to ask at first.
	Entries []string
	Token   string
	Service string
	Hall    string

	mu     sync.Mutex
	answer node.Endpoints
	until  time.Time
	client *http.Client
}

const (
	callTimeout = 15 * time.Second
	askTimeout  = 2 * time.Second
)

// NewCaller returns a caller of one service.
func NewCaller(entries []string, token, service, hall string) *Caller {
	t := &http.Transport{
		MaxIdleConnsPerHost: 64,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression:  true,
	}
	return &Caller{Entries: entries, Token: token, Service: service, Hall: hall, client: &http.Client{Transport: t, Timeout: callTimeout}}
}

// Ask returns the fleet's answer, from memory while it is valid.
func (c *Caller) Ask(ctx context.Context) (node.Endpoints, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.answer, nil
	}
	var err error
	for _, e := range c.doors() {
		asked := time.Now()
		var a node.Endpoints
		if a, err = c.askAt(ctx, e); err == nil {
			c.answer = a
			c.until = asked.Add(time.Duration(a.ValidMs) * time.Millisecond)
			return a, nil
		}
	}
	return node.Endpoints{}, errors.Wrap(err, "ask")
}

// doors are the last answer's addresses, and then those to ask at first.
func (c *Caller) doors() []string {
	var list []string
	for _, a := range c.answer.Addresses {
		list = append(list, a.Address)
	}
	return append(list, c.Entries...)
}

func (c *Caller) askAt(ctx context.Context, door string) (a node.Endpoints, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s%s?service=%s&hall=%s", door, node.DiscoveryPath, c.Service, c.Hall)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return a, err
	}
	req.Header.Set(node.HeaderToken, c.Token)
	res, err := c.client.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return a, errors.Newf("status %d", res.StatusCode)
	}
	return a, json.NewDecoder(res.Body).Decode(&a)
}

// Forget makes the next Ask go to the fleet.
func (c *Caller) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// Get sends a repeatable request, and tries the answer's other addresses while connections
// break.
func (c *Caller) Get(ctx context.Context, path, order string) (Result, string) {
	a, err := c.Ask(ctx)
	if err != nil {
		return Broken, err.Error()
	}
	r, detail := Broken, "no address"
	for _, address := range a.Addresses {
		r, detail = c.send(ctx, http.MethodGet, address.Address, path, order, "")
		if r != Broken {
			return r, detail
		}
	}
	c.Forget()
	return r, detail
}

// Once sends a run-once request. While its fate is open, it sends the same key again, through
// the other addresses as well.
func (c *Caller) Once(ctx context.Context, path, order string) (Result, string) {
	a, err := c.Ask(ctx)
	if err != nil {
		return NotRun, err.Error() // nothing was sent
	}
	key := a.KeyPrefix + "~" + order
	r, detail := Broken, "no address"
	for i := range 2 * len(a.Addresses) {
		address := a.Addresses[i%len(a.Addresses)].Address
		r, detail = c.send(ctx, http.MethodPost, address, path, order, key)
		if r != Broken && r != Unsettled {
			return r, detail
		}
		if i+1 >= len(a.Addresses) {
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.Forget()
	return Unsettled, detail
}

func (c *Caller) send(ctx context.Context, method, address, path, order, key string) (Result, string) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + order)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return Broken, err.Error()
	}
	req.GetBody = nil // keep the client library from sending it twice
	req.Header.Set(node.HeaderToken, c.Token)
	req.Header.Set(node.HeaderService, c.Service)
	req.Header.Set(HeaderOrder, order)
	if key != "" {
		req.Header.Set(node.HeaderKey, key)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return Broken, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	if err != nil {
		return Broken, err.Error()
	}
	return classify(res, got, order)
}

func classify(res *http.Response, got []byte, order string) (Result, string) {
	switch node.Outcome(res.Header.Get(node.HeaderOutcome)) {
	case node.NotRun:
		return NotRun, string(got)
	case node.Unknown, node.Ran:
		return Unsettled, string(got)
	}
	if res.StatusCode != http.StatusOK {
		return Refused, res.Status
	}
	var echo struct {
		Order string `json:"order"`
	}
	if err := json.Unmarshal(got, &echo); err != nil || echo.Order != order {
		return Crossed, string(got)
	}
	return OK, ""
}

package forward

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
)

const (
	// maxBufferedBody is the largest body of an answer that is read before any of it is passed on.
	maxBufferedBody = 256 << 10
	// maxResponses is how many answers to other requests are passed over before a connection is
	// given up.
	maxResponses = 3
	// maxDiscardedBody bounds the body of an answer that is passed over.
	maxDiscardedBody = 1 << 20
)

// ErrBadResponse marks answers that make no sense, or belong to other requests only.
var ErrBadResponse = errors.New("answer makes no sense")

// A Request struct is one request as a target is to see it.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is a small body. Stream, if not nil, is read in its place, and Length is its length or -1.
	Body   []byte
	Stream io.Reader
	Length int64
	// ID is what the answer must name, in the header called IDHeader.
	ID       string
	IDHeader string
	// IDOptional says that an answer may leave the id out.
	IDOptional bool
	// MaxIdle is how long a connection may have rested to be used.
	MaxIdle clock.Millis
}

// An Response struct is a target's answer. If Rest is nil, Body is the whole body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is what follows Body of a large answer. It must be closed.
	Rest io.ReadCloser
	// Length is the body's length if Rest is not nil, or -1.
	Length int64
	// Trailer follows a body in chunks, once it has been read.
	Trailer http.Header
	// Closing says that the target closes the connection after the answer.
	Closing bool
	// Reused says that the request went out on a connection that had rested.
	Reused bool
}

// Send makes one attempt. The error is marked with ErrSent unless no byte was written. The answer
// is whole when Send returns, unless it has a Rest.
func (p *ConnPool) Send(ctx context.Context, address string, r *Request) (res *Response, err error) {
	c, reused, err := p.get(ctx, address, r.MaxIdle)
	if err != nil {
		return nil, err
	}
	stop := c.interrupt(ctx)
	x := &transfer{conns: p, conn: c, stop: stop, reused: reused, stream: &source{from: r.Stream}}
	res, err = x.run(r)
	if err != nil {
		stop()
		c.Close()
		return nil, errors.Mark(err, ErrSent)
	}
	res.Reused = reused
	return res, nil
}

// A transfer is one request and its answer on a connection.
type transfer struct {
	conns  *ConnPool
	conn   *Conn
	stop   func() bool
	reused bool
	stream *source
	// writeDone is told how writing the request ended; nil once it is known to have ended well.
	writeDone chan error
}

func (x *transfer) run(r *Request) (*Response, error) {
	req := x.newRequest(r)
	x.write(req, r)
	res, err := x.readResponse(req, r)
	if err != nil {
		if readErr := x.stream.readErr(); readErr != nil {
			return nil, errors.Mark(readErr, ErrRequestBody)
		}
		return nil, err
	}
	x.conn.readKeepAlive(res.Header)
	return x.buffer(res)
}

func (x *transfer) newRequest(r *Request) *http.Request {
	req := &http.Request{
		Method: r.Method,
		URL:    requestURL(r.Target),
		Host:   r.Host,
		Header: r.Header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	switch {
	case r.Stream != nil:
		req.Body, req.ContentLength = io.NopCloser(x.stream), r.Length
	case len(r.Body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	return req
}

// requestURL returns a URL that is written as the target is.
func requestURL(target string) *url.URL {
	u, err := url.ParseRequestURI(target)
	if err != nil || u.RequestURI() != target {
		return &url.URL{Opaque: target}
	}
	return u
}

// write sends the request. One with a body is written beside reading, since a target may answer
// before it has read the body.
func (x *transfer) write(req *http.Request, r *Request) {
	x.writeDone = make(chan error, 1)
	if r.Stream == nil && len(r.Body) <= readBufferSize/2 {
		x.writeDone <- writeBuffered(x.conn, req)
		return
	}
	go func() {
		err := writeBuffered(x.conn, req)
		if x.stream.readErr() != nil {
			// The target waits for the rest, and would until the deadline.
			_ = x.conn.net.SetDeadline(past)
		}
		x.writeDone <- err
	}()
}

func writeBuffered(c *Conn, req *http.Request) error {
	w := writers.Get().(*bufioWriter)
	defer writers.Put(w)
	w.Reset(c.net)
	defer w.Reset(nil)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readResponse returns the answer that names the request.
func (x *transfer) readResponse(req *http.Request, r *Request) (*http.Response, error) {
	for range maxResponses {
		res, err := x.readFinal(req)
		if err != nil {
			return nil, err
		}
		id := res.Header.Get(r.IDHeader)
		if id == r.ID || id == "" && r.IDOptional {
			return res, nil
		}
		x.conn.noReuse = true
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBody)); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "pass over a stray answer"), ErrBadResponse)
		}
		_ = res.Body.Close()
		if res.Close {
			break
		}
	}
	return nil, errors.Wrap(ErrBadResponse, "only answers to other requests came")
}

func (x *transfer) readFinal(req *http.Request) (*http.Response, error) {
	for {
		x.conn.limit.N = maxHeaderBytes
		res, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read answer")
		}
		x.conn.limit.N = math.MaxInt64
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

// buffer reads the body, or its start if it is large.
func (x *transfer) buffer(httpRes *http.Response) (*Response, error) {
	res := &Response{Status: httpRes.StatusCode, Header: httpRes.Header, Closing: httpRes.Close, Length: -1, Trailer: httpRes.Trailer}
	limit := io.LimitReader(httpRes.Body, maxBufferedBody)
	var body bytes.Buffer
	if httpRes.ContentLength > 0 && httpRes.ContentLength <= maxBufferedBody {
		body.Grow(int(httpRes.ContentLength) + bytes.MinRead)
	}
	n, err := body.ReadFrom(limit)
	if err != nil {
		return nil, errors.Wrap(err, "read answer's body")
	}
	res.Body = body.Bytes()
	rest := &rest{transfer: x, res: httpRes}
	if n < maxBufferedBody {
		rest.eof = true
		_ = rest.Close()
		return res, nil
	}
	res.Rest, res.Length = rest, httpRes.ContentLength
	return res, nil
}

// A rest is the part of a large answer that has not been read.
type rest struct {
	transfer *transfer
	res      *http.Response
	eof      bool
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	n, err := r.res.Body.Read(p)
	r.eof = r.eof || errors.Is(err, io.EOF)
	return n, err
}

// Close keeps the connection for the next request if this one and its answer have ended well.
func (r *rest) Close() error {
	x := r.transfer
	uninterrupted := x.stop()
	if uninterrupted && r.eof && x.reusable(r.res) {
		x.conns.put(x.conn)
		return nil
	}
	x.conn.Close()
	return nil
}

func (x *transfer) reusable(res *http.Response) bool {
	if x.conn.noReuse || res.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false // the request has not been written whole
	}
}

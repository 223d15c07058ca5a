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
	// maxBufferedBody is the largest response body that is read completely before it is forwarded.
	maxBufferedBody = 256 << 10
	// maxResponses bounds how many responses are read while looking for the one with the request's id.
	maxResponses = 3
	// maxDiscardedBody bounds the body of a response to another request.
	maxDiscardedBody = 1 << 20
	// maxInformational bounds how many informational responses (1xx) are skipped.
	maxInformational = 8
)

// ErrBadResponse marks responses that are malformed, or that belong to other requests.
var ErrBadResponse = errors.New("malformed or unmatched response")

// ErrBodyTooLong is the error of a response body whose length was not known and that exceeds the request's MaxBody.
var ErrBodyTooLong = errors.New("response body is too long")

// A Request is a request as it is sent to a target.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is a small body. If Stream is not nil, it is sent instead; Length is its length, or -1.
	Body   []byte
	Stream io.Reader
	Length int64
	// ID is the request id that the response must carry in the header IDHeader.
	ID       string
	IDHeader string
	// IDOptional allows a response without the id.
	IDOptional bool
	// MaxBody is the most bytes of a response body whose length is not known; 0 is unlimited.
	MaxBody int64
	// MaxIdle is the longest time that a reused connection may have been idle.
	MaxIdle clock.Millis
}

// A Response is a target's response. If Rest is nil, Body is the complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest is the remainder of a large body. It must be closed.
	Rest io.ReadCloser
	// Length is the body's length if Rest is not nil, or -1 if that is unknown.
	Length int64
	// Trailer is filled in once a chunked body has been read.
	Trailer http.Header
	// Closing says that the target closes the connection after the response.
	Closing bool
	// CloseDelimited says that the connection had to close whatever the target's state: the body has no length of its own,
	// or the protocol version keeps no connections.
	CloseDelimited bool
	// Reused says that the request was sent on a reused connection.
	Reused bool
}

// Send makes one attempt. The error is marked with ErrSent unless no byte was written. The response is
// complete when Send returns, unless it has a Rest.
func (p *ConnPool) Send(ctx context.Context, address string, r *Request) (res *Response, err error) {
	c, reused, err := p.get(ctx, address, r.MaxIdle)
	if err != nil {
		return nil, err
	}
	stop := c.interrupt(ctx)
	x := &transfer{conns: p, conn: c, stop: stop, reused: reused, stream: &source{from: r.Stream}, writer: &requestWriter{conn: c.net}}
	res, err = x.run(r)
	if err != nil {
		stop()
		c.Close()
		return nil, errors.Mark(err, ErrSent)
	}
	res.Reused = reused
	return res, nil
}

// A transfer is one request and its response on a connection.
type transfer struct {
	conns  *ConnPool
	conn   *Conn
	stop   func() bool
	reused bool
	stream *source
	writer *requestWriter
	// writeDone receives the result of writing the request.
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
	return x.buffer(res, r.MaxBody)
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

// requestURL returns a URL that is written exactly as the target.
func requestURL(target string) *url.URL {
	u, err := url.ParseRequestURI(target)
	if err != nil || u.RequestURI() != target {
		return &url.URL{Opaque: target}
	}
	return u
}

// write sends the request. A large or streamed body is written concurrently with reading, since a target may
// respond before it has read the body.
func (x *transfer) write(req *http.Request, r *Request) {
	x.writeDone = make(chan error, 1)
	if r.Stream == nil && len(r.Body) <= readBufferSize/2 {
		x.writeDone <- writeBuffered(x.writer, req)
		return
	}
	go func() {
		err := writeBuffered(x.writer, req)
		if x.stream.readErr() != nil {
			// The target would wait for the rest of the body until the deadline.
			_ = x.conn.net.SetDeadline(past)
		}
		x.writeDone <- err
	}()
}

func writeBuffered(to io.Writer, req *http.Request) error {
	w := writers.Get().(*bufioWriter)
	defer writers.Put(w)
	w.Reset(to)
	defer w.Reset(nil)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// readResponse returns the response that carries the request's id.
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
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxDiscardedBody))
		if err != nil {
			return nil, errors.Mark(errors.Wrap(err, "discard the response to another request"), ErrBadResponse)
		}
		if n == maxDiscardedBody { // closing the body would read all of it
			return nil, errors.Wrap(ErrBadResponse, "the response to another request is too long")
		}
		if res.Close {
			break
		}
	}
	return nil, errors.Wrap(ErrBadResponse, "target responded to other requests only")
}

// readFinal reads a response, skipping informational ones (1xx).
func (x *transfer) readFinal(req *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		x.conn.limit.N = maxHeaderBytes
		if err := checkOldHead(x.conn.reader); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		x.conn.limit.N = math.MaxInt64
		if err := checkHead(res); err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			x.wrapBody(res)
			return res, nil
		}
	}
	return nil, errors.Wrapf(ErrBadResponse, "more than %d informational responses", maxInformational)
}

// wrapBody adds the checks that are due at the end of the body.
func (x *transfer) wrapBody(res *http.Response) {
	switch {
	case endsWithConnection(res):
		res.Body = &closeDelimitedBody{ReadCloser: res.Body, writer: x.writer}
	case len(res.TransferEncoding) > 0:
		res.Body = &trailedBody{ReadCloser: res.Body, res: res}
	}
}

// buffer reads the body, or the start of a large one. A body whose length is not known has at most maxBody bytes.
func (x *transfer) buffer(httpRes *http.Response, maxBody int64) (*Response, error) {
	res := &Response{
		Status: httpRes.StatusCode, Header: httpRes.Header, Closing: httpRes.Close, CloseDelimited: isCloseDelimited(httpRes),
		Length: -1, Trailer: httpRes.Trailer,
	}
	limit := io.LimitReader(httpRes.Body, maxBufferedBody)
	var body bytes.Buffer
	if httpRes.ContentLength > 0 && httpRes.ContentLength <= maxBufferedBody {
		body.Grow(int(httpRes.ContentLength) + bytes.MinRead)
	}
	n, err := body.ReadFrom(limit)
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	res.Body = body.Bytes()
	rest := &rest{transfer: x, res: httpRes, left: math.MaxInt64}
	if maxBody > 0 && httpRes.ContentLength < 0 {
		rest.left = max(maxBody-n, 0)
	}
	if n < maxBufferedBody {
		rest.eof = true
		_ = rest.Close()
		return res, nil
	}
	res.Rest, res.Length = rest, httpRes.ContentLength
	return res, nil
}

// isCloseDelimited reports whether the connection ends with the response because nothing else tells where it ends, or
// because of the protocol version.
func isCloseDelimited(res *http.Response) bool {
	return res.Close && (endsWithConnection(res) || !res.ProtoAtLeast(1, 1))
}

// A rest is the unread part of a large response body.
type rest struct {
	transfer *transfer
	res      *http.Response
	eof      bool
	// left is how many bytes more the body may have.
	left int64
}

// Read implements io.Reader.
func (r *rest) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, ErrBodyTooLong
	}
	n, err := r.res.Body.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	r.eof = r.eof || errors.Is(err, io.EOF)
	return n, err
}

// Close returns the connection to the pool if the request and its response were completed.
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
		return false // the request is still being written
	}
}

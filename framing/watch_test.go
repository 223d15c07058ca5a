package framing_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/framing"
)

const (
	get     = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post    = "POST /a HTTP/1.1\r\nHost: h\r\n"
	chunked = "Transfer-Encoding: chunked\r\n"
	five    = "Content-Length: 5\r\n"
	chunks  = "5\r\nhello\r\n0\r\n\r\n"
)

// watched reads all through a Watch.
type watched struct {
	watch framing.Filter
	r     io.Reader
}

func (w *watched) Read(p []byte) (int, error) {
	return w.watch.Read(w.r, p)
}

// cases are what callers send, and how many requests of it go on; fewer than all if one is ambiguous.
var cases = []struct {
	name, send string
	// through are the requests before the ambiguous one, or all of them.
	through   int
	ambiguous bool
}{
	{"plain", get + get, 2, false},
	{"a length", post + five + "\r\nhello" + get, 2, false},
	{"chunks", post + chunked + "\r\n" + chunks + get, 2, false},
	{"extensions and trailers", post + chunked + "\r\n5;a=\"b\"\r\nhello\r\n0;c\r\nX-A: b\r\n\r\n" + get, 2, false},
	{"bare LFs", strings.ReplaceAll(post+chunked+"\r\n", "\r\n", "\n") + chunks + get, 2, false},
	{"an old one that stays", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get, 2, false},
	{"an ambiguous body", post + five + "\r\nhello" + post + "Content-Length: 76\r\n\r\n" + post + five + chunked + "\r\n", 2, false},
	{"ambiguous chunks", post + chunked + "\r\n4c\r\n" + post + five + chunked + "\r\n" + "\r\n0\r\n\r\n" + get, 2, false},
	{"an ambiguous trailer", post + chunked + "\r\n0\r\n" + five + five + chunked + "\r\n" + get, 2, false},

	{"the preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\n" + post + five + chunked + "\r\n" + chunks, 0, false},

	{"two lengths", post + five + five + "\r\nhello" + get, 0, true},
	{"two lengths after a request", get + post + five + five + "\r\nhello" + get, 1, true},
	{"length, then chunks", post + five + chunked + "\r\n" + chunks + get, 0, true},
	{"chunks, then length", post + chunked + five + "\r\n" + chunks + get, 0, true},
	{"in other letters", post + "content-LENGTH:5\r\ntransfer-ENCODING:\tCHUNKED \r\n\r\n" + chunks, 0, true},
	{"over bare LFs", post + "X-A: b\n" + five + "X-B: c\n" + chunked + "\r\n" + chunks, 0, true},
	{"folded", post + five + "Transfer-Encoding:\r\n  chunked\r\n\r\n" + chunks, 0, true},
	{"behind a long line", post + "X-A: " + strings.Repeat("x", 10000) + "\r\n" + five + chunked + "\r\n" + chunks, 0, true},
	{"behind chunks", post + chunked + "\r\n" + chunks + post + five + chunked + "\r\n" + chunks, 1, true},
	{"behind a trailer", post + chunked + "\r\n0\r\nX-A: b\r\n\r\n" + post + five + chunked + "\r\n" + chunks, 1, true},
	{"old with chunks", "POST /a HTTP/1.0\r\n" + chunked + "\r\n" + chunks, 0, true},
	{"old with an unknown coding", "POST /a HTTP/1.0\r\nTransfer-Encoding: x\r\n\r\n", 0, true},
}

func TestFilter(t *testing.T) {
	for _, c := range cases {
		for name, by := range map[string]func(io.Reader) io.Reader{
			"whole":         func(r io.Reader) io.Reader { return r },
			"byte by byte":  iotest.OneByteReader,
			"half by half":  iotest.HalfReader,
			"error at once": iotest.DataErrReader,
		} {
			t.Run(c.name+" "+name, func(t *testing.T) {
				is := is.New(t)
				w := &watched{r: by(strings.NewReader(c.send))}
				list, err := requests(w)
				is.Equal(len(list), c.through)
				is.Equal(w.watch.Ambiguous(), c.ambiguous)
				is.True(c.ambiguous || errors.Is(err, io.EOF) || errors.Is(err, errVersion))
			})
		}
	}
}

// A request is one as the library reads it.
type request struct{ line, body string }

// errVersion is where the library's server refuses a version.
var errVersion = errors.New("not HTTP/1")

// requests reads until something fails.
func requests(r io.Reader) (list []request, err error) {
	b := bufio.NewReader(r)
	for {
		req, err := http.ReadRequest(b)
		if err != nil {
			return list, err
		}
		if req.ProtoMajor != 1 {
			return list, errVersion
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return list, err
		}
		list = append(list, request{req.Method + " " + req.RequestURI + " " + req.Proto, string(body)})
	}
}

// TestServerRejectsAmbiguousRequest has the library's server read through a Watch. The requests before an ambiguous one are served to
// their ends, though the server reads on while it works on them.
func TestServerRejectsAmbiguousRequest(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	served := 0
	s := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		if r.Context().Err() == nil {
			served++
		}
	})}
	defer func() { _ = s.Close() }()
	go func() { _ = s.Serve(listener{l}) }()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, get+post+chunked+"\r\n"+chunks+post+five+chunked+"\r\n"+chunks+get)
	is.NoErr(err)
	answers, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(strings.Count(string(answers), "HTTP/1.1 200 OK"), 2)
	is.Equal(strings.Count(string(answers), "HTTP/1.1 400 Bad Request"), 1)
	is.Equal(served, 2)
}

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &conn{Conn: c}, err
}

type conn struct {
	net.Conn
	watch framing.Filter
}

func (c *conn) Read(p []byte) (int, error) {
	return c.watch.Read(c.Conn, p)
}

// FuzzFilter reads with the library alone, and through a Watch. The Watch ends reading at the first request that the
// library takes and that is ambiguous by its raw header, and nowhere else. As its end is held back, the library may refuse
// the one before: it wants to see an empty line behind a trailer.
func FuzzFilter(f *testing.F) {
	for _, c := range cases {
		f.Add([]byte(c.send))
	}
	f.Add([]byte(post + chunked + "\r\n0\r\n\nGET /a HTTP/1.0\n" + chunked + "\r\n")) // a trailer that has no end for the library
	f.Fuzz(func(t *testing.T, sent []byte) {
		want, ambiguous, refused := firstAmbiguous(sent)
		for _, r := range []io.Reader{bytes.NewReader(sent), iotest.OneByteReader(bytes.NewReader(sent))} {
			w := &watched{r: r}
			got, err := requests(w)
			if len(got) > len(want) || len(got) < len(want) && !w.watch.Ambiguous() || w.watch.Ambiguous() != ambiguous && !refused {
				t.Fatalf("%d requests, ambiguous %v and %v, not %d and %v: %q", len(got), w.watch.Ambiguous(), err, len(want), ambiguous, sent)
			}
			for i := range got {
				if got[i] != want[i] {
					t.Fatalf("%q is not %q", got[i], want[i])
				}
			}
		}
	})
}

// firstAmbiguous returns the requests that the library reads before an ambiguous one, or before one that it
// refuses: what a Watch says of that one does not matter.
func firstAmbiguous(sent []byte) (list []request, ambiguous, refused bool) {
	counted := bytes.NewReader(sent)
	b := bufio.NewReader(counted)
	at := func() int { return len(sent) - counted.Len() - b.Buffered() }
	for {
		from := at()
		req, err := http.ReadRequest(b)
		if err != nil || req.ProtoMajor != 1 {
			return list, false, true
		}
		if ambiguousHeader(sent[from:at()]) {
			return list, true, false
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return list, false, true
		}
		list = append(list, request{req.Method + " " + req.RequestURI + " " + req.Proto, string(body)})
	}
}

// ambiguousHeader reads a header again, with all its lines.
func ambiguousHeader(raw []byte) bool {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(raw)))
	line, err := r.ReadLine()
	if err != nil {
		return false
	}
	h, err := r.ReadMIMEHeader()
	lengths, codings := h["Content-Length"], h["Transfer-Encoding"]
	old := strings.HasSuffix(line, "HTTP/1.0")
	return err == nil && (len(codings) == 0 && len(lengths) > 1 || old && len(codings) > 0 ||
		len(codings) == 1 && strings.EqualFold(codings[0], "chunked") && len(lengths) > 0)
}

// BenchmarkFilter is what each request pays: a header of 10 lines and 300 bytes in one read.
func BenchmarkFilter(b *testing.B) {
	sent := []byte(post + strings.Repeat("X-Some-Name: some-value\r\n", 10) + five + "\r\nhello")
	r := bytes.NewReader(sent)
	buf := make([]byte, 4<<10)
	w := framing.Filter{}
	for b.Loop() {
		r.Reset(sent)
		if _, err := w.Read(r, buf); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(int64(len(sent)))
}

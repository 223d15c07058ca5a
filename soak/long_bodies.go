package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

const (
	// uploadEvery is the pause between two requests of a caller that sends long bodies.
	uploadEvery = 150 * time.Millisecond
	// Long bodies have between uploadLeast and uploadMost bytes, and are sent in pieces with pauses between them.
	uploadLeast, uploadMost = 70 << 10, 300 << 10
	uploadPiece             = 20 << 10
	uploadPause             = 5 * time.Millisecond
	// shortBody is the body of all other requests.
	shortBody = "body"
)

// earlyLengths are the lengths of answers that begin before the request's body is read.
var earlyLengths = []int{2000, 300 << 10, 600 << 10}

// answerEarly has some of a service's targets answer before they read the body.
func answerEarly(w *world, r *rand.Rand, say func(string, ...any)) {
	length := earlyLengths[r.IntN(len(earlyLengths))]
	a := &standin.EarlyAnswer{Length: length, Ahead: r.IntN(length + 1), Chunked: r.IntN(2) == 0, Continue: r.IntN(4) == 0, Cut: r.IntN(5) == 0}
	say("%+v", *a)
	w.targetFault(r, standin.TargetFaults{Begun: a}, r.Float64(), say)
}

// upload sends requests with long bodies on connections that are kept.
func (c *callers) upload(ctx context.Context, place int) {
	r := rand.New(rand.NewPCG(c.world.cfg.Seed, uint64(place)+500))
	var conn *conn
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(uploadEvery)
		if conn == nil {
			conn = dial(c.world.someNode(r))
		}
		s := &sent{id: fmt.Sprintf("u%d-%d", place, i), path: "/get/", once: r.IntN(2) == 0, space: shops, key: c.world.key()}
		s.content = standin.Content(s.id, uploadLeast+r.IntN(uploadMost-uploadLeast))
		if s.once {
			s.path = "/once/"
		}
		chunked := r.IntN(2) == 0
		if conn == nil {
			continue
		}
		if !conn.sendLong(s, chunked) {
			conn.close()
			conn = nil
		}
		c.oracle.add(s)
	}
	conn.close()
}

// sendLong sends a request with a long body and reads its answer meanwhile. It says whether the connection may be used again.
func (c *conn) sendLong(s *sent, chunked bool) bool {
	s.node, s.life, s.kept, s.at = c.node, c.life, c.used, time.Now()
	defer func() { s.end = time.Now() }()
	_ = c.net.SetDeadline(s.at.Add(answerBound))
	framing := fmt.Sprintf("Content-Length: %d", len(s.content))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	written := make(chan error, 1)
	go func() { written <- c.writeLong(s.head(framing), s.content, chunked) }()
	again := c.readAnswer(s)
	if !again {
		c.close() // ends the writing
	}
	s.written = <-written == nil
	return again && s.written
}

// writeLong writes a request piece by piece.
func (c *conn) writeLong(head, content string, chunked bool) error {
	if _, err := io.WriteString(c.net, head); err != nil {
		return err
	}
	for piece := range slices.Chunk([]byte(content), uploadPiece) {
		text := string(piece)
		if chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(c.net, text); err != nil {
			return err
		}
		time.Sleep(uploadPause)
	}
	if !chunked {
		return nil
	}
	_, err := io.WriteString(c.net, "0\r\n\r\n")
	return err
}

// isAnswerTo says whether the body is that of a target's answer to the request.
func isAnswerTo(id, body string) bool {
	name := "answer to " + id
	return body == name || slices.Contains(earlyLengths, len(body)) && body == standin.Content(name, len(body))
}

// checkBodies: targets that run a request read the body that was sent, or the beginning of it and then the connection's end.
func (o *oracle) checkBodies() {
	bodies := map[string]string{}
	for _, s := range o.sent {
		bodies[s.id] = shortBody
		if s.content != "" {
			bodies[s.id] = s.content
		}
	}
	for _, t := range o.world.all() {
		for _, x := range t.Seen() {
			want, known := bodies[x.ID]
			whole := x.Body == want || x.Cut && strings.HasPrefix(want, x.Body)
			if known && x.Ran && !x.Unread && !whole {
				o.breach("body", "target %s read %d bytes of request %s, cut: %t, which are not those that were sent (%d bytes)", t.ID, len(x.Body), x.ID, x.Cut, len(want))
			}
		}
	}
}

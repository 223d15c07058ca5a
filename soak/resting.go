package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tinladder/tinladder/emulate"
)

// restMost is the longest that a resting caller leaves its connection alone: longer than a node's whole grace period, so
// that its next request comes at any moment of a planned stop.
const restMost = grace + time.Second

// rest keeps one connection to a node for long, and uses it now and then for as long as the node keeps it.
func (c *callers) rest(ctx context.Context, p *process, place int) {
	r := rand.New(rand.NewPCG(c.world.cfg.Seed, uint64(place)+1000))
	var conn *conn
	defer func() { conn.close() }()
	for i := 0; ctx.Err() == nil; i++ {
		if conn == nil {
			time.Sleep(between(r, 0, 200*time.Millisecond))
			if conn = dial(p); conn == nil {
				continue
			}
		} else {
			time.Sleep(between(r, 0, restMost))
		}
		if emulate.Ended(conn.net) {
			conn.close()
			conn = nil
			continue
		}
		s := &sent{id: fmt.Sprintf("r%d-%d", place, i), path: "/get/", once: r.IntN(3) == 0, space: shops, key: c.world.key()}
		if s.once {
			s.path = "/once/"
		}
		if !conn.send(s) {
			conn.close()
			conn = nil
		}
		c.oracle.add(s)
	}
}

package proof_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
	"os"
	"github.com/BurntSushi/toml"
)

func TestZZ(t *testing.T) {
	var r replay
	if _, err := toml.DecodeFile("testdata/load/urgency.toml", &r); err != nil { t.Fatal(err) }
	tu := r.tuning(t)
	if os.Getenv("OFF") != "" { tu = r.tuning(t, "urgency-level") }
	synctest.Test(t, func(t *testing.T) {
		p := newPlayer(r, tu, 1)
		go func() {
			last := map[string]kindCount{}
			for i := 0; i < int(r.Seconds*4); i++ {
				time.Sleep(250*time.Millisecond)
				p.pmu.Lock()
				s := fmt.Sprintf("%5.2f ", time.Since(p.start).Seconds())
				for _, k := range []string{"order", "report"} {
					c := *p.got.kind(k); l := last[k]
					s += fmt.Sprintf("%s %4d served %.2f aim %.2f | ", k, c.asked-l.asked, share(c.served-l.served, c.asked-l.asked), share(c.inAim-l.inAim, c.asked-l.asked))
					last[k] = c
				}
				p.pmu.Unlock()
				for _, n := range []int{0, 5} {
					u := p.nodes[n].UrgencyLevel()
					s += fmt.Sprintf("n%d q%d on %v p%d f%.2f s%.2f w%.2f pw%.2f | ", n, p.nodes[n].Stats().Waiting, u.On, u.Priority, u.Fraction, u.Share, u.Wait, u.PeersWait)
				}
				fl := 0
				for _, n := range p.nodes { fl += n.Stats().InFlight }
				fmt.Println(s, fl)
			}
		}()
		fmt.Println(p.play())
	})
}

package node

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
)

// idleLogInterval is the interval between two searches for targets without work, per service.
const idleLogInterval = 1 * clock.Second

// logIdleTargets logs targets without recent work while more requests of their service fail than expected. The platform then
// requires a minimum of work on each target; the line shows what kept this node from them.
func (s *services) logIdleTargets() {
	now := s.node.clock.Now()
	for _, svc := range s.all() {
		if now-svc.idleCheckedAt < idleLogInterval {
			continue
		}
		svc.idleCheckedAt = now
		idle, _ := svc.pool.IdleTargets()
		if len(idle) == 0 {
			continue
		}
		names := make([]string, len(idle))
		for i, t := range idle {
			names[i] = fmt.Sprintf("%s:turn=%d:failing=%.2f:used=%d:failed=%d", t.Target, t.TrialRank, t.Failing, t.UsedAge, t.FailedAge)
			if t.Blocked {
				names[i] += ":unreachable"
			}
		}
		s.node.log.WithFields(logrus.Fields{"event": "targets_idle", "service": svc.name, "idle": len(idle), "targets": strings.Join(names, ",")}).Info()
	}
}

package node

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
)

// idleLogInterval is the pause between two looks at targets without work, for each service.
const idleLogInterval = 1 * clock.Second

// logIdleTargets tells of targets that had no work of late while their service is in deep trouble: the platform holds it to
// a floor then, and the line says what kept this node from each of them.
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

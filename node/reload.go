package node

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/settings"
)

// settingsInterval is how often the settings file is checked for changes without a signal.
const settingsInterval = 2 * clock.Second

// watchSettings reloads the settings file on SIGHUP and when it has changed.
func (n *Node) watchSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(settingsInterval.Duration())
	defer t.Stop()
	last := stampOf(n.path)
	n.reload("changed while the node started")
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			last = stampOf(n.path)
			n.reload("signal")
		case <-t.C:
			if s := stampOf(n.path); s != last {
				last = s
				n.reload("file changed")
			}
		}
	}
}

// A stamp identifies a version of a file by size and time of change.
type stamp struct {
	size int64
	at   time.Time
}

func stampOf(path string) stamp {
	i, err := os.Stat(path)
	if err != nil {
		return stamp{}
	}
	return stamp{size: i.Size(), at: i.ModTime()}
}

// reload reads the settings again. Invalid ones are logged and change nothing; addresses, the store, workspaces and
// keys stay as they are until the next start.
func (n *Node) reload(why string) {
	next, err := settings.Load(n.path)
	if err != nil {
		n.log.WithFields(logrus.Fields{"event": "settings_refused", "why": why, "error": err}).Error()
		return
	}
	old := n.settings()
	if reflect.DeepEqual(next, old) {
		return
	}
	if next.Node != old.Node || next.Store != old.Store || next.Workspaces != old.Workspaces || !slices.Equal(next.Fleet.Keys, old.Fleet.Keys) {
		n.log.WithFields(logrus.Fields{"event": "settings_need_restart"}).Warn()
		next.Node, next.Store, next.Workspaces, next.Fleet.Keys = old.Node, old.Store, old.Workspaces, old.Fleet.Keys
	}
	n.config.Store(next)
	if !slices.Equal(next.Fleet.Seeds, old.Fleet.Seeds) {
		n.members.AddSeeds(next.Fleet.Seeds)
	}
	if level, err := logrus.ParseLevel(next.Log.Level); err == nil {
		n.log.SetLevel(level)
	}
	n.log.WithFields(logrus.Fields{"event": "settings_reloaded", "why": why}).Warn()
}

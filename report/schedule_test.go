package report_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/pool"
	"github.com/tinladder/tinladder/report"
)

// TestLocalLoadIsReportedOnceAnInterval guards against a report for each request: changes within the interval are told
// together, by one delayed report.
func TestLocalLoadIsReportedOnceAnInterval(t *testing.T) {
	is := is.New(t)
	s := report.New()
	to, _ := s.Change(pool.LocalLoad, 1000)
	is.Equal(to, report.AllCarriers) // the first one tells all
	to, later := s.Change(pool.LocalLoad, 1005)
	is.Equal(to, report.Nobody)
	is.Equal(int(later), 15)
	to, later = s.Change(pool.LocalLoad, 1010)
	is.Equal(to, report.Nobody)
	is.Equal(int(later), 0) // one is due already
	to, _ = s.Delayed(1020)
	is.Equal(to, report.SameHall)
}

// TestChangesReachThoseWhomTheyConcern guards against evidence or load of another hall's target that is held back.
func TestChangesReachThoseWhomTheyConcern(t *testing.T) {
	is := is.New(t)
	s := report.New()
	_, _ = s.Change(pool.LocalLoad, 1000)
	to, _ := s.Change(pool.RemoteLoad, 1001)
	is.Equal(to, report.TargetHall)
	to, _ = s.Change(pool.HealthEvidence, 1002)
	is.Equal(to, report.AllUsers)
	is.True(!s.Periodic(1400)) // all carriers were told just now
	is.True(s.Periodic(1502))
	is.True(!s.Periodic(1503))
}

package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/quarantine"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// crashThreshold is the number of crashes that quarantines a request.
const crashThreshold = 3

var testFingerprint = quarantine.FingerprintsOf(&testRequest)[quarantine.ScopeRequest]

// crashReport returns a report of a crash that happens now.
func crashReport(c clock.Clock, target string) quarantine.Suspect {
	return quarantine.Suspect{
		Fingerprint: testFingerprint, Service: "desk", Description: "GET example/a/b",
		Crashes: []quarantine.Crash{{Target: ident.Target(target), SentAt: c.Now(), At: c.Now()}},
	}
}

// newHeldList returns a list that has quarantined testFingerprint.
func newHeldList(c clock.Clock) *quarantine.List {
	l := quarantine.New(c)
	for i := range crashThreshold {
		l.AddCrashes(crashReport(c, fmt.Sprint("t", i)))
	}
	return l
}

func TestThreeCrashesHoldARequestBack(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := quarantine.New(c)
	is.True(l.Empty())
	is.Equal(l.AddCrashes(crashReport(c, "a")), quarantine.Suspected)
	is.Equal(l.AddCrashes(crashReport(c, "a")), quarantine.Unchanged) // another request failed by the same crash
	is.True(!l.Decide(testFingerprint).SingleAttempt())               // it may have been in flight by coincidence
	is.Equal(l.AddCrashes(crashReport(c, "b")), quarantine.Suspected)
	is.True(l.Decide(testFingerprint).SingleAttempt())
	is.True(!l.Decide(testFingerprint).Held)
	is.Equal(l.AddCrashes(crashReport(c, "c")), quarantine.Quarantined)
	v := l.Decide(testFingerprint)
	is.True(v.Held && !v.TrialDue)
	is.True(v.RetryAfter > 0)
	is.Equal(l.Decide(quarantine.Fingerprint{}), quarantine.Verdict{}) // other requests are not affected
}

// TestOneTargetThatCrashesAgainCounts has a single target that restarts under the same id after each crash.
func TestOneTargetThatCrashesAgainCounts(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := quarantine.New(c)
	for range crashThreshold {
		l.AddCrashes(crashReport(c, "a"))
		c.Advance(2 * clock.Second)
	}
	is.True(l.Decide(testFingerprint).Held)
}

// TestTargetsThatCrashTogether has five targets that run the same request lose power at once. The first trial is due at
// once, and attempts lost with a target may be retried. If the trial crashes its target too, the next one is delayed.
func TestTargetsThatCrashTogether(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(10_000)
	l := quarantine.New(c)
	for i := range 5 {
		report := crashReport(c, fmt.Sprint("t", i))
		report.Crashes[0].SentAt -= clock.Millis(10 + i)
		report.Crashes[0].At += clock.Millis(i % 2)
		l.AddCrashes(report)
	}
	v := l.Decide(testFingerprint)
	is.Equal(v.SequentialCrashes, 1)
	is.True(v.Held && v.TrialDue && !v.SingleAttempt())
	c.Advance(100)
	is.True(l.StartTrial(testFingerprint, 1))
	one := crashReport(c, "later")
	one.Crashes[0].SentAt -= 90
	is.Equal(l.AddCrashes(one), quarantine.CrashedAgain)
	v = l.Decide(testFingerprint)
	is.True(!v.TrialDue && v.SingleAttempt())
}

func TestSuccessfulResponseClears(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := newHeldList(c)
	lateReport := crashReport(c, "t2")
	c.Advance(10)
	was, found := l.Clear(testFingerprint)
	is.True(found)
	is.Equal(len(was.Crashes), crashThreshold)
	is.Equal(l.Decide(testFingerprint), quarantine.Verdict{})
	is.Equal(l.AddCrashes(lateReport), quarantine.Unchanged) // the report is older than the successful response
	_, found = l.Clear(testFingerprint)
	is.True(!found)
	c.Advance(1)
	is.Equal(l.AddCrashes(crashReport(c, "a")), quarantine.Suspected) // counting starts again
}

// TestTrialDelaysGrow counts the trials within 90 minutes of a request that crashes its target each time.
func TestTrialDelaysGrow(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := newHeldList(c)
	var at []clock.Millis
	began := c.Now()
	for c.Now()-began < 90*clock.Minute {
		if v := l.Decide(testFingerprint); v.TrialDue {
			is.True(l.StartTrial(testFingerprint, v.Trials+1))
			is.True(!l.StartTrial(testFingerprint, v.Trials+1)) // a concurrent request
			at = append(at, c.Now()-began)
			is.Equal(l.AddCrashes(crashReport(c, fmt.Sprint("more", len(at)))), quarantine.CrashedAgain)
		}
		c.Advance(100)
	}
	is.True(len(at) <= 5)
	for i := 2; i < len(at); i++ {
		is.True(at[i]-at[i-1] > 2*(at[i-1]-at[i-2]))
	}
}

// TestMemoryIsBounded reports crashes of far more requests than a list holds. Quarantined requests stay.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := newHeldList(c)
	for i := range 10_000 {
		report := crashReport(c, "t")
		report.Fingerprint = quarantine.Fingerprint{byte(i), byte(i >> 8), 1}
		l.AddCrashes(report)
	}
	is.True(len(l.All()) <= 4096)
	is.True(l.Decide(testFingerprint).Held)
	c.Advance(11 * clock.Minute)
	l.Expire()
	is.Equal(len(l.All()), 1)
}

// TestRowsBringANodeUpToDate passes the rows that one node writes to another with an empty list, and back.
func TestRowsBringANodeUpToDate(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	here, there := newHeldList(c), quarantine.New(c)
	is.True(here.MarkDirty(testFingerprint))
	is.Equal(here.Dirty(), []quarantine.Fingerprint{testFingerprint})
	row := here.Row(testFingerprint, nil)
	here.MarkStored(testFingerprint)
	is.Equal(len(here.Dirty()), 0)
	key := quarantine.RowKey(testFingerprint)
	is.Equal(there.MergeRow(key, row)[testFingerprint], quarantine.Quarantined)
	is.Equal(there.MergeRow(key, row)[testFingerprint], quarantine.Unchanged)
	is.Equal(here.MergeRow(key, row)[testFingerprint], quarantine.Unchanged)

	is.Equal(there.AddCrashes(crashReport(c, "t0")), quarantine.Unchanged) // late report of a crash that is in the row
	c.Advance(5 * clock.Second)
	is.Equal(there.AddCrashes(crashReport(c, "t0")), quarantine.CrashedAgain) // the target restarted and crashed again

	there.Clear(testFingerprint)
	is.True(there.MarkDirty(testFingerprint))
	there.MergeRow(key, row) // the row is older than the clearing
	is.True(!there.Decide(testFingerprint).Held)
	row = there.Row(testFingerprint, row)
	is.Equal(len(row.GetSuspects()), 0)
	here.MergeRow(key, row)
	is.True(!here.Decide(testFingerprint).Held)
}

// TestRowsMerge has two nodes that exchange no datagrams write the crashes that each has seen.
func TestRowsMerge(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	here, there := quarantine.New(c), quarantine.New(c)
	here.AddCrashes(crashReport(c, "a"))
	here.AddCrashes(crashReport(c, "b"))
	there.AddCrashes(crashReport(c, "c"))
	key := quarantine.RowKey(testFingerprint)
	is.Equal(there.MergeRow(key, here.Row(testFingerprint, nil))[testFingerprint], quarantine.Quarantined)
	is.True(there.MarkDirty(testFingerprint))
	is.Equal(here.MergeRow(key, there.Row(testFingerprint, nil))[testFingerprint], quarantine.Quarantined)
}

// TestAFullRowClearsNothing fills a row until it drops a request. A request missing from a full row was not cleared.
func TestAFullRowClearsNothing(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := newHeldList(c)
	row := l.Row(testFingerprint, nil)
	l.MarkStored(testFingerprint)
	for i := range 8 {
		other := crashReport(c, "t")
		other.Fingerprint = testFingerprint
		other.Fingerprint[15] = byte(i)
		other.Fingerprint[14]++
		l.AddCrashes(other)
		row = l.Row(other.Fingerprint, row)
	}
	is.Equal(len(row.GetSuspects()), 8)
	l.MergeRow(quarantine.RowKey(testFingerprint), row)
	is.True(l.Decide(testFingerprint).Held)
}

func TestFromWireRejectsWrongFingerprintSizes(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, 15, 17} {
		_, ok := quarantine.FromWire(&tlv1.Suspect{Print: make([]byte, n)}, 0)
		is.True(!ok)
	}
}

// BenchmarkDecide measures the cost per request besides its fingerprints, with 1,000 suspect requests in the list.
func BenchmarkDecide(b *testing.B) {
	c := clock.NewManual(1000)
	l := newHeldList(c)
	for i := range 1000 {
		report := crashReport(c, "t")
		report.Fingerprint = quarantine.Fingerprint{byte(i), byte(i >> 8), 1}
		l.AddCrashes(report)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Decide(testFingerprint)
	}
}

// BenchmarkNothingSuspected measures the cost per request with an empty list.
func BenchmarkNothingSuspected(b *testing.B) {
	l := quarantine.New(clock.NewManual(1000))
	for b.Loop() {
		l.Empty()
	}
}

// TestClearedRequestIsNotListedAgainByACopy has the store come back from a copy whose row lists a request that was cleared since,
// beside others. A row of after the writers' time counts again.
func TestClearedRequestIsNotListedAgainByACopy(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := newHeldList(c)
	key := quarantine.RowKey(testFingerprint)
	row := l.Row(testFingerprint, nil)
	l.MergeRow(key, row)
	c.Advance(clock.Second)
	l.Clear(testFingerprint)
	l.MergeRow(key, &tlv1.Suspects{})
	c.Advance(clock.Second)
	settled := c.Now() + 2500
	is.Equal(l.StoreRestored(settled), []quarantine.Fingerprint{testFingerprint})
	l.MergeRow(key, row)
	is.True(!l.Decide(testFingerprint).Held)
	c.Advance(3 * clock.Second)
	l.MergeRow(key, row)
	is.True(l.Decide(testFingerprint).Held)
}

// TestReportsThatACopyLacksAreKept has the store come back from a copy whose row lacks a request.
func TestReportsThatACopyLacksAreKept(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(1000)
	l := newHeldList(c)
	key := quarantine.RowKey(testFingerprint)
	l.MergeRow(key, l.Row(testFingerprint, nil))
	lost := l.StoreRestored(c.Now())
	is.Equal(len(lost), 1)
	l.MarkLost(lost)
	l.MergeRow(key, &tlv1.Suspects{})
	is.True(l.Decide(testFingerprint).Held)
	is.Equal(l.Dirty(), lost)
}

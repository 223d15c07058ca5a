package clock

import (
	"errors"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// machine fakes a machine's clocks.
type machine struct {
	mu               sync.Mutex
	mono, wall, boot Millis
	bootReads        int
	bootErr          error
}

func (m *machine) read() reading {
	m.mu.Lock()
	defer m.mu.Unlock()
	return reading{mono: m.mono, wall: m.wall}
}

func (m *machine) bootTime() (boot, mono Millis, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bootReads++
	return m.boot, m.mono, m.bootErr
}

// run advances all clocks.
func (m *machine) run(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mono, m.wall, m.boot = m.mono+d, m.wall+d, m.boot+d
}

// suspend advances all clocks but the monotonic one.
func (m *machine) suspend(d Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wall, m.boot = m.wall+d, m.boot+d
}

func newMachine() *machine {
	return &machine{mono: 500, wall: 1_000_000, boot: 7_000}
}

// TestSuspensionsCount guards against the monotonic clock's stop while the machine is suspended: on resume,
// everything that expires by elapsed time seemed fresh, such as keys revoked meanwhile, shares of limits given to
// others, and leases.
func TestSuspensionsCount(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	c := newSystem(m.read, m.bootTime)
	is.Equal(c.Now(), Millis(1_000_000))
	m.run(2 * Second)
	is.Equal(c.Now(), Millis(1_002_000))
	asked := m.bootReads
	m.suspend(5 * Second)
	is.Equal(c.Now(), Millis(1_007_000)) // the first reading after resume includes it
	m.run(100)
	is.Equal(c.Now(), Millis(1_007_100))
	is.Equal(m.bootReads, asked+1) // the kernel is asked only once
	m.suspend(3 * Second)
	m.suspend(2 * Second)
	is.Equal(c.Now(), Millis(1_012_100))
}

// TestWallTimeIsNotFollowed sets wall time forward and back, alone and while the machine is suspended.
func TestWallTimeIsNotFollowed(t *testing.T) {
	is := is.New(t)
	m := newMachine()
	c := newSystem(m.read, m.bootTime)
	for _, jump := range []Millis{2 * Second, -5 * Second, 30, -30} {
		before := c.Now()
		m.wall += jump
		is.Equal(c.Now(), before)
		m.run(10)
		is.Equal(c.Now(), before+10)
	}
	before := c.Now()
	m.suspend(4 * Second)
	m.wall -= 3 * Second
	is.Equal(c.Now(), before+4*Second)
}

// TestClockNeverGoesBack reads the clock concurrently while the machine resumes, and then with a kernel clock that
// fails.
func TestClockNeverGoesBack(t *testing.T) {
	m := newMachine()
	c := newSystem(m.read, m.bootTime)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			last := c.Now()
			for range 2000 {
				now := c.Now()
				if now < last {
					t.Errorf("%d after %d", now, last)
				}
				last = now
			}
		})
	}
	for i := range 200 {
		m.run(1)
		m.suspend(Millis(i))
	}
	wg.Wait()
	m.bootErr = errors.New("no such clock")
	before := c.Now()
	m.suspend(Second)
	m.run(5)
	if now := c.Now(); now < before+5 {
		t.Errorf("%d after %d: the clock stops when the kernel clock fails", now, before)
	}
}

func TestSystemClockOfThisMachine(t *testing.T) {
	is := is.New(t)
	boot, mono, err := bootTime()
	is.NoErr(err)
	is.True(boot >= mono)
	c := NewSystem()
	first := c.Now()
	is.True(c.Now()-first < Second)
}

// BenchmarkNow measures one reading: 106 ns, against 68 for the monotonic clock alone.
func BenchmarkNow(b *testing.B) {
	c := NewSystem()
	for b.Loop() {
		_ = c.Now()
	}
}

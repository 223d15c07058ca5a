package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// wallSlack is how far the time of day may move against the steady clock until it is looked whether the machine was
// suspended. Adjusting it takes minutes for as much.
const wallSlack Millis = 20

// A reading is what the machine's clocks show: the steady one, which stands still while the machine is suspended, and the
// time of day, which does not, in milliseconds since any moments of their own.
type reading struct {
	steady, wall Millis
}

// A system clock starts at the wall clock's time and follows the monotonic clock, which goes on while the process is
// stopped, and what the machine was suspended besides: trust, leases and budgets that rest on elapsed time would all be
// taken as fresh at waking. Asking the kernel for both costs a system call; the time of day comes with the steady clock for
// nothing and jumps with a suspension, so the kernel is asked only when that has moved.
type system struct {
	read func() reading
	// boot is the steady clock with all suspensions; it fails if the machine cannot tell.
	boot func() (boot, steady Millis, err error)

	start reading
	// ahead is by how much boot was ahead of the steady clock at the start.
	ahead Millis
	// apart is by how much the time of day was ahead of the steady clock when last looked, and slept how long the machine
	// was suspended since the start.
	apart, slept atomic.Int64
}

// NewSystem returns the machine's clock.
func NewSystem() Clock {
	began := time.Now()
	return newSystem(func() reading {
		now := time.Now()
		return reading{steady: FromDuration(now.Sub(began)), wall: Millis(now.UnixMilli())}
	}, bootTime)
}

func newSystem(read func() reading, boot func() (boot, steady Millis, err error)) *system {
	c := &system{read: read, boot: boot, start: read()}
	c.apart.Store(int64(c.start.wall - c.start.steady))
	if b, steady, err := boot(); err == nil {
		c.ahead = b - steady
	}
	return c
}

// Now implements Clock.
func (c *system) Now() Millis {
	now := c.read()
	apart := now.wall - now.steady
	if moved := apart - Millis(c.apart.Load()); max(moved, -moved) > wallSlack {
		c.look(apart)
	}
	return c.start.wall + now.steady - c.start.steady + Millis(c.slept.Load())
}

// look asks the kernel how long the machine was suspended. Several may at once, and find the same; what was found is
// never taken back.
func (c *system) look(apart Millis) {
	if b, steady, err := c.boot(); err == nil {
		for slept := int64(b - steady - c.ahead); ; {
			was := c.slept.Load()
			if slept <= was || c.slept.CompareAndSwap(was, slept) {
				break
			}
		}
	}
	c.apart.Store(int64(apart))
}

// bootTime reads both of the kernel's steady clocks, the one that counts suspensions last: between them nothing is
// missed that the next look would not find.
func bootTime() (boot, steady Millis, err error) {
	var s, b unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &s); err != nil {
		return 0, 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &b); err != nil {
		return 0, 0, err
	}
	return millisOf(b), millisOf(s), nil
}

func millisOf(t unix.Timespec) Millis {
	return Millis(t.Sec)*Second + Millis(t.Nsec/int64(time.Millisecond))
}

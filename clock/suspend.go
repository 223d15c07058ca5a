package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// wallTolerance is how far wall time may move against the monotonic clock before the kernel is asked whether the
// machine was suspended. Adjusting the clock by as much takes minutes.
const wallTolerance Millis = 20

// A reading is what the machine's clocks show, each from its own origin: the monotonic one, which stops while the
// machine is suspended, and the wall clock, which does not.
type reading struct {
	mono, wall Millis
}

// A system clock starts at the wall clock's time and follows the monotonic clock, which runs on while the process
// is stopped, plus the time for which the machine was suspended: otherwise all trust, leases and budgets that rest
// on elapsed time would seem fresh on resume. Asking the kernel costs a system call. Wall time comes with the
// monotonic time at no extra cost and jumps on a suspension, so the kernel is asked only when it moved.
type system struct {
	read func() reading
	// boot returns the clock that includes suspensions along with the monotonic one; it fails if the machine has
	// none.
	boot func() (boot, mono Millis, err error)

	start reading
	// bootOffset is by how much boot time was ahead of monotonic time at the start.
	bootOffset Millis
	// wallOffset is by how much wall time was ahead of monotonic time when last checked, and suspended for how
	// long the machine was suspended since the start.
	wallOffset, suspended atomic.Int64
}

// NewSystem returns the machine's clock.
func NewSystem() Clock {
	start := time.Now()
	return newSystem(func() reading {
		now := time.Now()
		return reading{mono: FromDuration(now.Sub(start)), wall: Millis(now.UnixMilli())}
	}, bootTime)
}

func newSystem(read func() reading, boot func() (boot, mono Millis, err error)) *system {
	c := &system{read: read, boot: boot, start: read()}
	c.wallOffset.Store(int64(c.start.wall - c.start.mono))
	if b, mono, err := boot(); err == nil {
		c.bootOffset = b - mono
	}
	return c
}

// Now implements Clock.
func (c *system) Now() Millis {
	now := c.read()
	wallOffset := now.wall - now.mono
	if moved := wallOffset - Millis(c.wallOffset.Load()); max(moved, -moved) > wallTolerance {
		c.checkSuspend(wallOffset)
	}
	return c.start.wall + now.mono - c.start.mono + Millis(c.suspended.Load())
}

// checkSuspend asks the kernel how long the machine was suspended. Concurrent calls are safe: the result never
// decreases.
func (c *system) checkSuspend(wallOffset Millis) {
	if b, mono, err := c.boot(); err == nil {
		for suspended := int64(b - mono - c.bootOffset); ; {
			prev := c.suspended.Load()
			if suspended <= prev || c.suspended.CompareAndSwap(prev, suspended) {
				break
			}
		}
	}
	c.wallOffset.Store(int64(wallOffset))
}

// bootTime reads both kernel clocks, the one that counts suspensions last: a suspension between the two reads is
// not missed.
func bootTime() (boot, mono Millis, err error) {
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

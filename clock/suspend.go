package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// wallTolerance is how far the time of day may move against the steady clock until it is looked whether the machine was
// suspended. Adjusting it takes minutes for as much.
const wallTolerance Millis = 20

// A reading is what the machine's clocks show: the steady one, which stands still while the machine is suspended, and the
// time of day, which does not, in milliseconds since any moments of their own.
type reading struct {
	mono, wall Millis
}

// A system clock starts at the wall clock's time and follows the monotonic clock, which goes on while the process is
// stopped, and what the machine was suspended besides: trust, leases and budgets that rest on elapsed time would all be
// taken as fresh at waking. Asking the kernel for both costs a system call; the time of day comes with the steady clock for
// nothing and jumps with a suspension, so the kernel is asked only when that has moved.
type system struct {
	read func() reading
	// boot is the steady clock with all suspensions; it fails if the machine cannot tell.
	boot func() (boot, mono Millis, err error)

	start reading
	// bootOffset is by how much boot was bootOffset of the steady clock at the start.
	bootOffset Millis
	// wallOffset is by how much the time of day was ahead of the steady clock when last looked, and suspended how long the machine
	// was suspended since the start.
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

// checkSuspend asks the kernel how long the machine was suspended. Several may at once, and find the same; what was found is
// never taken back.
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

// bootTime reads both of the kernel's steady clocks, the one that counts suspensions last: between them nothing is
// missed that the next look would not find.
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

package clock

// maxDrift is how much two steady clocks may differ in pace, one part in so many: several times what the
// oscillators of VMs do.
const maxDrift = 2000

// A Remote struct relates another machine's steady clock to this one: it knows the earliest local time at which
// the other can have shown a reading. A question and its answer give that: what the answer shows, the other
// showed after the question went out. Unlike an age that is told, it holds however long a message lay in a
// buffer, and whichever process stood still meanwhile. The zero value knows nothing.
type Remote struct {
	known bool
	// offset is the least by which local time is ahead of the other's readings, as found at.
	offset Millis
	at     Millis
	// lastReading is the last reading of an answer, received at lastReadingAt.
	lastReading, lastReadingAt Millis
}

// Observe takes in the reading that an answer showed, to a question that was sent and answered at local times.
// It returns false if the other clock was set: what it showed before says nothing now.
func (r *Remote) Observe(sent, received, reading Millis) bool {
	back := r.lastReading > 0 && sent >= r.lastReadingAt && reading < r.lastReading
	ahead := r.known && r.offsetAt(received) > received-reading
	if back || ahead {
		r.known = false
	}
	if sent >= r.lastReadingAt {
		r.lastReading, r.lastReadingAt = reading, received
	}
	r.ObserveBound(sent, reading)
	return !back && !ahead
}

// ObserveBound takes in the latest that the other clock may have shown when a question was sent.
func (r *Remote) ObserveBound(sent, latest Millis) {
	if offset := sent - latest; !r.known || offset > r.offsetAt(sent) {
		r.known, r.offset, r.at = true, offset, sent
	}
}

// offsetAt is the offset with what may have been lost by drift since it was found.
func (r *Remote) offsetAt(now Millis) Millis {
	return r.offset - max(now-r.at, 0)/maxDrift
}

// Earliest returns the earliest local time at which the other clock can have shown the reading. It fails while
// nothing is known of that clock, and for a reading that the clock cannot have shown yet.
func (r *Remote) Earliest(reading, now Millis) (local Millis, ok bool) {
	if !r.known {
		return 0, false
	}
	local = reading + r.offsetAt(now)
	return local, local <= now
}

// Latest returns the latest that the other clock may show now, 0 if nothing is known of it.
func (r *Remote) Latest(now Millis) Millis {
	if !r.known {
		return 0
	}
	return now - r.offsetAt(now)
}

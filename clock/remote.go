package clock

// maxDrift bounds the difference in rate of two monotonic clocks, as one part in so many: several times the drift
// of VM oscillators.
const maxDrift = 2000

// A Remote struct relates another machine's monotonic clock to this one: it bounds from below the local time at
// which the other showed a reading. A query and its response give that bound: the other showed the reading after
// the query was sent. Unlike a reported age, the bound holds however long a message was buffered and whichever
// process was suspended. The zero value knows nothing.
type Remote struct {
	known bool
	// offset is the least by which local time is ahead of the other's readings, as found at the time at.
	offset Millis
	at     Millis
	// lastReading is the reading in the last response, which arrived at lastReadingAt.
	lastReading, lastReadingAt Millis
}

// Observe records the reading in a response to a query, with the local times of both. It returns false if the
// other clock was set, which voids its earlier readings.
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

// ObserveBound records an upper bound of the other clock's reading at the time a query was sent.
func (r *Remote) ObserveBound(sent, latest Millis) {
	if offset := sent - latest; !r.known || offset > r.offsetAt(sent) {
		r.known, r.offset, r.at = true, offset, sent
	}
}

// offsetAt is the offset less the drift possible since it was found.
func (r *Remote) offsetAt(now Millis) Millis {
	return r.offset - max(now-r.at, 0)/maxDrift
}

// Earliest returns the earliest local time at which the other clock can have shown the reading. It fails if
// nothing is known of that clock, and for a reading that it cannot have shown yet.
func (r *Remote) Earliest(reading, now Millis) (local Millis, ok bool) {
	if !r.known {
		return 0, false
	}
	local = reading + r.offsetAt(now)
	return local, local <= now
}

// Latest returns the latest reading that the other clock may show now, or 0 if nothing is known of it.
func (r *Remote) Latest(now Millis) Millis {
	if !r.known {
		return 0
	}
	return now - r.offsetAt(now)
}

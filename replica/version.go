package replica

// counterBits is the size of the store's counter within a version. At 1,200 writes a second it lasts for 29 years.
const counterBits = 40

// MaxCounter is the highest counter that a version can hold.
const MaxCounter = 1<<counterBits - 1

// NewVersion returns the version of what the store wrote at the counter in the era. The counter goes back when the store
// comes back from a copy, and the era rises then, so versions are ordered by era and counter.
func NewVersion(era, counter uint64) uint64 {
	return era<<counterBits | counter
}

// EraOf returns the version's era.
func EraOf(version uint64) uint64 {
	return version >> counterBits
}

// CounterOf returns the version's counter.
func CounterOf(version uint64) uint64 {
	return version & MaxCounter
}

package access

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// A Proof struct knows how long ago the store is proved to have held nothing newer than a node's keys. What is
// proved is a time of the store's own clock, so that nodes can hand it on and no copy of it grows younger: an age
// that is told does, while the message lies in a buffer or either process stands still. It is safe for concurrent use.
type Proof struct {
	mu     sync.Mutex
	store  clock.Remote
	proved clock.Millis
}

// ObserveStore takes in the store's own answer to a question that was sent and answered at local times: its clock
// showed the reading. Holds says that the answer proves that nothing newer was there.
func (p *Proof) ObserveStore(sent, received, reading clock.Millis, current bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.store.Observe(sent, received, reading) {
		p.proved = 0
	}
	if current {
		p.proved = max(p.proved, reading)
	}
}

// ObserveLatest takes in the latest that the store's clock may have shown when a question to another node was sent.
func (p *Proof) ObserveLatest(sent, latest clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if latest > 0 {
		p.store.ObserveBound(sent, latest)
	}
}

// Merge takes in another node's proof for the same keys. One that cannot be dated, or is of a time to come, is none.
func (p *Proof) Merge(proved, now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.store.Earliest(proved, now); !ok {
		return
	}
	if _, ok := p.store.Earliest(p.proved, now); !ok {
		p.proved = 0 // of a clock that was set since
	}
	p.proved = max(p.proved, proved)
}

// Age returns how long ago nothing newer was there, at most; false if that is not known.
func (p *Proof) Age(now clock.Millis) (age clock.Millis, proved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	local, ok := p.store.Earliest(p.proved, now)
	return now - local, ok && p.proved > 0
}

// Proved returns the time that is proved, by the store's clock, to be handed on; 0 if there is none.
func (p *Proof) Proved() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proved
}

// Latest returns the latest that the store's clock may show now; 0 if nothing is known of it.
func (p *Proof) Latest(now clock.Millis) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.Latest(now)
}

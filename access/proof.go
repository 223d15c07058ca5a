package access

import (
	"sync"

	"github.com/tinladder/tinladder/clock"
)

// Proof is a lower bound on how recent a node's keys are: the latest time at which the store is known to have held
// nothing newer. The time is of the store's clock, so that nodes can pass it on without making it look more recent. An
// age would look more recent, if the message is held in a buffer or either process is paused. Proof is safe for
// concurrent use.
type Proof struct {
	mu     sync.Mutex
	store  clock.Remote
	proved clock.Millis
}

// ObserveStore takes a response of the store: its clock read reading between the local times sent and received. Current
// reports that the response proves that there was nothing newer.
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

// ObserveLatest takes the upper bound that another node gave for the store's clock, in answer to a request sent then.
func (p *Proof) ObserveLatest(sent, latest clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if latest > 0 {
		p.store.ObserveBound(sent, latest)
	}
}

// Merge takes another node's proof for the same keys. It ignores one that can't be dated or lies in the future.
func (p *Proof) Merge(proved, now clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.store.Earliest(proved, now); !ok {
		return
	}
	if _, ok := p.store.Earliest(p.proved, now); !ok {
		p.proved = 0 // the store's clock was reset since
	}
	p.proved = max(p.proved, proved)
}

// Age returns an upper bound on how long ago there was nothing newer; false if none is known.
func (p *Proof) Age(now clock.Millis) (age clock.Millis, proved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	local, ok := p.store.Earliest(p.proved, now)
	return now - local, ok && p.proved > 0
}

// Proved returns the proved time, by the store's clock, to pass on to other nodes; 0 if there is none.
func (p *Proof) Proved() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proved
}

// Latest returns an upper bound on what the store's clock reads now; 0 if nothing is known of it.
func (p *Proof) Latest(now clock.Millis) clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.Latest(now)
}

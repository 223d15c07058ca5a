package backing

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
)

// Faults tells a Memory how to misbehave.
type Faults struct {
	// Away refuses every call.
	Away bool
	// Delay is added to every call.
	Delay clock.Millis
	// LoseAnswers loses the answers of that many commits, after they took effect.
	LoseAnswers int
	// VMLag is how old the list of VMs is.
	VMLag clock.Millis
}

// Rates of the platform, in calls a second. More wait for their turn.
const (
	ReadRate  = 2000
	WriteRate = 100
	// burst is how far calls may run ahead of their rate.
	burst = 1 * clock.Second
)

// A pacer holds calls to a rate.
type pacer struct {
	perCall float64
	next    float64
}

// take returns how long the next call must wait.
func (p *pacer) take(now clock.Millis) clock.Millis {
	p.next = max(p.next, float64(now-burst)) + p.perCall
	return max(clock.Millis(p.next)-now, 0)
}

// Usage counts calls.
type Usage struct {
	Reads  uint64
	Writes uint64
}

type vmList struct {
	at  clock.Millis
	vms []VM
}

// A Memory struct is a platform in memory, for tests and trials.
type Memory struct {
	clock clock.Clock
	wait  func(ctx context.Context, d clock.Millis) error

	mu      sync.Mutex
	rows    map[string]Row
	objects map[string][]byte
	lists   []vmList
	faults  Faults
	usage   Usage
	reads   pacer
	writes  pacer
}

// NewMemory returns an empty platform without faults. Wait is how delays pass.
func NewMemory(c clock.Clock, wait func(ctx context.Context, d clock.Millis) error) *Memory {
	return &Memory{
		clock:   c,
		wait:    wait,
		rows:    map[string]Row{},
		objects: map[string][]byte{},
		reads:   pacer{perCall: float64(clock.Second) / ReadRate},
		writes:  pacer{perCall: float64(clock.Second) / WriteRate},
	}
}

// SetFaults replaces the faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetVMs replaces the list of VMs, to be seen once the lag has passed.
func (m *Memory) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lists = append(m.lists, vmList{at: m.clock.Now(), vms: slices.Clone(vms)})
}

// Usage returns the calls served so far.
func (m *Memory) Usage() Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usage
}

// enter waits for the call's turn and the delay, and takes the lock unless the platform is away.
func (m *Memory) enter(ctx context.Context, p *pacer) error {
	m.mu.Lock()
	d := m.faults.Delay + p.take(m.clock.Now())
	m.mu.Unlock()
	if d > 0 {
		if err := m.wait(ctx, d); err != nil {
			return errors.Mark(err, ErrAway)
		}
	}
	m.mu.Lock()
	if m.faults.Away {
		m.mu.Unlock()
		return ErrAway
	}
	return nil
}

// Read implements Table.
func (m *Memory) Read(ctx context.Context, keys ...string) ([]Row, error) {
	if err := m.enter(ctx, &m.reads); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.usage.Reads++
	rows := make([]Row, len(keys))
	for i, k := range keys {
		rows[i] = m.row(k)
	}
	return rows, nil
}

func (m *Memory) row(key string) Row {
	r, found := m.rows[key]
	if !found {
		return Row{Key: key}
	}
	return r
}

// Scan implements Table.
func (m *Memory) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	if err := m.enter(ctx, &m.reads); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.usage.Reads++
	var rows []Row
	for _, k := range slices.Sorted(maps.Keys(m.rows)) {
		if len(rows) == limit {
			break
		}
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, m.rows[k])
		}
	}
	return rows, nil
}

// Commit implements Table.
func (m *Memory) Commit(ctx context.Context, writes ...Write) error {
	if err := m.enter(ctx, &m.writes); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.usage.Writes++
	if conflicts := m.conflicts(writes); len(conflicts) > 0 {
		return &Conflict{Rows: conflicts}
	}
	for _, w := range writes {
		m.rows[w.Key] = Row{Key: w.Key, Value: slices.Clone(w.Value), Version: w.Expected + 1}
	}
	if m.faults.LoseAnswers > 0 {
		m.faults.LoseAnswers--
		return ErrAway
	}
	return nil
}

func (m *Memory) conflicts(writes []Write) []Row {
	var rows []Row
	for _, w := range writes {
		if r := m.row(w.Key); r.Version != w.Expected {
			rows = append(rows, r)
		}
	}
	return rows
}

// Put implements ObjectStore.
func (m *Memory) Put(ctx context.Context, o Object) error {
	if err := m.enter(ctx, &m.writes); err != nil {
		return err
	}
	defer m.mu.Unlock()
	m.usage.Writes++
	m.objects[o.Name] = slices.Clone(o.Value)
	return nil
}

// List implements ObjectStore.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	if err := m.enter(ctx, &m.reads); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.usage.Reads++
	var objects []Object
	for _, name := range slices.Sorted(maps.Keys(m.objects)) {
		if len(objects) == limit {
			break
		}
		if strings.HasPrefix(name, prefix) && name > after {
			objects = append(objects, Object{Name: name, Value: m.objects[name]})
		}
	}
	return objects, nil
}

// VMs implements VMList.
func (m *Memory) VMs(ctx context.Context) ([]VM, error) {
	if err := m.enter(ctx, &m.reads); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	m.usage.Reads++
	seen := m.clock.Now() - m.faults.VMLag
	for _, l := range slices.Backward(m.lists) {
		if l.at <= seen {
			return slices.Clone(l.vms), nil
		}
	}
	return nil, nil
}

package fair

import (
	"cmp"
	"math"
	"slices"

	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// An Entry is a request that waits.
type Entry interface {
	comparable
	// Place returns the request's priority, its workspace, and its work in milliseconds.
	Place() (priority uint32, w ident.Workspace, work float64)
}

// A Queue holds requests that wait: by priority, then of the workspace with the least work in flight for its weight, then in
// the order of coming.
type Queue[E Entry] struct {
	book    *Book
	classes []*class[E]
	seq     uint64
	n       int
}

// A class holds the requests of one priority.
type class[E Entry] struct {
	priority uint32
	groups   []*group[E]
	byName   map[ident.Workspace]*group[E]
	work     float64
}

// A group holds the requests of one priority and workspace, in the order of coming.
type group[E Entry] struct {
	account *account
	entries []E
	work    float64
	// seq tells when the group came to be; it decides between workspaces with equal work.
	seq uint64
	// load is the account's when the group was last put in order.
	load float64
}

// NewQueue returns an empty queue that orders by the book's accounts.
func NewQueue[E Entry](b *Book) *Queue[E] {
	q := &Queue[E]{book: b}
	b.queue = q
	return q
}

// Len returns the number of entries.
func (q *Queue[E]) Len() int {
	return q.n
}

// Add queues the entry.
func (q *Queue[E]) Add(e E) {
	priority, w, work := e.Place()
	c := q.class(priority)
	g := c.byName[w]
	if g == nil {
		q.seq++
		g = &group[E]{account: q.book.open(w), seq: q.seq}
		g.account.groups++
		g.load = g.account.load()
		c.byName[w] = g
		c.groups = slices.Insert(c.groups, c.place(g), g)
	}
	g.entries = append(g.entries, e)
	g.account.waiting++
	g.work += work
	c.work += work
	q.n++
}

// Remove takes the entry out of the queue.
func (q *Queue[E]) Remove(e E) {
	priority, w, work := e.Place()
	c := q.class(priority)
	g := c.byName[w]
	i := slices.Index(g.entries, e)
	g.entries = slices.Delete(g.entries, i, i+1)
	g.account.waiting--
	g.work -= work
	c.work -= work
	q.n--
	if len(g.entries) > 0 {
		return
	}
	at := c.place(g)
	c.groups = slices.Delete(c.groups, at, at+1)
	delete(c.byName, w)
	g.account.groups--
	q.book.close(g.account)
	if len(c.groups) == 0 {
		q.classes = slices.DeleteFunc(q.classes, func(o *class[E]) bool { return o == c })
	}
}

// class returns the class of the priority, which is added if need be.
func (q *Queue[E]) class(priority uint32) *class[E] {
	i, found := slices.BinarySearchFunc(q.classes, priority, func(c *class[E], p uint32) int { return cmp.Compare(c.priority, p) })
	if !found {
		q.classes = slices.Insert(q.classes, i, &class[E]{priority: priority, byName: map[ident.Workspace]*group[E]{}})
	}
	return q.classes[i]
}

// place returns where the group is, or belongs.
func (c *class[E]) place(g *group[E]) int {
	i, _ := slices.BinarySearchFunc(c.groups, g, func(a, b *group[E]) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.seq, b.seq))
	})
	return i
}

// reorder moves the account's groups to where its load puts them.
func (q *Queue[E]) reorder(a *account) {
	for _, c := range q.classes {
		g := c.byName[a.workspace]
		if g == nil || g.load == a.load() {
			continue
		}
		from := c.place(g)
		g.load = a.load()
		c.groups = slices.Delete(c.groups, from, from+1)
		c.groups = slices.Insert(c.groups, c.place(g), g)
	}
}

// Next returns the entry that is to get the next slot, if those that are skipped cannot use it: of their workspaces the
// others go first. Skipped entries must be few.
func (q *Queue[E]) Next(skipped []E) (e E, found bool) {
	for _, c := range q.classes {
		for depth := range len(skipped) + 1 {
			for _, g := range c.groups {
				if len(g.entries) > depth && g.skips(skipped) == depth {
					if e, found := g.first(skipped); found {
						return e, true
					}
				}
			}
		}
	}
	return e, false
}

// skips counts the group's entries that are skipped.
func (g *group[E]) skips(skipped []E) int {
	n := 0
	for _, e := range skipped {
		if slices.Contains(g.entries[:min(len(g.entries), len(skipped))], e) {
			n++
		}
	}
	return n
}

// first returns the group's first entry that is not skipped.
func (g *group[E]) first(skipped []E) (e E, found bool) {
	for _, e := range g.entries {
		if !slices.Contains(skipped, e) {
			return e, true
		}
	}
	return e, false
}

// IsNext reports whether no entry goes before a request of the workspace that comes now.
func (q *Queue[E]) IsNext(priority uint32, w ident.Workspace) bool {
	if q.n == 0 || q.classes[0].priority > priority {
		return true
	}
	if q.classes[0].priority < priority {
		return false
	}
	c := q.classes[0]
	return c.byName[w] == nil && q.book.load(w) < c.groups[0].load
}

// Ahead returns the work, in milliseconds, of the entries that go before a request of the workspace that comes now. It stops
// counting once the work exceeds limit.
func (q *Queue[E]) Ahead(priority uint32, w ident.Workspace, limit float64) float64 {
	sum := 0.0
	for _, c := range q.classes {
		switch {
		case c.priority > priority || sum > limit:
			return sum
		case c.priority < priority:
			sum += c.work
		default:
			sum += c.ahead(q.book, w, limit-sum)
		}
	}
	return sum
}

// ahead is Ahead within the class. An entry goes before the request if its workspace, with those before it in flight, has no
// more work than the request's workspace with its own in flight.
func (c *class[E]) ahead(b *Book, w ident.Workspace, limit float64) float64 {
	own, weight := 0, 1.0
	if g := c.byName[w]; g != nil {
		own, weight = len(g.entries), g.account.weight
	}
	mine, sum := b.load(w)+float64(own)/weight, 0.0
	for _, g := range c.groups {
		if g.load > mine || sum > limit {
			break
		}
		if n := math.Floor((mine-g.load)*g.account.weight) + 1; g.account.workspace != w && n < float64(len(g.entries)) {
			sum += n * g.work / float64(len(g.entries))
		} else {
			sum += g.work
		}
	}
	return sum
}

// visitWaiting calls visit for each workspace with requests that wait, of the priority and more urgent ones.
func (q *Queue[E]) visitWaiting(priority uint32, visit func(a *account, n int)) {
	for _, c := range q.classes {
		if c.priority > priority {
			return
		}
		for _, g := range c.groups {
			visit(g.account, len(g.entries))
		}
	}
}

// rank returns the most urgent priority of the workspace's requests that wait.
func (q *Queue[E]) rank(w ident.Workspace) uint32 {
	for _, c := range q.classes {
		if c.byName[w] != nil {
			return c.priority
		}
	}
	return 0
}

// A Group is what waits of one workspace and priority, in the order of coming.
type Group[E Entry] struct {
	Workspace ident.Workspace
	Priority  uint32
	Entries   []E
}

// Beyond returns the groups whose workspaces have their share or more, while others want room.
func (q *Queue[E]) Beyond(now clock.Millis) (list []Group[E]) {
	for _, c := range q.classes {
		s := q.book.shares(c.priority, now)
		for _, g := range slices.Backward(c.groups) {
			if !s.contested || g.load < s.level {
				break
			}
			list = append(list, Group[E]{Workspace: g.account.workspace, Priority: c.priority, Entries: slices.Clone(g.entries)})
		}
	}
	return list
}

package soak

import (
	"math/rand/v2"
	"time"

	"github.com/tinladder/tinladder/platform/standin"
)

// entryEvery is the pause between the entries that another writer writes.
const entryEvery = 400 * time.Millisecond

// forgeEntries has a target lose its entry and serve on, while another writer writes entries under its id that lack fields.
// Another target comes.
func forgeEntries(w *world, r *rand.Rand, say func(string, ...any)) {
	t := w.someTarget(r)
	if !w.leaves(t) {
		return
	}
	if err := w.addTarget(t.Service, t.Hall); err != nil {
		say("%v", err)
	}
	t.Unregister()
	w.mu.Lock()
	t.leftAt = time.Now()
	w.mu.Unlock()
	rows := standin.IncompleteRows(standin.TargetRow(t.Address(), t.Service, t.Hall, "ready", t.Slots))
	for end := time.Now().Add(drainTimeout + 4*time.Second); time.Now().Before(end); time.Sleep(entryEvery) {
		row := rows[r.IntN(len(rows))]
		say("%s: %s", t.ID, row)
		w.store.Put("servers", t.ID, row)
	}
	t.Unregister()
	t.Close()
}

// Package backing meets the platform that the fleet runs on: its table, its object store and
// its list of VMs. The fleet keeps there all that must last.
package backing

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
)

// ErrAway says that the platform did not answer. A commit that fails so may have taken effect.
var ErrAway = errors.New("platform does not answer")

// A Row struct is one row of the table. Version 0 means that there is no such row.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// A Write struct sets a row if its version is the expected one; 0 expects no row.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64
}

// A Conflict error says that a commit was refused, and which rows were not as expected.
type Conflict struct {
	Rows []Row
}

// Error names the first row in the way.
func (c *Conflict) Error() string {
	if len(c.Rows) == 0 {
		return "table conflict"
	}
	return "table conflict at " + c.Rows[0].Key
}

// A Table is the transactional table service.
type Table interface {
	// Read returns a row for each key, in order, with version 0 for those absent.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix, in key order, after the key named.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit makes all writes or none. It fails with *Conflict, or with ErrAway when
	// nobody knows.
	Commit(ctx context.Context, writes ...Write) error
}

// An Object struct is a named value.
type Object struct {
	Name  string
	Value []byte
}

// An ObjectStore keeps values that are written once.
type ObjectStore interface {
	Put(ctx context.Context, o Object) error
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
}

// A VM struct is one line of the platform's list, which lags.
type VM struct {
	// Address is where the VM's node hears gossip.
	Address string
	Hall    ident.Hall
	Leaving bool
}

// A VMList is the platform's list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}

// A Platform is all three.
type Platform interface {
	Table
	ObjectStore
	VMList
}

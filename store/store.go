// Package store defines what the fleet needs of the platform's store: rows with conditional writes, objects, and
// records whose changes can be followed.
package store

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/replica"
)

// Errors of calls.
var (
	// ErrUnavailable reports that the store did not answer, or refused. A commit that fails with it may have taken
	// effect, or may still do so.
	ErrUnavailable = errors.New("store does not answer")
	// ErrInvalid reports that the store rejects the call, now and later. Nothing was written.
	ErrInvalid = errors.New("store does not take the call")
	// ErrContended reports that concurrent writers won each attempt. Nothing was written, and the store is available.
	ErrContended = errors.New("other writers were faster")
	// ErrGap reports that the store no longer has all changes since the cursor; the whole set must be read again.
	ErrGap = errors.New("changes were forgotten")
	// ErrSuperseded reports that the changes since the cursor arrive so slowly that reading the whole set is faster.
	ErrSuperseded = errors.New("newer changes follow")
)

// Row is a row of the table. Version 0 means that it doesn't exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Write sets a row if its version is the expected one; 0 expects no row. The store has no rows without a value: a write
// without one deletes the row.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64
}

// Conflict is the error of a refused commit, with the current rows that conflict with it.
type Conflict struct {
	Rows []Row
}

// Error names the first conflicting row.
func (c *Conflict) Error() string {
	if len(c.Rows) == 0 {
		return "table conflict"
	}
	return "table conflict at " + strconv.Quote(c.Rows[0].Key)
}

// Table holds the fleet's own rows.
type Table interface {
	// Read returns a row for each key, in order, with version 0 for those that don't exist.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix, in key order, starting after the given key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. It fails with *Conflict, with ErrUnavailable if the outcome is unknown, or
	// with ErrInvalid if the store rejects the writes.
	Commit(ctx context.Context, writes ...Write) error
}

// Object is a named value.
type Object struct {
	Name  string
	Value []byte
}

// Objects stores values that are written once.
type Objects interface {
	Put(ctx context.Context, o Object) error
	// List returns up to limit objects whose names have the prefix, starting after the given name.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
}

// Kind names a set of records that nodes follow.
type Kind string

// Kinds of records.
const (
	// State is the desired state that the platform's operators write, as one record.
	State Kind = "state"
	// Targets are the targets that registered themselves.
	Targets Kind = "targets"
	// Evacuations are the names of halls whose targets must not receive requests. The platform's operators write them
	// next to the State, and they are delivered with it.
	Evacuations Kind = "evacuations"
	// Documents are what operators write through the fleet's own API.
	Documents Kind = "documents"
	// Suspects are requests during which targets crashed, as recorded by nodes.
	Suspects Kind = "suspects"
)

// HasOwnVersions reports whether records of the kind name their version themselves, and are ordered by it. They are never
// deleted. All other records have the versions of the store's rows, which go back when the store loses rows.
func (k Kind) HasOwnVersions() bool {
	return k == State || k == Documents
}

// Refusal reports a record, or a part of one, that can't be used.
type Refusal struct {
	Kind Kind
	Key  string
	// Part is the part of the record that can't be used; "" means all of it.
	Part string
	// Version is that of the store's row.
	Version uint64
	Err     error
}

// Cursor is a position in the changes of a kind, from which to continue.
type Cursor uint64

// Reply is a set of records, or of changes, that the store returned.
type Reply struct {
	Records []replica.Record
	// With holds records of kinds that are delivered with this one. After a full read it has an entry for each such
	// kind.
	With map[Kind][]replica.Record
	// Cursor is the position up to which the records are complete, from which to continue.
	Cursor Cursor
	// Clock is the reading of the store's monotonic clock at that time; 0 if it has none.
	Clock clock.Millis
	// Era rises each time that the store loses what was written after some moment; 0 if it is not known.
	Era uint64
}

// Source provides the records of each kind.
type Source interface {
	// Read returns all records of the kind.
	Read(ctx context.Context, k Kind) (Reply, error)
	// Follow returns the changes since the cursor as soon as there are any, or none after the wait. It fails with
	// ErrGap if the store no longer has them, and with ErrSuperseded if a full read is faster.
	Follow(ctx context.Context, k Kind, m Cursor, wait clock.Millis) (Reply, error)
}

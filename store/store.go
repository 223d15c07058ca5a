// Package store says what the fleet needs of the platform's store: rows that are written under
// conditions, objects, and records that can be followed.
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
	// ErrUnavailable says that the store did not answer, or refused. A commit that fails so may have taken
	// effect, or may yet.
	ErrUnavailable = errors.New("store does not answer")
	// ErrInvalid says that the store answered and will not take this call, now or later: nothing was written.
	ErrInvalid = errors.New("store does not take the call")
	// ErrContended says that other writers were faster each time: nothing was written, and the store answers.
	ErrContended = errors.New("other writers were faster")
	// ErrGap says that the store no longer knows all changes since the mark: read the whole again.
	ErrGap = errors.New("changes were forgotten")
	// ErrSuperseded says that changes since the mark come so slowly that the newest is had sooner by reading the whole.
	ErrSuperseded = errors.New("newer changes follow")
)

// A Row struct is one row of the table. Version 0 means that there is no such row.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// A Write struct sets a row if its version is the expected one; 0 expects no row. The store takes no row without a value:
// a write without one removes the row.
type Write struct {
	Key      string
	Value    []byte
	Expected uint64
}

// A Conflict error says that a commit was refused, and how the rows in the way stand.
type Conflict struct {
	Rows []Row
}

// Error names the first row in the way.
func (c *Conflict) Error() string {
	if len(c.Rows) == 0 {
		return "table conflict"
	}
	return "table conflict at " + strconv.Quote(c.Rows[0].Key)
}

// A Table holds rows of the fleet's own.
type Table interface {
	// Read returns a row for each key, in order, with version 0 for those absent.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix, in key order, after the key named.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit makes all writes or none. It fails with *Conflict, with ErrAway when nobody knows, or with ErrInvalid when the
	// store does not take them.
	Commit(ctx context.Context, writes ...Write) error
}

// An Object struct is a named value.
type Object struct {
	Name  string
	Value []byte
}

// Objects keeps values that are written once.
type Objects interface {
	Put(ctx context.Context, o Object) error
	// List returns the objects whose names have the prefix and come after the one named.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
}

// A Kind names a set of records that nodes follow.
type Kind string

// Kinds of records.
const (
	// State is the desired state that the platform's operators write, as one record.
	State Kind = "state"
	// Targets are the targets that registered themselves.
	Targets Kind = "targets"
	// Evacuations are the halls whose targets are to get nothing, by their names. The platform's operators write them
	// beside the State, and they come with it.
	Evacuations Kind = "evacuations"
	// Documents are what operators write through the fleet's own interface.
	Documents Kind = "documents"
	// Suspects are requests under which targets crashed, as nodes write them.
	Suspects Kind = "suspects"
)

// A Refusal struct is a record, or a part of one, that cannot be used.
type Refusal struct {
	Kind Kind
	Key  string
	// Part names what of the record cannot be used; "" says that all of it cannot.
	Part string
	// Version is the record's.
	Version uint64
	Err     error
}

// A Cursor is a place in a kind's changes, to go on from.
type Cursor uint64

// A Reply struct is what the store says of a kind's records.
type Reply struct {
	Records []replica.Record
	// With are records of kinds that come with this one. If all were read, each kind there is has an entry.
	With map[Kind][]replica.Record
	// Cursor is where to go on from: up to there the records are all there are.
	Cursor Cursor
	// Clock is what the store's own steady clock showed then; 0 if it tells none.
	Clock clock.Millis
}

// A Source is where records are kept.
type Source interface {
	// Read returns all records of the kind.
	Read(ctx context.Context, k Kind) (Reply, error)
	// Follow returns the changes since the mark as soon as there are any, or none after the wait. It
	// fails with ErrGap when it no longer knows them, and with ErrSuperseded when the newest is better read alone.
	Follow(ctx context.Context, k Kind, m Cursor, wait clock.Millis) (Reply, error)
}

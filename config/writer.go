package config

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// Keys of rows in the store. One commit writes all rows of a change: the document, a row of the log, a row
// under the change's id, a row of the document's history, and the head of the log.
const (
	headRow       = "head"
	changePrefix  = "change/"
	idPrefix      = "id/"
	historyPrefix = "history/"
	seqFormat     = "%020d"
)

const (
	// maxCommitTries is how often a change is tried while others take its place in the log.
	maxCommitTries = 32
	// maxResolveTries is how often Apply queries the outcome of a commit whose response was lost.
	maxResolveTries = 8
)

// Errors of a change.
var (
	// ErrVoided: the change was not applied, and never will be.
	ErrVoided = errors.New("change was not made")
	// ErrOutcomeUnknown: the change may have been applied. Resolve finds out once the store answers.
	ErrOutcomeUnknown = errors.New("change may have been made")
)

// A StaleError reports that a change expected another version than the one in the store.
type StaleError struct {
	Key      ident.Key
	Expected ident.Version
	Current  ident.Version
}

// Error names both versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s: expected version %d, but version %d is in force", e.Key, e.Expected, e.Current)
}

// A Request is an operator's request to change a document.
type Request struct {
	// ID identifies the change and makes the request idempotent.
	ID     string
	Author string
	// Document is the new document. Its version is the one that it replaces.
	Document *tlv1.Document
}

// A Writer applies changes.
type Writer interface {
	// Apply applies the change. Its errors are ErrInvalid, *StaleError, ErrVoided, ErrOutcomeUnknown and
	// store.ErrUnavailable, the last only if nothing was written.
	Apply(ctx context.Context, r Request) (*tlv1.Change, error)
	// Resolve returns the outcome of a change, and voids it if it was not applied.
	Resolve(ctx context.Context, id string) (*tlv1.Change, error)
	// Restore writes a document again that the store has lost, as a change of its own with a higher version. It returns nil
	// if the store holds the document's version or a later one.
	Restore(ctx context.Context, d *tlv1.Document) (*tlv1.Change, error)
}

type writer struct {
	table store.Table
	clock clock.Clock
}

// NewWriter returns a Writer that writes to the table.
func NewWriter(t store.Table, c clock.Clock) Writer {
	return &writer{table: t, clock: c}
}

// snapshot holds the rows that a change is based on.
type snapshot struct {
	id   store.Row
	head store.Row
	doc  store.Row
}

func (w *writer) Apply(ctx context.Context, r Request) (c *tlv1.Change, err error) {
	defer func() { err = errors.Wrapf(err, "apply change %s", r.ID) }()
	if err := Check(r.Document); err != nil {
		return nil, err
	}
	if err := ident.CheckName(r.ID); err != nil {
		return nil, markInvalid(errors.Wrap(err, "change id"))
	}
	for range maxCommitTries {
		c, done, err := w.attempt(ctx, r)
		if done || err != nil {
			return c, err
		}
	}
	return nil, errors.Wrap(store.ErrUnavailable, "log is too busy")
}

// attempt tries to commit the change. It returns done = false if another change was committed first.
func (w *writer) attempt(ctx context.Context, r Request) (c *tlv1.Change, done bool, err error) {
	s, err := w.readSnapshot(ctx, r)
	if err != nil {
		return nil, false, err
	}
	if s.id.Version > 0 {
		c, err := decodeChange(s.id)
		return c, true, err
	}
	c, err = w.build(r, s)
	if err != nil {
		return nil, false, err
	}
	writes, err := writesFor(c, s)
	if err != nil {
		return nil, false, err
	}
	err = w.table.Commit(ctx, writes...)
	var conflict *store.Conflict
	switch {
	case err == nil:
		return c, true, nil
	case errors.As(err, &conflict):
		return nil, false, nil
	}
	c, err = w.resolveLostCommit(ctx, r.ID)
	return c, true, err
}

func (w *writer) readSnapshot(ctx context.Context, r Request) (s snapshot, err error) {
	rows, err := w.table.Read(ctx, idPrefix+r.ID, headRow, r.Document.GetKey())
	if err != nil {
		return snapshot{}, err
	}
	return snapshot{id: rows[0], head: rows[1], doc: rows[2]}, nil
}

// build returns the change that follows the snapshot.
func (w *writer) build(r Request, s snapshot) (*tlv1.Change, error) {
	current, err := decodeDocument(s.doc)
	if err != nil {
		return nil, err
	}
	if current.GetVersion() != r.Document.GetVersion() {
		return nil, &StaleError{
			Key:      ident.Key(r.Document.GetKey()),
			Expected: ident.Version(r.Document.GetVersion()),
			Current:  ident.Version(current.GetVersion()),
		}
	}
	head, err := decodeHead(s.head)
	if err != nil {
		return nil, err
	}
	seq := head + 1
	doc := proto.CloneOf(r.Document)
	doc.Version = seq
	return &tlv1.Change{
		Id:       r.ID,
		Seq:      seq,
		Who:      r.Author,
		AtMs:     int64(w.clock.Now()),
		Document: doc,
		Replaced: current.GetVersion(),
	}, nil
}

func writesFor(c *tlv1.Change, s snapshot) ([]store.Write, error) {
	change, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	doc, err := proto.Marshal(c.GetDocument())
	if err != nil {
		return nil, err
	}
	return []store.Write{
		{Key: idPrefix + c.GetId(), Value: change},
		{Key: headRow, Value: encodeHead(c.GetSeq()), Expected: s.head.Version},
		{Key: changePrefix + seqKey(c.GetSeq()), Value: change},
		{Key: historyPrefix + c.GetDocument().GetKey() + "/" + seqKey(c.GetSeq()), Value: change},
		{Key: c.GetDocument().GetKey(), Value: doc, Expected: s.doc.Version},
	}, nil
}

// encodeHead returns the value of the head row: the last change's sequence number.
func encodeHead(seq uint64) []byte {
	return []byte(strconv.FormatUint(seq, 10))
}

func decodeHead(head store.Row) (uint64, error) {
	if head.Version == 0 {
		return 0, nil
	}
	seq, err := strconv.ParseUint(string(head.Value), 10, 64)
	return seq, errors.Wrap(err, "head of the log")
}

func seqKey(seq uint64) string {
	return fmt.Sprintf(seqFormat, seq)
}

// resolveLostCommit determines the outcome of a commit whose response was lost. It relies only on the
// change's own row in the store, as in section 4.2 of "Spot and Actor Membership".
func (w *writer) resolveLostCommit(ctx context.Context, id string) (*tlv1.Change, error) {
	for range maxResolveTries {
		c, err := w.Resolve(ctx, id)
		if err == nil || !errors.Is(err, store.ErrUnavailable) {
			return c, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Wrapf(ErrOutcomeUnknown, "ask after change %s later", id)
}

func (w *writer) Resolve(ctx context.Context, id string) (c *tlv1.Change, err error) {
	defer func() { err = errors.Wrapf(err, "resolve change %s", id) }()
	rows, err := w.table.Read(ctx, idPrefix+id)
	if err != nil {
		return nil, err
	}
	if rows[0].Version > 0 {
		return decodeChange(rows[0])
	}
	return w.void(ctx, id)
}

// void writes the change's own row, so that a delayed commit of the change fails with a conflict.
func (w *writer) void(ctx context.Context, id string) (*tlv1.Change, error) {
	c := &tlv1.Change{Id: id, AtMs: int64(w.clock.Now()), Voided: true}
	value, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	err = w.table.Commit(ctx, store.Write{Key: idPrefix + id, Value: value})
	var conflict *store.Conflict
	switch {
	case err == nil:
		return c, ErrVoided
	case errors.As(err, &conflict) && len(conflict.Rows) > 0:
		return decodeChange(conflict.Rows[0])
	}
	return nil, err
}

func decodeChange(r store.Row) (*tlv1.Change, error) {
	c := &tlv1.Change{}
	if err := proto.Unmarshal(r.Value, c); err != nil {
		return nil, errors.Wrapf(err, "row %s", r.Key)
	}
	if c.GetVoided() {
		return c, ErrVoided
	}
	return c, nil
}

func decodeDocument(r store.Row) (*tlv1.Document, error) {
	d := &tlv1.Document{}
	if err := proto.Unmarshal(r.Value, d); err != nil {
		return nil, errors.Wrapf(err, "row %s", r.Key)
	}
	return d, nil
}

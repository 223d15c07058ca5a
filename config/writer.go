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

// Rows of the table. Every change writes its document, a row of the log, a row that finds it by
// its id, a row of the document's history, and the head of the log, all in one commit.
const (
	headRow       = "head"
	changePrefix  = "change/"
	idPrefix      = "id/"
	historyPrefix = "history/"
	seqFormat     = "%020d"
)

const (
	// maxRaces is how often a change is tried again when another one took its place in the log.
	maxRaces = 32
	// maxReads is how often the fate of a commit without answer is asked after.
	maxReads = 8
)

// Errors of a change.
var (
	// ErrVoided says that the change was not made, and never will be.
	ErrVoided = errors.New("change was not made")
	// ErrUndecided says that nobody knows yet; Resolve settles it once the table answers.
	ErrUndecided = errors.New("change may have been made")
)

// A StaleError says that a change expected another version than the one in the table.
type StaleError struct {
	Key      ident.Key
	Expected ident.Version
	Current  ident.Version
}

// Error names both versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s: expected version %d, but version %d is in force", e.Key, e.Expected, e.Current)
}

// A Request struct is a change that an operator wants.
type Request struct {
	// ID names the change; a request sent again makes no second one.
	ID  string
	Who string
	// Document carries the wanted state; its version is the one expected.
	Document *tlv1.Document
}

// A Writer makes changes.
type Writer interface {
	// Apply makes the change, or says why not: ErrInvalid, *StaleError, ErrVoided, ErrUndecided
	// or store.ErrAway, the last only if nothing was written.
	Apply(ctx context.Context, r Request) (*tlv1.Change, error)
	// Resolve says what became of a change, and voids it if it was not made.
	Resolve(ctx context.Context, id string) (*tlv1.Change, error)
}

type writer struct {
	table store.Table
	clock clock.Clock
}

// NewWriter returns a Writer on the table.
func NewWriter(t store.Table, c clock.Clock) Writer {
	return &writer{table: t, clock: c}
}

// state is what a change is built on.
type state struct {
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
	for range maxRaces {
		c, done, err := w.try(ctx, r)
		if done || err != nil {
			return c, err
		}
	}
	return nil, errors.Wrap(store.ErrUnavailable, "log is too busy")
}

// try makes one attempt. It is not done if another change was faster.
func (w *writer) try(ctx context.Context, r Request) (c *tlv1.Change, done bool, err error) {
	s, err := w.read(ctx, r)
	if err != nil {
		return nil, false, err
	}
	if s.id.Version > 0 {
		c, err := made(s.id)
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
	c, err = w.settle(ctx, r.ID)
	return c, true, err
}

func (w *writer) read(ctx context.Context, r Request) (s state, err error) {
	rows, err := w.table.Read(ctx, idPrefix+r.ID, headRow, r.Document.GetKey())
	if err != nil {
		return state{}, err
	}
	return state{id: rows[0], head: rows[1], doc: rows[2]}, nil
}

// build returns the change that follows the state read.
func (w *writer) build(r Request, s state) (*tlv1.Change, error) {
	current, err := documentIn(s.doc)
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
	head, err := seqIn(s.head)
	if err != nil {
		return nil, err
	}
	seq := head + 1
	doc := proto.CloneOf(r.Document)
	doc.Version = seq
	return &tlv1.Change{
		Id:       r.ID,
		Seq:      seq,
		Who:      r.Who,
		AtMs:     int64(w.clock.Now()),
		Document: doc,
		Replaced: current.GetVersion(),
	}, nil
}

func writesFor(c *tlv1.Change, s state) ([]store.Write, error) {
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
		{Key: headRow, Value: seqValue(c.GetSeq()), Expected: s.head.Version},
		{Key: changePrefix + seqKey(c.GetSeq()), Value: change},
		{Key: historyPrefix + c.GetDocument().GetKey() + "/" + seqKey(c.GetSeq()), Value: change},
		{Key: c.GetDocument().GetKey(), Value: doc, Expected: s.doc.Version},
	}, nil
}

// seqValue is the value of the head of the log: the last change's sequence number.
func seqValue(seq uint64) []byte {
	return []byte(strconv.FormatUint(seq, 10))
}

func seqIn(head store.Row) (uint64, error) {
	if head.Version == 0 {
		return 0, nil
	}
	seq, err := strconv.ParseUint(string(head.Value), 10, 64)
	return seq, errors.Wrap(err, "head of the log")
}

func seqKey(seq uint64) string {
	return fmt.Sprintf(seqFormat, seq)
}

// settle finds out what became of a commit whose answer was lost. It reads the change's own
// row again and never guesses; the same rule as section 4.2 of "Spot and Actor Membership".
func (w *writer) settle(ctx context.Context, id string) (*tlv1.Change, error) {
	for range maxReads {
		c, err := w.Resolve(ctx, id)
		if err == nil || !errors.Is(err, store.ErrUnavailable) {
			return c, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Wrapf(ErrUndecided, "ask after change %s later", id)
}

func (w *writer) Resolve(ctx context.Context, id string) (c *tlv1.Change, err error) {
	defer func() { err = errors.Wrapf(err, "resolve change %s", id) }()
	rows, err := w.table.Read(ctx, idPrefix+id)
	if err != nil {
		return nil, err
	}
	if rows[0].Version > 0 {
		return made(rows[0])
	}
	return w.void(ctx, id)
}

// void takes the change's own row, so that a late commit of it must fail.
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
		return made(conflict.Rows[0])
	}
	return nil, err
}

func made(r store.Row) (*tlv1.Change, error) {
	c := &tlv1.Change{}
	if err := proto.Unmarshal(r.Value, c); err != nil {
		return nil, errors.Wrapf(err, "row %s", r.Key)
	}
	if c.GetVoided() {
		return c, ErrVoided
	}
	return c, nil
}

func documentIn(r store.Row) (*tlv1.Document, error) {
	d := &tlv1.Document{}
	if err := proto.Unmarshal(r.Value, d); err != nil {
		return nil, errors.Wrapf(err, "row %s", r.Key)
	}
	return d, nil
}

package config

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// restorer is the author of changes that write a lost document again.
const restorer = "fleet: lost by the store"

func (w *writer) Restore(ctx context.Context, d *tlv1.Document) (c *tlv1.Change, err error) {
	defer func() { err = errors.Wrapf(err, "restore %s", d.GetKey()) }()
	if err := Check(d); err != nil {
		return nil, err
	}
	id := fmt.Sprintf("restored-%s-%d", strings.ReplaceAll(d.GetKey(), "/", "-"), d.GetVersion())
	for range maxCommitTries {
		s, err := w.readSnapshot(ctx, Request{ID: id, Document: d})
		if err != nil {
			return nil, err
		}
		c, err := w.buildRestored(id, d, s)
		if c == nil || err != nil {
			return nil, err
		}
		writes, err := writesFor(c, s)
		if err != nil {
			return nil, err
		}
		var conflict *store.Conflict
		if err := w.table.Commit(ctx, writes...); err == nil || !errors.As(err, &conflict) {
			return c, err
		}
	}
	return nil, errors.Wrap(store.ErrContended, "log is too busy")
}

// buildRestored returns the change that writes the document again, or nil if the snapshot has it. Its version is above the one
// that nodes use, which the log may not have reached again.
func (w *writer) buildRestored(id string, d *tlv1.Document, s snapshot) (*tlv1.Change, error) {
	current, err := decodeDocument(s.doc)
	if err != nil || current.GetVersion() >= d.GetVersion() {
		return nil, err
	}
	if s.head, err = raiseHead(s.head, d.GetVersion()); err != nil {
		return nil, err
	}
	next := cloneWithVersion(d, current.GetVersion())
	return w.build(Request{ID: id, Author: restorer, Document: next}, s)
}

// raiseHead returns the head of the log with a sequence number of at least seq.
func raiseHead(head store.Row, seq uint64) (store.Row, error) {
	was, err := decodeHead(head)
	if was < seq {
		head.Value, head.Version = encodeHead(seq), max(head.Version, 1)
	}
	return head, err
}

// cloneWithVersion returns a copy of the document that replaces the version.
func cloneWithVersion(d *tlv1.Document, version uint64) *tlv1.Document {
	next := proto.CloneOf(d)
	next.Version = version
	return next
}

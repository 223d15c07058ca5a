package config

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

// pageSize is the maximum number of rows per scan of the store.
const pageSize = 200

// A Log reads configuration from the store.
type Log interface {
	// Head returns the sequence number of the last change.
	Head(ctx context.Context) (uint64, error)
	// Since returns the changes after seq, oldest first, at most a page of them.
	Since(ctx context.Context, seq uint64) ([]*tlv1.Change, error)
	// Document returns the current document, or one with version 0 if there is none.
	Document(ctx context.Context, k ident.Key) (*tlv1.Document, error)
	// Services returns the documents of all services of a Workspace.
	Services(ctx context.Context, w ident.Workspace) ([]*tlv1.Document, error)
	// History returns the last changes of a document, newest first.
	History(ctx context.Context, k ident.Key, limit int) ([]*tlv1.Change, error)
}

type log struct {
	table store.Table
}

// NewLog returns a Log that reads from the table.
func NewLog(t store.Table) Log {
	return &log{table: t}
}

func (l *log) Head(ctx context.Context) (seq uint64, err error) {
	rows, err := l.table.Read(ctx, headRow)
	if err != nil {
		return 0, errors.Wrap(err, "read head of log")
	}
	return decodeHead(rows[0])
}

func (l *log) Since(ctx context.Context, seq uint64) (changes []*tlv1.Change, err error) {
	defer func() { err = errors.Wrapf(err, "read log since %d", seq) }()
	rows, err := l.table.Scan(ctx, changePrefix, changePrefix+seqKey(seq), pageSize)
	if err != nil {
		return nil, err
	}
	return decodeChanges(rows)
}

func decodeChanges(rows []store.Row) ([]*tlv1.Change, error) {
	changes := make([]*tlv1.Change, len(rows))
	for i, r := range rows {
		changes[i] = &tlv1.Change{}
		if err := proto.Unmarshal(r.Value, changes[i]); err != nil {
			return nil, errors.Wrapf(err, "row %s", r.Key)
		}
	}
	return changes, nil
}

func (l *log) Document(ctx context.Context, k ident.Key) (d *tlv1.Document, err error) {
	defer func() { err = errors.Wrapf(err, "read document %s", k) }()
	rows, err := l.table.Read(ctx, string(k))
	if err != nil {
		return nil, err
	}
	d, err = decodeDocument(rows[0])
	if err != nil {
		return nil, err
	}
	d.Key = string(k)
	return d, nil
}

func (l *log) Services(ctx context.Context, w ident.Workspace) (docs []*tlv1.Document, err error) {
	defer func() { err = errors.Wrapf(err, "list services of %s", w) }()
	err = l.forEachPage(ctx, ident.ServicePrefix(w), func(rows []store.Row) error {
		for _, r := range rows {
			d, err := decodeDocument(r)
			if err != nil {
				return err
			}
			docs = append(docs, d)
		}
		return nil
	})
	return docs, err
}

func (l *log) History(ctx context.Context, k ident.Key, limit int) (changes []*tlv1.Change, err error) {
	defer func() { err = errors.Wrapf(err, "read history of %s", k) }()
	err = l.forEachPage(ctx, historyPrefix+string(k)+"/", func(rows []store.Row) error {
		more, err := decodeChanges(rows)
		if err != nil {
			return err
		}
		changes = append(changes, more...)
		changes = changes[max(0, len(changes)-limit):]
		return nil
	})
	for i, j := 0, len(changes)-1; i < j; i, j = i+1, j-1 {
		changes[i], changes[j] = changes[j], changes[i]
	}
	return changes, err
}

// forEachPage calls f with each page of the rows with the prefix.
func (l *log) forEachPage(ctx context.Context, prefix string, f func(rows []store.Row) error) error {
	after := ""
	for {
		rows, err := l.table.Scan(ctx, prefix, after, pageSize)
		if err != nil {
			return err
		}
		if err := f(rows); err != nil {
			return err
		}
		if len(rows) < pageSize {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}

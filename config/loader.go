package config

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/backing"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// prefixes are those of all documents.
var prefixes = []string{ident.AllWorkspaces, ident.AllServices}

// A Loader reads all documents from the table, page by page.
type Loader struct {
	table  backing.Table
	prefix int
	after  string
}

// NewLoader returns a loader that has read nothing.
func NewLoader(t backing.Table) *Loader {
	return &Loader{table: t}
}

// Started says whether the loader has read something.
func (l *Loader) Started() bool {
	return l.prefix > 0 || l.after != ""
}

// Next returns the next page, and whether there may be more.
func (l *Loader) Next(ctx context.Context) (docs []*tlv1.Document, more bool, err error) {
	defer func() { err = errors.Wrap(err, "load documents") }()
	if l.prefix == len(prefixes) {
		return nil, false, nil
	}
	rows, err := l.table.Scan(ctx, prefixes[l.prefix], l.after, page)
	if err != nil {
		return nil, true, err
	}
	for _, r := range rows {
		d, err := documentIn(r)
		if err != nil {
			return nil, true, err
		}
		docs = append(docs, d)
	}
	if len(rows) < page {
		l.prefix++
		l.after = ""
	} else {
		l.after = rows[len(rows)-1].Key
	}
	return docs, l.prefix < len(prefixes), nil
}

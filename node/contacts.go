package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/member"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

const (
	// contactsKey is the key of the row with the contacts, and of the duty to keep it.
	contactsKey = "contacts"
	// contactsDelay is how long a process waits for its seeds before it reads the contacts.
	contactsDelay = 1 * clock.Second
	// contactsInterval is how often the keeper reads the contacts, and searchInterval how often a node that is in contact
	// with too few of them does.
	contactsInterval = 15 * clock.Second
	searchInterval   = 5 * clock.Second
	// contactsRetry is the pause after a failed call. It doubles up to searchInterval.
	contactsRetry clock.Millis = 500
)

// contacts keeps the list of contacts in the store, by which nodes with stale seeds find the others: the keeper, which all
// nodes in contact agree on, reads it at intervals and writes it when it is out of date; a node that is in contact with too
// few of its seeds or contacts reads it too.
type contacts struct {
	node *Node
	list *member.Contacts
}

func newContacts(n *Node) *contacts {
	return &contacts{node: n, list: member.NewContacts(n.members.Self(), n.clock)}
}

// isKeeper reports whether this node keeps the list, as far as it knows.
func (c *contacts) isKeeper() bool {
	n := c.node
	if n.leaving.started() {
		return false
	}
	candidates := []assign.Candidate{{Node: n.self.Node, Weight: equalWeight}}
	for _, m := range n.members.Live() {
		if !m.GetLeaving() {
			candidates = append(candidates, assign.Candidate{Node: ident.Node(m.GetNode()), Weight: equalWeight})
		}
	}
	return assign.First(contactsKey, candidates) == n.self.Node
}

// run reads and writes the list until the context ends.
func (c *contacts) run(ctx context.Context) {
	now, retry := c.node.clock.Now, contactsRetry
	readAt := now() - contactsInterval
	for wait := contactsDelay; sleep(ctx, jitter(wait)); {
		keeper, searches := c.isKeeper(), !c.node.quotas.reachesMostSeeds()
		due := searches && now()-readAt >= searchInterval || keeper && now()-readAt >= contactsInterval
		wait = contactsDelay
		if !due {
			continue
		}
		if err := c.update(ctx, keeper); err != nil {
			wait, retry = retry, min(2*retry, searchInterval)
			c.node.log.WithFields(logrus.Fields{"event": "contacts_not_kept", "keeper": keeper, "error": err}).Info()
			continue
		}
		readAt, retry = now(), contactsRetry
	}
}

// update reads the list and pings the nodes on it that are not known. The keeper brings it up to date.
func (c *contacts) update(ctx context.Context, keeper bool) (err error) {
	defer func() { err = errors.Wrap(err, "update contacts") }()
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
	defer cancel()
	rows, err := c.node.platform.Table.Read(ctx, contactsKey)
	if err != nil {
		return err
	}
	row := rows[0]
	for range maxRowAttempts {
		c.observe(row)
		if !keeper {
			return nil
		}
		next, changed := c.list.Next(c.node.members.Live(), c.node.members.Left)
		if !changed {
			return nil
		}
		value, err := proto.Marshal(next)
		if err != nil {
			return err
		}
		err = c.node.platform.Table.Commit(ctx, store.Write{Key: contactsKey, Value: value, Expected: row.Version})
		var conflict *store.Conflict
		if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
			row = conflict.Rows[0]
			continue
		}
		if err == nil {
			c.list.Wrote(next)
		}
		return err
	}
	return errors.Wrap(store.ErrContended, "the row is too busy")
}

// observe takes in the list, and pings nodes on it that are not known.
func (c *contacts) observe(row store.Row) {
	n := c.node
	list := &tlv1.Gossip{}
	if err := proto.Unmarshal(row.Value, list); err != nil {
		n.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": row.Key, "version": row.Version, "from": fromStore, "error": err}).Warn()
		list = &tlv1.Gossip{} // unreadable for every node: overwrite it
	}
	c.list.Observe(list)
	pings := n.members.SetContacts(c.list.Addresses())
	if len(pings) > 0 {
		n.log.WithFields(logrus.Fields{"event": "contacts_unknown", "count": len(pings), "version": row.Version}).Info()
	}
	n.sendGossip(pings)
}

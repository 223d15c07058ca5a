package node

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/quarantine"
	"github.com/tinladder/tinladder/replica"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
	"github.com/tinladder/tinladder/store"
	"google.golang.org/protobuf/proto"
)

const (
	// claimTimeout bounds how long a held request waits for the store to decide whether it may be tried.
	claimTimeout clock.Millis = 400
	// maxRowAttempts is the maximum number of attempts to write a row when other nodes write it too.
	maxRowAttempts = 4
	// maxRowWriteDelay bounds the random delay between writes of rows, which other nodes may write too. unavailableDelay is added
	// while the store is unavailable.
	maxRowWriteDelay clock.Millis = 300
	unavailableDelay              = 1 * clock.Second
	// trialKeyPrefix is the prefix of the key by which one node is chosen for a trial while the store is unavailable.
	trialKeyPrefix = "trial/"
)

// mergeRecords merges rows of the store into the list.
func (s *suspects) mergeRecords(changed []replica.Record, from string) {
	for _, x := range changed {
		row := &tlv1.Suspects{}
		if err := proto.Unmarshal(x.Value, row); err != nil {
			s.node.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": x.Key, "version": x.Version, "from": from, "error": err}).Warn()
			continue
		}
		for p, change := range s.list.MergeRow(x.Key, row) {
			if change == quarantine.Unchanged {
				continue
			}
			s.logChange(change, p, from)
			if s.list.KnowsMore(p, row) {
				s.markDirty(p)
			}
		}
	}
}

// storeRestored has the rows of requests written again that a copy of the store may lack. The first to watch of each hall
// writes them.
func (s *suspects) storeRestored() {
	lost := s.list.StoreRestored(s.node.clock.Now() + replica.ReturnGrace)
	if len(lost) == 0 || s.node.duty.rank() > 0 {
		return
	}
	s.list.MarkLost(lost)
	s.node.log.WithFields(logrus.Fields{"event": "suspects_lost", "count": len(lost)}).Warn()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// claimTrials claims a trial for each of the request's fingerprints that is quarantined, and reports whether all were granted.
func (s *suspects) claimTrials(ctx context.Context, x *exchange) bool {
	for _, p := range x.fingerprints() {
		if v := s.list.Decide(p); v.Held && !s.claimTrial(ctx, p, v.Trials+1) {
			return false
		}
	}
	return true
}

// claimTrial reports whether this node may try a request of the fingerprint now. The store grants each trial to one node.
// While it is unavailable, the node that isFirstForTrial decides.
func (s *suspects) claimTrial(ctx context.Context, p quarantine.Fingerprint, trials int) bool {
	if !s.list.StartTrial(p, trials) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout.Duration())
	defer cancel()
	err := s.saveRow(ctx, p, trials)
	granted := err == nil || errors.Is(err, store.ErrUnavailable) && s.isFirstForTrial(p)
	s.node.metrics.trial(granted)
	s.node.log.WithFields(logrus.Fields{"event": "request_trial", "print": p, "trials": trials, "granted": granted, "error": err}).Warn()
	return granted
}

// isFirstForTrial reports whether this node comes first for trials of the request among the nodes that it is in contact with.
func (s *suspects) isFirstForTrial(p quarantine.Fingerprint) bool {
	n := s.node
	list := []assign.Candidate{{Node: n.self.Node, Weight: equalWeight}}
	for _, m := range n.members.Live() {
		list = append(list, assign.Candidate{Node: ident.Node(m.GetNode()), Weight: equalWeight})
	}
	return assign.First(trialKeyPrefix+p.String(), list) == n.self.Node
}

// errTrialTaken means that another node has claimed the trial.
var errTrialTaken = errors.New("another node tries the request")

// saveRow writes this node's reports of the request to its row. If trials is positive, it is the number of the trial to claim,
// and saveRow fails with errTrialTaken if the row has that number already.
func (s *suspects) saveRow(ctx context.Context, p quarantine.Fingerprint, trials int) (err error) {
	defer func() { err = errors.Wrapf(err, "save crash reports of request %s", p) }()
	key := quarantine.RowKey(p)
	row, err := s.currentRow(ctx, key)
	if err != nil {
		return err
	}
	for range maxRowAttempts {
		was := &tlv1.Suspects{}
		if err := proto.Unmarshal(row.Value, was); err != nil {
			s.node.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": key, "version": row.Version, "from": fromStore, "error": err}).Warn()
			was = &tlv1.Suspects{} // unreadable for every node: overwrite it
		}
		if trials > 0 && quarantine.TrialsIn(was, p) >= trials {
			return errTrialTaken
		}
		value, err := proto.Marshal(s.list.Row(p, was))
		if err != nil {
			return err
		}
		if len(value) > 0 || row.Version > 0 { // an empty value deletes the row
			err = s.table.Commit(ctx, store.Write{Key: key, Value: value, Expected: row.Version})
		}
		var conflict *store.Conflict
		if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
			row = conflict.Rows[0]
			continue
		}
		if err == nil {
			s.list.MarkStored(p)
			s.node.duty.readNow(store.Suspects)
		}
		return err
	}
	return errors.Wrap(store.ErrContended, "the row is too busy")
}

// currentRow returns the row as this node knows it. If the store came back from a copy since, it reads the row.
func (s *suspects) currentRow(ctx context.Context, key string) (store.Row, error) {
	held, found := s.node.records.sets[store.Suspects].Get(key)
	switch {
	case found && replica.EraOf(held.Version) == s.node.duty.knownEra():
		return store.Row{Key: key, Value: held.Value, Version: held.Version}, nil
	case s.node.duty.knownEra() == 0:
		return store.Row{Key: key}, nil
	}
	rows, err := s.table.Read(ctx, key)
	if err != nil {
		return store.Row{}, err
	}
	return rows[0], nil
}

// writeDirty writes changed reports to the store until the context ends.
func (s *suspects) writeDirty(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for list := s.list.Dirty(); len(list) > 0; list = s.list.Dirty() {
			wait := rand.N(maxRowWriteDelay)
			if !s.writeRows(ctx, list) {
				wait += unavailableDelay
			}
			if !sleep(ctx, wait) {
				return
			}
		}
	}
}

// writeRows writes the rows of the requests, and reports whether none failed. Rows that the store rejects as invalid are
// given up and do not count.
func (s *suspects) writeRows(ctx context.Context, list []quarantine.Fingerprint) bool {
	for _, p := range list {
		one, cancel := context.WithTimeout(ctx, storeCallTimeout.Duration())
		err := s.saveRow(one, p, 0)
		cancel()
		switch {
		case errors.Is(err, store.ErrInvalid): // a retry would be rejected again
			s.list.ClearDirty(p)
			s.node.log.WithFields(logrus.Fields{"event": "suspect_refused", "print": p, "error": err}).Error()
		case err != nil:
			s.node.log.WithFields(logrus.Fields{"event": "suspect_not_stored", "print": p, "error": err}).Warn()
			return false
		}
	}
	return true
}

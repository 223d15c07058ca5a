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
	// claimTimeout bounds how long a request that is held back waits for the store's word that it may be tried.
	claimTimeout clock.Millis = 400
	// maxRowAttempts is how often a row is written again that another node wrote meanwhile.
	maxRowAttempts = 4
	// maxRowWriteDelay is the longest pause between writes of rows, which other nodes may write too, and awayPause how much longer
	// it is while the store does not answer.
	maxRowWriteDelay clock.Millis = 300
	unavailableDelay              = 1 * clock.Second
	// trialKeyPrefix names the duty to try a request while the store is away, for each request.
	trialKeyPrefix = "trial/"
)

// mergeRecords takes in rows of the store.
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
			if change == quarantine.Quarantined {
				s.markDirty(p) // by what was seen here besides: the store has to know all of it
			}
		}
	}
}

// claimTrials says whether the request may be tried here and now, by each of its fingerprints that is quarantined.
func (s *suspects) claimTrials(ctx context.Context, x *exchange) bool {
	for _, p := range x.fingerprints() {
		if v := s.list.Decide(p); v.Held && !s.claimTrial(ctx, p, v.Trials+1) {
			return false
		}
	}
	return true
}

// claimTrial says whether a request of the fingerprint may be tried here and now. Of all nodes one may, which the store decides; while
// that is away, the one that is first for it among those that this node hears.
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

// isFirstForTrial says whether this node is isFirstForTrial for trials of the request, of those that it hears.
func (s *suspects) isFirstForTrial(p quarantine.Fingerprint) bool {
	n := s.node
	list := []assign.Candidate{{Node: n.self.Node, Weight: equalWeight}}
	for _, m := range n.members.Live() {
		list = append(list, assign.Candidate{Node: ident.Node(m.GetNode()), Weight: equalWeight})
	}
	return assign.First(trialKeyPrefix+p.String(), list) == n.self.Node
}

// errTrialTaken says that another node has let the request through.
var errTrialTaken = errors.New("another node tries the request")

// saveRow writes what is known here of the request to its row. It fails with errTaken if it is for a trial, trials being its
// number, that the row names already.
func (s *suspects) saveRow(ctx context.Context, p quarantine.Fingerprint, trials int) (err error) {
	defer func() { err = errors.Wrapf(err, "save crash reports of request %s", p) }()
	key := quarantine.RowKey(p)
	row := store.Row{Key: key}
	if held, found := s.node.records.sets[store.Suspects].Get(key); found {
		row.Value, row.Version = held.Value, held.Version
	}
	for range maxRowAttempts {
		was := &tlv1.Suspects{}
		if err := proto.Unmarshal(row.Value, was); err != nil {
			s.node.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": key, "version": row.Version, "from": fromStore, "error": err}).Warn()
			was = &tlv1.Suspects{} // nobody can read it: it is written anew
		}
		if trials > 0 && quarantine.TrialsIn(was, p) >= trials {
			return errTrialTaken
		}
		value, err := proto.Marshal(s.list.Row(p, was))
		if err != nil {
			return err
		}
		if len(value) > 0 || row.Version > 0 { // the last fingerprint of a row takes the row with it
			err = s.table.Commit(ctx, store.Write{Key: key, Value: value, Expected: row.Version})
		}
		var conflict *store.Conflict
		if errors.As(err, &conflict) && len(conflict.Rows) > 0 {
			row = conflict.Rows[0]
			continue
		}
		if err == nil {
			s.list.MarkStored(p)
			s.node.duty.look(store.Suspects)
		}
		return err
	}
	return errors.Wrap(store.ErrContended, "the row is too busy")
}

// writeDirty writes dirty requests to the store, until the context ends.
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
			if !pause(ctx, wait) {
				return
			}
		}
	}
}

// writeRows writes the rows of the requests, and says whether the store took them all.
func (s *suspects) writeRows(ctx context.Context, list []quarantine.Fingerprint) bool {
	for _, p := range list {
		one, cancel := context.WithTimeout(ctx, lookTimeout.Duration())
		err := s.saveRow(one, p, 0)
		cancel()
		switch {
		case errors.Is(err, store.ErrInvalid): // it would be refused again for good
			s.list.ClearDirty(p)
			s.node.log.WithFields(logrus.Fields{"event": "suspect_refused", "print": p, "error": err}).Error()
		case err != nil:
			s.node.log.WithFields(logrus.Fields{"event": "suspect_not_stored", "print": p, "error": err}).Warn()
			return false
		}
	}
	return true
}

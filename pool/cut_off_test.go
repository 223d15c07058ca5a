package pool_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
	"github.com/tinladder/tinladder/pool"
	tlv1 "github.com/tinladder/tinladder/schema/tinladder/v1"
)

// failToConnect has so many requests find no connection to their target, and returns the targets.
func failToConnect(t *testing.T, n *node, requests int) (failed []ident.Target) {
	t.Helper()
	for range requests {
		l := n.mustAcquire(t, n.request(false))
		l.Done(pool.Unreachable, false)
		failed = append(failed, l.Target)
		n.clock.Advance(120)
	}
	return failed
}

// respond has the targets respond to another node just now.
func respond(n *node, targets ...ident.Target) {
	var seen []*tlv1.Seen
	for _, id := range targets {
		seen = append(seen, &tlv1.Seen{Target: string(id), OkMs: 0, FailedMs: -1})
	}
	n.ApplyReport(ident.Process{Node: "peer", Incarnation: 1}, &tlv1.Report{Seen: seen})
	n.Wake()
}

// TestNodeCutFromAllTargetsSaysSo guards against a node that goes on trying targets one by one, or refuses requests as if
// there were no targets, while other nodes have responses from them. It must use the targets again once it reaches some.
func TestNodeCutFromAllTargetsSaysSo(t *testing.T) {
	is := is.New(t)
	n, other := newSingleNode(t, 10, 3), newSingleNode(t, 10, 3)
	n.peers = []*node{other}
	respond(n, failToConnect(t, n, 3)...)
	is.True(n.CutOff())
	_, err := n.Acquire(t.Context(), n.request(false))
	is.True(errors.Is(err, pool.ErrCutOff))
	is.Equal(len(n.ReachProbes()), 3)
	is.True(other.CutOffPeers()[n.name]) // other nodes pass it no requests
	n.RecordReachProbes()
	is.True(!other.CutOffPeers()[n.name])
	is.True(!n.CutOff())
	is.True(n.TryAcquire(n.request(false)) != nil)
}

// TestTargetsThatAreDownCutNobodyOff guards against a node that hands its requests to others since targets are down for
// all nodes.
func TestTargetsThatAreDownCutNobodyOff(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 10, 3)
	down := map[ident.Target]bool{}
	for _, id := range failToConnect(t, n, 5) {
		down[id] = true
	}
	for _, x := range targets(10, 3) {
		if !down[x.ID] {
			respond(n, x.ID)
		}
	}
	is.True(!n.CutOff())
}

// TestNodeThatHearsNothingSuspectsThatItIsCutOff guards against a node that refuses requests since it does not know that
// targets, which accept no connection from it, respond to others.
func TestNodeThatHearsNothingSuspectsThatItIsCutOff(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 10, 3)
	failToConnect(t, n, 2)
	is.True(!n.SuspectsCutOff())
	failToConnect(t, n, 1)
	is.True(n.SuspectsCutOff())
	is.True(!n.CutOff())
	n.mustAcquire(t, n.request(false)).Done(pool.Good, false)
	is.True(!n.SuspectsCutOff())
}

// TestFewUnreachableTargetsCutNobodyOff guards against a node that takes itself to be cut off though targets respond to it.
func TestFewUnreachableTargetsCutNobodyOff(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 10, 3)
	var failed []ident.Target
	for range 4 {
		failed = append(failed, failToConnect(t, n, 2)...)
		n.mustAcquire(t, n.request(false)).Done(pool.Good, false)
	}
	n.clock.Advance(clock.Second)
	respond(n, failed...)
	is.True(!n.CutOff())
}

// TestNodeWithFreshResponseIsNotCutOff guards against a node that takes itself to be cut off a moment after a response.
func TestNodeWithFreshResponseIsNotCutOff(t *testing.T) {
	is := is.New(t)
	n := newSingleNode(t, 10, 3)
	n.mustAcquire(t, n.request(false)).Done(pool.Good, false)
	failed := failToConnect(t, n, 3)
	respond(n, failed...)
	is.True(!n.CutOff())
	n.clock.Advance(200)
	n.Wake()
	is.True(n.CutOff())
}

// TestNoTargetIsNotCutOff guards against requests that are passed to another node though this one reaches its targets: they
// turned the request away, or are none.
func TestNoTargetIsNotCutOff(t *testing.T) {
	is := is.New(t)
	is.True(errors.Is(pool.ErrCutOff, pool.ErrNoTarget))
	is.True(!errors.Is(pool.ErrNoTarget, pool.ErrCutOff))
	n := newSingleNode(t, 1, 3)
	request := n.request(false)
	l := n.mustAcquire(t, request)
	l.Done(pool.Shed, false)
	request.Exclude = append(request.Exclude, l.Target)
	_, err := n.Acquire(t.Context(), request)
	is.True(errors.Is(err, pool.ErrNoTarget) && !errors.Is(err, pool.ErrCutOff))
}

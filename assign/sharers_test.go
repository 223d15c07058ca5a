package assign_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// TestSharers follows a node through changes of its own and the others' views.
func TestSharers(t *testing.T) {
	alone, both, three := []ident.Node{"a"}, []ident.Node{"a", "b"}, []ident.Node{"a", "b", "c"}
	cases := []struct {
		name    string
		at      clock.Millis
		sharing []ident.Node
		shares  bool
		count   int
		settled bool
	}{
		{"new among others", 10_000, both, true, 0, false},
		{"others have been there for long", 11_500, both, true, 2, false},
		{"not yet counted by all", 12_900, both, true, 2, false},
		{"counted by all", 13_000, both, true, 2, true},
		{"another comes for a moment", 13_500, three, true, 2, true},
		{"and another moment", 14_000, three, true, 2, true},
		{"a suspected node still counts", 16_000, alone, true, 2, true},
		{"one that stays absent does not", 17_100, alone, true, 1, true},
		{"no longer one of them", 17_200, both, false, 1, false},
		{"one of them again", 17_300, both, true, 1, false},
		{"counted again", 20_300, both, true, 2, true},
		{"paused for long", 23_400, both, true, 0, false},
		{"counted after that", 26_400, both, true, 2, true},
	}
	s := assign.NewSharers()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			count, settled := s.Observe(c.sharing, c.shares, false, c.at)
			is.Equal(count, c.count)
			is.Equal(settled, c.settled)
		})
	}
}

// TestSharersDuringColdStart guards against counting nodes that were taken for sharers during a cold start, while few
// nodes were known; the ranking is complete only after half a second. When they counted for three seconds, six nodes
// got a sixteenth of the limits each instead of a sixth.
func TestSharersDuringColdStart(t *testing.T) {
	is := is.New(t)
	s := assign.NewSharers()
	_, settled := s.Observe([]ident.Node{"a", "x", "y"}, true, true, 10_000)
	is.True(settled)
	s.Observe([]ident.Node{"a", "z"}, true, true, 10_300)
	count, settled := s.Observe([]ident.Node{"a", "b"}, true, true, 10_600)
	is.Equal(count, 2)
	is.True(settled)
	count, _ = s.Observe([]ident.Node{"a", "b"}, true, false, 12_600)
	is.Equal(count, 2)
}

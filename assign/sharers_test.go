package assign_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tinladder/tinladder/assign"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/ident"
)

// TestSharers follows a node through what others see of it and it of others.
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
		{"another held suspect counts on", 16_000, alone, true, 2, true},
		{"one that stays away does not", 17_100, alone, true, 1, true},
		{"no longer one of them", 17_200, both, false, 1, false},
		{"one of them again", 17_300, both, true, 1, false},
		{"counted again", 20_300, both, true, 2, true},
		{"stood still for long", 23_400, both, true, 0, false},
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

// TestSharersThatStartAtOnce has a node take others for sharing with it while it knows few: the ranks of all are known
// only after half a second. Counted for three seconds, they left six nodes with a sixteenth of the limits each in place
// of a sixth.
func TestSharersThatStartAtOnce(t *testing.T) {
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

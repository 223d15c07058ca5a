package trace

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// namedLives is how many processes that ended a story names.
const namedLives = 6

// A death is the end of a process that wrote nothing of it: between its last line and the first one of the next process.
type death struct {
	source   string
	from, to time.Time
}

// lives notes processes that ended without a word. A request that one of them had at work is in no line.
type lives struct {
	last   map[string]time.Time
	word   map[string]bool
	deaths []death
}

func newLives() *lives {
	return &lives{last: map[string]time.Time{}, word: map[string]bool{}}
}

// add takes in one line. Lines of a node come in their order.
func (v *lives) add(l *Line) {
	if from, found := v.last[l.Source]; found && l.Event == started && !v.word[l.Source] {
		v.deaths = append(v.deaths, death{l.Source, from, l.At})
	}
	v.last[l.Source] = l.At
	v.word[l.Source] = l.Event == stopped
}

// say names the processes that ended without a word, the first ones first.
func (v *lives) say() string {
	if len(v.deaths) == 0 {
		return ""
	}
	slices.SortStableFunc(v.deaths, func(a, b death) int { return a.from.Compare(b.from) })
	var parts []string
	for _, d := range v.deaths[:min(len(v.deaths), namedLives)] {
		parts = append(parts, fmt.Sprintf("%s between %s and %s", d.source, d.from.Format(stampFormat), d.to.Format(stampFormat)))
	}
	text := fmt.Sprintf(" A request that was at work on a process as it was killed is in no line either. So many processes ended without a word: %d (%s",
		len(v.deaths), strings.Join(parts, ", "))
	if more := len(v.deaths) - len(parts); more > 0 {
		text += fmt.Sprintf(", and %d more", more)
	}
	return text + ")."
}

// stampFormat is how stories show times.
const stampFormat = "15:04:05.000"

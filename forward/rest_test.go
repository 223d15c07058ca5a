package forward_test

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/clock"
	"github.com/tinladder/tinladder/forward"
)

// TestParseRest guards against a malformed time that is taken for none, for a negative or for an endless one.
func TestParseRest(t *testing.T) {
	for _, x := range []struct {
		name   string
		values []string
		date   string
		want   clock.Millis
		bad    bool
	}{
		{name: "none"},
		{name: "seconds", values: []string{"3"}, want: 3000},
		{name: "a fraction", values: []string{" 0.25 "}, want: 250},
		{name: "zero", values: []string{"0"}},
		{name: "twice", values: []string{"3", "7.5"}, want: 7500},
		{name: "huge", values: []string{"99999999999999999999"}, want: 3600 * clock.Second},
		{name: "a date", values: []string{"Wed, 21 Oct 2015 07:28:05 GMT"}, date: "Wed, 21 Oct 2015 07:28:00 GMT", want: 5000},
		{name: "a date that is over", values: []string{"Wed, 21 Oct 2015 07:27:00 GMT"}, date: "Wed, 21 Oct 2015 07:28:00 GMT"},
		{name: "a date alone", values: []string{"Wed, 21 Oct 2015 07:28:05 GMT"}, bad: true},
		{name: "negative", values: []string{"-3"}, bad: true},
		{name: "an exponent", values: []string{"1e3"}, bad: true},
		{name: "infinite", values: []string{"inf"}, bad: true},
		{name: "empty", values: []string{""}, bad: true},
		{name: "words", values: []string{"soon"}, bad: true},
		{name: "one of two is bad", values: []string{"3", "soon"}, bad: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{"Retry-After": x.values}
			if x.date != "" {
				h.Set("Date", x.date)
			}
			got, err := forward.ParseRest(h)
			is.Equal(got, x.want)
			is.Equal(errors.Is(err, forward.ErrBadRetryAfter), x.bad)
		})
	}
}

package forward_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tinladder/tinladder/forward"
)

// TestParseRateLimit guards against a malformed limit that is taken for none, or for an infinite one.
func TestParseRateLimit(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		want   forward.RateLimit
		bad    bool
	}{
		{name: "absent"},
		{name: "whole", values: []string{"12"}, want: forward.RateLimit{Named: true, PerSecond: 12}},
		{name: "below one", values: []string{" 0.25 "}, want: forward.RateLimit{Named: true, PerSecond: 0.25}},
		{name: "zero", values: []string{"0"}, want: forward.RateLimit{Named: true}},
		{name: "twice", values: []string{"3", "1.5"}, want: forward.RateLimit{Named: true, PerSecond: 1.5}},
		{name: "twice in a line", values: []string{"1.5, 3"}, want: forward.RateLimit{Named: true, PerSecond: 1.5}},
		{name: "one of two malformed", values: []string{"3", "x"}, bad: true},
		{name: "empty", values: []string{""}, bad: true},
		{name: "negative", values: []string{"-1"}, bad: true},
		{name: "infinite", values: []string{"inf"}, bad: true},
		{name: "not a number", values: []string{"NaN"}, bad: true},
		{name: "exponent", values: []string{"1e9"}, bad: true},
		{name: "two points", values: []string{"1.2.3"}, bad: true},
		{name: "point alone", values: []string{"."}, bad: true},
		{name: "long", values: []string{strings.Repeat("1", 400)}, bad: true},
	}
	names := forward.Headers{RateLimit: "Limit"}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := names.ParseRateLimit(http.Header{"Limit": c.values})
			is.Equal(got, c.want)
			is.Equal(errors.Is(err, forward.ErrBadRateLimit), c.bad)
		})
	}
}

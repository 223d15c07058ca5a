package trace

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// rateEvery is how long the spans are that requests are counted in.
	rateEvery = time.Second
	// maxRates bounds the spans, and so the memory: a week, with a point each second.
	maxRates = 7 * 24 * 60 * 60
	// maxSum is the longest time that a sum of served requests is spread over: a few times that which nodes sum over.
	maxSum = time.Minute
)

// errLong says that lines are too far apart.
var errLong = errors.New("the lines are over a week apart; leave the odd logs out, or look at a shorter time")

// A Rate struct is what became of requests within a second.
type Rate struct {
	At time.Time `json:"at"`
	// Served is known from sums over some seconds, which are spread evenly over them.
	Served float64 `json:"served"`
	// Refused requests have not run, as their callers were told; Failed ones are all others that were not served.
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
}

// A Rates struct counts requests by the second. It is built line by line, in any order.
type Rates struct {
	since time.Time
	rates map[int64]*Rate
}

// NewRates returns the counts of requests from the time on.
func NewRates(since time.Time) *Rates {
	return &Rates{since: since, rates: map[int64]*Rate{}}
}

// Add takes in one line. A request counts when it ended.
func (r *Rates) Add(l *Line) {
	if l.At.Before(r.since) {
		return
	}
	switch l.Event {
	case requestSums:
		r.spread(l)
	case requestRefused:
		r.at(l.At).Refused++
	case requestFailed:
		if status, _ := strconv.Atoi(l.Get("status")); promises(status) {
			r.at(l.At).Refused++
		} else {
			r.at(l.At).Failed++
		}
	}
}

// promises says whether the status tells a caller that its request has not run and will not.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// spread counts a sum of served requests evenly over the seconds that it is of.
func (r *Rates) spread(l *Line) {
	served := float64(l.Millis("served"))
	length := min(max(l.Millis("for_ms").Duration(), rateEvery), maxSum)
	n := int(length / rateEvery)
	for i := range n {
		if at := l.At.Add(-time.Duration(i) * rateEvery); !at.Before(r.since) && served > 0 {
			r.at(at).Served += served / float64(n)
		}
	}
}

// at returns the second's counts. It holds no more than there may be.
func (r *Rates) at(t time.Time) *Rate {
	key := t.Unix()
	x := r.rates[key]
	if x == nil {
		x = &Rate{At: t.Truncate(rateEvery)}
		if len(r.rates) <= maxRates {
			r.rates[key] = x
		}
	}
	return x
}

// All returns the counts of each second, those in which nothing was told too, in order.
func (r *Rates) All() (list []Rate, err error) {
	defer func() { err = errors.Wrap(err, "requests by second") }()
	if len(r.rates) == 0 {
		return nil, nil
	}
	var first, last int64
	begun := false
	for key := range r.rates {
		if !begun || key < first {
			first = key
		}
		if !begun || key > last {
			last = key
		}
		begun = true
	}
	if last-first >= maxRates {
		return nil, errors.Wrapf(errLong, "from %s to %s", time.Unix(first, 0).UTC().Format(time.RFC3339), time.Unix(last, 0).UTC().Format(time.RFC3339))
	}
	for key := first; key <= last; key++ {
		if x := r.rates[key]; x != nil {
			list = append(list, *x)
		} else {
			list = append(list, Rate{At: time.Unix(key, 0).UTC()})
		}
	}
	return list, nil
}

package urgency

// MaxKinds is how many priorities are told apart. Requests of further ones count with the next more urgent priority.
const MaxKinds = 8

// leastRate is how many requests a second, in the mean, a priority must have to be kept.
const leastRate = 0.5

// A kind is the requests of one priority.
type kind struct {
	priority uint32
	// rate is how many come a second, arrived how many came since the last interval.
	rate    float64
	arrived int
	// waits is the sum of the waits since then, waited how many there are.
	waits  float64
	waited int
}

// Rates are the requests that come, by priority, the most urgent first.
type Rates struct {
	kinds [MaxKinds]kind
	n     int
}

// Add adds requests of a priority, a second. Rates that are no positive numbers are left out.
func (r *Rates) Add(priority uint32, perSecond float64) {
	if perSecond > 0 {
		r.at(priority).rate += perSecond
	}
}

// Each calls f for each priority with the requests that come a second.
func (r *Rates) Each(f func(priority uint32, perSecond float64)) {
	for _, k := range r.kinds[:r.n] {
		f(k.priority, k.rate)
	}
}

// at returns the kind of a priority; if there are too many, the next more urgent one.
func (r *Rates) at(priority uint32) *kind {
	i := 0
	for i < r.n && r.kinds[i].priority < priority {
		i++
	}
	switch {
	case i < r.n && r.kinds[i].priority == priority:
	case r.n == MaxKinds:
		i = max(i-1, 0)
	default:
		copy(r.kinds[i+1:r.n+1], r.kinds[i:r.n])
		r.kinds[i] = kind{priority: priority}
		r.n++
	}
	return &r.kinds[i]
}

// meanWait returns the mean of the waits since the last interval, each weighted by the fraction of its priority.
func (r *Rates) meanWait(fraction func(priority uint32) float64) float64 {
	sum, n := 0.0, 0.0
	for _, k := range r.kinds[:r.n] {
		f := fraction(k.priority)
		sum, n = sum+f*k.waits, n+f*float64(k.waited)
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// firstWait returns the mean wait of the most urgent requests.
func (r *Rates) firstWait() float64 {
	if r.n == 0 {
		return 0
	}
	return r.kinds[0].wait()
}

// longestWait returns the mean wait of the priority whose requests wait the longest.
func (r *Rates) longestWait() float64 {
	longest := 0.0
	for _, k := range r.kinds[:r.n] {
		longest = max(longest, k.wait())
	}
	return longest
}

// wait returns the mean wait.
func (k kind) wait() float64 {
	return k.waits / float64(max(k.waited, 1))
}

// close ends an interval.
func (r *Rates) close() {
	n := 0
	for _, k := range r.kinds[:r.n] {
		k.rate += rateSmoothing * (perSecond(k.arrived) - k.rate)
		if k.arrived > 0 || k.rate >= leastRate {
			r.kinds[n] = kind{priority: k.priority, rate: k.rate}
			n++
		}
	}
	r.n = n
}

func (r *Rates) total() float64 {
	sum := 0.0
	for _, k := range r.kinds[:r.n] {
		sum += k.rate
	}
	return sum
}

// add adds a part of other rates.
func (r *Rates) add(o *Rates, part float64) {
	for _, k := range o.kinds[:o.n] {
		r.Add(k.priority, k.rate*part)
	}
}

// level returns the level that admits the share of the requests: each priority keeps a part of it, and the rest goes to
// the most urgent ones.
func (r *Rates) level(share float64) Level {
	kept := keptShare * share
	room := (share - kept) * r.total()
	for _, k := range r.kinds[:r.n] {
		need := (1 - kept) * k.rate
		if need > room {
			return Level{Priority: k.priority, Fraction: kept + (1-kept)*room/need, Rest: kept}
		}
		room -= need
	}
	if r.n == 0 {
		return Level{Fraction: 1, Rest: 1}
	}
	return Level{Priority: r.kinds[r.n-1].priority, Fraction: 1, Rest: 1}
}

package pool

import (
	"math"

	"github.com/tinladder/tinladder/clock"
)

// The load pattern: all targets of a service turn about half of what they get away for some seconds. Each request needs
// several attempts, far more than the retry budget has. In the order of coming, urgent requests and others lose alike.
// Therefore, while the budget is short, further attempts get it by their rank.

const (
	// orderMemory is the time constant of what is asked for and of what comes in: half a second shows two thirds of a
	// change.
	orderMemory clock.Millis = 500
	// maxRanks bounds the ranks of one service that are told apart.
	maxRanks = 24
	// staleAsked is how little is asked for at a rank that gives way to a new one.
	staleAsked = 0.05
	// fewAsked attempts within orderMemory say nothing of a rate.
	fewAsked = 2
	// keptShare of what the budget has goes to the less urgent ranks alike while it is short, so that none is starved, but
	// no more than keptOfMean of the share that all attempts together have.
	keptShare  = 0.1
	keptOfMean = 1.0 / 3
	// reserveFor is for how long the budget must last for more urgent ranks, whose attempts come unevenly.
	reserveFor = clock.Second
	// keptLeft is how many attempts the others leave in the budget for that.
	keptLeft = 1
	// maxReserved is the largest share of what can be saved of the ratio that is reserved for more urgent ranks.
	maxReserved = 0.5
	// poorChance is the share of good responses below which only keptShare is spent. The five further attempts that a
	// request may have would serve less than a quarter of the requests. Of fewAttempts nothing is concluded.
	poorChance  = 0.05
	fewAttempts = 5
)

// Loss is what a caller loses without a further attempt. Less is lost with a higher one.
type Loss int

// Losses.
const (
	// LosesAnswer means that the answer would come within the latency objective.
	LosesAnswer Loss = iota
	// LosesLateAnswer means that it would come later.
	LosesLateAnswer
	// LosesTime means that another attempt of the request goes on.
	LosesTime
	lossCount = iota
)

func (l Loss) String() string {
	return [...]string{"retry", "late", "hedge"}[l]
}

// FurtherAttempt is an attempt beyond a request's first one, as the retry budget sees it.
type FurtherAttempt struct {
	// Priority is that of the request; 0 goes first.
	Priority uint32
	Loss     Loss
}

// rank orders further attempts: 0 goes first.
type rank uint64

func (a FurtherAttempt) rank() rank {
	return rank(a.Priority)*lossCount + rank(min(max(a.Loss, LosesAnswer), LosesTime))
}

func (r rank) attempt() FurtherAttempt {
	return FurtherAttempt{Priority: uint32(r / lossCount), Loss: Loss(r % lossCount)}
}

// A rankDemand is what is asked for at a rank.
type rankDemand struct {
	rank rank
	// asked counts the attempts asked for, of late.
	asked float64
	// remainder is what the shares of the attempts so far left of less than one.
	remainder float64
	// denied counts those denied for their order since the start.
	denied uint64
}

// retryOrder decides which further attempts get the budget while it is short. Counts "of late" fade with orderMemory.
type retryOrder struct {
	at    clock.Millis
	ranks [maxRanks]rankDemand
	count int
	// requests counts first attempts, of late.
	requests float64
	// attempts and good count the attempts that ended, of late, and those with a good response.
	attempts, good float64
	// denied counts attempts denied for their order since the start, and otherDenied those of ranks that gave way.
	denied, otherDenied uint64
}

// room is what a budget has.
type room struct {
	// ratio is what each request allows, lapse the time for which it may be used.
	ratio float64
	lapse clock.Millis
	// saved is what may be used now, of which slack is on top of the ratio.
	saved, slack float64
}

// fade lets the counts fade until now.
func (o *retryOrder) fade(now clock.Millis) {
	if now <= o.at {
		return
	}
	f := math.Exp(-float64(now-o.at) / float64(orderMemory))
	o.at = now
	o.requests *= f
	o.attempts *= f
	o.good *= f
	for i := range o.count {
		o.ranks[i].asked *= f
	}
}

// addRequests counts n first attempts, which may be negative.
func (o *retryOrder) addRequests(n float64, now clock.Millis) {
	o.fade(now)
	o.requests = max(o.requests+n, 0)
}

// addAttempt counts an attempt that ended.
func (o *retryOrder) addAttempt(good bool, now clock.Millis) {
	o.fade(now)
	o.attempts++
	if good {
		o.good++
	}
}

// allows counts that the attempt is asked for, and reports whether its turn has come. It always has while there is enough.
func (o *retryOrder) allows(a FurtherAttempt, b room, now clock.Millis) bool {
	o.fade(now)
	d := o.demand(a.rank())
	d.asked++
	if !o.short(b) {
		return true
	}
	d.remainder += o.kept(d) * o.allowance(b)
	if turn := o.chance() >= poorChance && b.saved >= 1+o.reserved(d, b); !turn && d.remainder < 1 {
		d.denied++
		o.denied++
		return false
	}
	d.remainder = max(d.remainder-1, 0)
	return true
}

// demand returns what is asked for at the rank. With too many ranks, a new one takes the place of one that is hardly asked
// for, or else joins the next one that is less urgent.
func (o *retryOrder) demand(r rank) *rankDemand {
	i := o.position(r)
	if i < o.count && o.ranks[i].rank == r {
		return &o.ranks[i]
	}
	if o.count == maxRanks {
		least := 0
		for j := range o.ranks {
			if o.ranks[j].asked < o.ranks[least].asked {
				least = j
			}
		}
		if o.ranks[least].asked >= staleAsked {
			return &o.ranks[min(i, maxRanks-1)]
		}
		o.otherDenied += o.ranks[least].denied
		copy(o.ranks[least:], o.ranks[least+1:])
		o.count--
		i = o.position(r)
	}
	copy(o.ranks[i+1:], o.ranks[i:o.count])
	o.count++
	o.ranks[i] = rankDemand{rank: r, remainder: 0.5}
	return &o.ranks[i]
}

// position returns where the rank is, or belongs.
func (o *retryOrder) position(r rank) int {
	i := 0
	for i < o.count && o.ranks[i].rank < r {
		i++
	}
	return i
}

// asked returns how many attempts are asked for, of late.
func (o *retryOrder) asked() (n float64) {
	for i := range o.count {
		n += o.ranks[i].asked
	}
	return n
}

// allowance returns how many attempts the budget has within orderMemory, if what is saved is to last until it lapses.
func (o *retryOrder) allowance(b room) float64 {
	return max(b.ratio*o.requests+b.saved*float64(orderMemory)/float64(max(b.lapse, orderMemory)), 0)
}

// short reports whether more is asked for than the budget has.
func (o *retryOrder) short(b room) bool {
	return o.asked() > o.allowance(b)+fewAsked
}

// chance returns the share of the latest attempts that got a good response; 1 if there are too few to tell.
func (o *retryOrder) chance() float64 {
	if o.attempts < fewAttempts {
		return 1
	}
	return o.good / o.attempts
}

// reserved returns what the rank leaves in the budget: what more urgent ranks will ask for within reserveFor, and by how much
// they will ask for more than comes in until it lapses. It is never so much that it cannot be saved.
func (o *retryOrder) reserved(d *rankDemand, b room) float64 {
	if o.asked()-d.asked < staleAsked {
		return 0 // no other rank asks
	}
	urgent := 0.0
	for i := 0; i < o.count && o.ranks[i].rank < d.rank; i++ {
		urgent += o.ranks[i].asked
	}
	spans, comesIn := float64(b.lapse)/float64(orderMemory), b.ratio*o.requests
	need := keptLeft + urgent*float64(reserveFor)/float64(orderMemory) + max(urgent-comesIn, 0)*spans
	return min(need, max(maxReserved*comesIn*spans+b.slack-1, 0))
}

// kept returns which part of what the budget has an attempt of the rank gets without its turn.
func (o *retryOrder) kept(d *rankDemand) float64 {
	asked := o.asked()
	if o.chance() < poorChance {
		return keptShare / asked
	}
	first := 0
	for first < o.count-1 && o.ranks[first].asked < staleAsked {
		first++
	}
	if d.rank <= o.ranks[first].rank {
		return 0 // all that is left is for it
	}
	return min(keptShare/(asked-o.ranks[first].asked), keptOfMean/asked)
}

// A RankDenied is how many further attempts of a rank were denied for their order since the start.
type RankDenied struct {
	FurtherAttempt
	Denied uint64
}

// deniedByRank returns what was denied by rank, the most urgent first, at most maxRanks.
func (o *retryOrder) deniedByRank() (list []RankDenied) {
	for _, d := range o.ranks[:o.count] {
		if d.denied > 0 {
			list = append(list, RankDenied{FurtherAttempt: d.rank.attempt(), Denied: d.denied})
		}
	}
	return list
}

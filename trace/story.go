package trace

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tinladder/tinladder/clock"
)

// Events of package node that are read here.
const (
	attemptFailed  = "attempt_failed"
	requestFailed  = "request_failed"
	requestServed  = "request_served"
	requestRefused = "request_refused"
	requestHeld    = "request_held"
	requestSums    = "requests"
	targetAvoided  = "target_avoided"
	targetLeft     = "target_left"
	started        = "started"
	stopped        = "stopped"
)

// beliefBefore and beliefAfter are how far around an attempt the log is searched for what was
// thought of its target.
const (
	beliefBefore = 20 * clock.Second
	beliefAfter  = 1 * clock.Second
)

// A Story struct is what the nodes' logs say of one request.
type Story struct {
	Request string `json:"request"`
	// Cause names why it was not served, as in the logs; "served" if it was, "" if no line names it.
	Cause string `json:"cause"`
	// Said is the cause in a sentence.
	Said string `json:"said"`
	// Lines are about the request, and about the targets that it went to, in order.
	Lines []string `json:"lines"`
}

// A Case struct picks what concerns one request out of the logs, in two passes over them, so that little is held
// however long they are.
type Case struct {
	request string
	// own are the lines that name the request, and near those about the targets and nodes that it was at.
	own, near []*Line
	// tried are the times at which attempts ended, by target, and nodes the last line of each node about the request.
	tried map[string][]time.Time
	nodes map[string]time.Time
	// prints are what the request is known by, where targets crashed that ran it.
	prints map[string]bool
	// lives are the nodes' processes that ended without a word.
	lives *lives
}

// NewCase returns the case of the request, of which nothing is known.
func NewCase(request string) *Case {
	return &Case{request: request, tried: map[string][]time.Time{}, nodes: map[string]time.Time{}, prints: map[string]bool{}, lives: newLives()}
}

// First takes in one line in the first pass.
func (c *Case) First(l *Line) {
	c.lives.add(l)
	if c.request == "" || l.Get("request") != c.request {
		return
	}
	c.own = append(c.own, l)
	if p := l.Get("print"); p != "" {
		c.prints[p] = true
	}
	if l.At.After(c.nodes[l.Source]) {
		c.nodes[l.Source] = l.At
	}
	if l.Event == attemptFailed {
		c.tried[l.Get("target")] = append(c.tried[l.Get("target")], l.At)
	}
}

// Second takes in one line in the second pass, once all have been in the first.
func (c *Case) Second(l *Line) {
	if strings.HasPrefix(l.Event, "target_") && slices.ContainsFunc(c.tried[l.Get("target")], func(at time.Time) bool {
		age := at.Sub(l.At)
		return age <= beliefBefore.Duration() && age >= -beliefAfter.Duration()
	}) {
		c.near = append(c.near, l)
	}
	if l.Event == requestHeld && c.prints[l.Get("print")] && l.Get("by") == "seen" {
		c.near = append(c.near, l)
	}
	if last, found := c.nodes[l.Source]; l.Event == started && found && l.At.After(last) && l.At.Sub(last) < restartWithin.Duration() {
		c.near = append(c.near, l)
	}
}

// Held returns how many lines are held.
func (c *Case) Held() int {
	return len(c.own) + len(c.near)
}

// Explain returns the story of a request from the lines of all nodes.
func Explain(lines []*Line, request string) Story {
	c := NewCase(request)
	for _, l := range lines {
		c.First(l)
	}
	for _, l := range lines {
		c.Second(l)
	}
	return c.Story()
}

// Story returns what the lines say of the request.
func (c *Case) Story() Story {
	s := Story{Request: c.request}
	byTime := func(a, b *Line) int { return a.At.Compare(b.At) }
	own, lines := slices.Clone(c.own), slices.Clone(c.near)
	slices.SortStableFunc(own, byTime)
	slices.SortStableFunc(lines, byTime)
	if len(own) == 0 {
		s.Said = "No line names this request. Requests that are served are only in the log now and then; their sums are in the lines of event=requests." + c.lives.say()
		return s
	}
	told := slices.Clone(own)
	for _, a := range own {
		if a.Event == attemptFailed {
			told = append(told, around(lines, a)...)
		}
	}
	for _, l := range lines {
		if l.Event == requestHeld {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, byTime)
	for _, l := range slices.Compact(told) {
		s.Lines = append(s.Lines, strings.TrimSpace(l.Source+" "+l.Text))
	}
	s.Cause, s.Said = say(own, lines)
	return s
}

// around returns the last line before an attempt about what was thought of its target, on its own
// node, and the first one after it on any node.
func around(lines []*Line, attempt *Line) (found []*Line) {
	var before, after *Line
	for _, l := range lines {
		if l.Get("target") != attempt.Get("target") || !strings.HasPrefix(l.Event, "target_") {
			continue
		}
		age := attempt.At.Sub(l.At)
		switch {
		case age >= 0 && age <= beliefBefore.Duration() && l.Source == attempt.Source:
			before = l
		case age < 0 && -age <= beliefAfter.Duration() && after == nil:
			after = l
		}
	}
	for _, l := range []*Line{before, after} {
		if l != nil {
			found = append(found, l)
		}
	}
	return found
}

// say returns the cause of how a request ended, in a word and in a sentence.
func say(own, all []*Line) (cause, said string) {
	end := own[len(own)-1]
	for _, l := range own {
		if l.Event == requestFailed || l.Event == requestRefused || l.Event == requestServed {
			end = l
		}
	}
	var attempts []*Line
	for _, l := range own {
		if l.Event == attemptFailed {
			attempts = append(attempts, l)
		}
	}
	switch end.Event {
	case requestServed:
		return "served", fmt.Sprintf("It was served with status %s after %s ms.%s", end.Get("status"), end.Get("ms"), sayAttempts(attempts, all))
	case requestRefused:
		if end.Get("print") != "" {
			return "held_back", sayHeldBack(end, all)
		}
		return "refused", fmt.Sprintf("It was refused with status %s, since: %s (desired state version %s). It has not run.",
			end.Get("status"), end.Get("reason"), end.Get("version"))
	case requestFailed:
		return end.Get("cause"), sayFailed(end, attempts) + sayBudget(end) + sayAttempts(attempts, all)
	}
	return "open", "No line says how it ended" + sayRestart(end, all) + sayAttempts(attempts, all)
}

// sayHeldBack says which targets crashed under a request that is held back, and how it may be let through again.
func sayHeldBack(end *Line, all []*Line) string {
	said := fmt.Sprintf("It was refused with status %s, since targets crash that run it: %s. It has not run; the caller was told to come back in %s ms.",
		end.Get("status"), end.Get("reason"), end.Get("retry_after_ms"))
	for _, l := range all {
		if l.Event == requestHeld && l.Get("print") == end.Get("print") {
			said += fmt.Sprintf(" It is held back since %s, %s ms before, when the last of %s crashed; it is known by its %s.",
				l.At.UTC().Format(time.TimeOnly), strconv.FormatInt(end.At.Sub(l.At).Milliseconds(), 10), l.Get("targets"), l.Get("known_by"))
			break
		}
	}
	return said + fmt.Sprintf(" \"tinladderctl lift %s\" lets it through again.", end.Get("print"))
}

// restartWithin is how long after a request's last line its node's next process is looked for.
const restartWithin = 30 * clock.Second

// sayRestart says whether a request's node ended with it.
func sayRestart(last *Line, all []*Line) string {
	for _, l := range all {
		after := l.At.Sub(last.At)
		if l.Event == started && l.Source == last.Source && after > 0 && after < restartWithin.Duration() {
			return fmt.Sprintf(": the node's next process started %d ms later, so the one that had it was stopped or killed. It may have run.", after.Milliseconds())
		}
	}
	return "; the node may have ended before it did."
}

// sayFailed says why a request was not served.
func sayFailed(end *Line, attempts []*Line) string {
	what := map[string]string{"repeatable": "A repeatable request", "once": "A run-once request"}[end.Get("kind")]
	who := fmt.Sprintf("%s for service %s", what, end.Get("service"))
	ms, waited, retry := end.Get("ms"), end.Get("waited_ms"), end.Get("retry_after_ms")
	switch end.Get("cause") {
	case "target_failed":
		return fmt.Sprintf("%s got its target's own failure, status %s, after %s ms. It has run.", who, end.Get("status"), ms)
	case "no_answer":
		return fmt.Sprintf("%s was sent to a target that gave no answer that counts; after %s ms nobody can say whether it has run: %s.", who, ms, end.Get("reason"))
	case "deadline":
		return fmt.Sprintf("%s ran out of time at a target, after %s of %s ms, %s of them in the queue. It may have run.", who, ms, end.Get("deadline_ms"), waited)
	case "answer_cut":
		return fmt.Sprintf("%s was answered, and the answer was cut after it had begun: %s. It has run.", who, end.Get("reason"))
	case "queue":
		return fmt.Sprintf("%s was refused after %s ms, since its time would have passed before a slot came free. It has not run; the caller was told to come back in %s ms.", who, ms, retry)
	case "urgency":
		return fmt.Sprintf("%s was refused after %s ms, since the service lacked room and admitted only more urgent requests. It has not run; the caller was told to come back in %s ms.", who, ms, retry)
	case "no_target":
		return fmt.Sprintf("%s was refused after %s ms, since no target could be reached or may take work. It has not run; the caller was told to come back in %s ms.", who, ms, retry)
	case "shed":
		if len(attempts) > 0 && !slices.ContainsFunc(attempts, func(a *Line) bool { return a.Get("outcome") != "replaced" }) {
			return fmt.Sprintf("%s was refused after %s ms, since its targets are gone and others are at their addresses. It has not run; the caller was told to come back in %s ms.", who, ms, retry)
		}
		return fmt.Sprintf("%s was refused after %s ms, since the targets that it was sent to are full and turned it away. It has not run; the caller was told to come back in %s ms.", who, ms, retry)
	case "caller_left":
		return fmt.Sprintf("%s lost its caller after %s ms: %s.", who, ms, end.Get("reason"))
	}
	return fmt.Sprintf("%s failed after %s ms: %s.", who, ms, end.Get("reason"))
}

// sayBudget says that a request was not sent once more since the fleet had no further attempt left for its service.
func sayBudget(end *Line) string {
	left, err := strconv.ParseFloat(end.Get("budget_left"), 64)
	again := end.Get("kind") == "repeatable" || end.Get("ran") == "0"
	if err != nil || left >= 1 || !again || end.Get("targets") == "" {
		return ""
	}
	return fmt.Sprintf(" No further attempt was left for the service: %s in the budget.", end.Get("budget_left"))
}

// sayAttempts says of each attempt that failed how it did, and why the target was chosen.
func sayAttempts(attempts, all []*Line) string {
	var b strings.Builder
	for _, a := range attempts {
		fmt.Fprintf(&b, " Target %s %s after %s ms; it was chosen as %s, thought to be failing with %s%s, %s of its slots in use.",
			a.Get("target"), sayOutcome(a), a.Get("ms"), sayWhy(a.Get("why")), a.Get("failing"), sayAge(a), a.Get("load"))
		for _, l := range around(all, a) {
			if l.At.Before(a.At) {
				continue
			}
			switch l.Event {
			case targetAvoided:
				fmt.Fprintf(&b, " It was avoided from %d ms later on.", l.At.Sub(a.At).Milliseconds())
			case targetLeft:
				fmt.Fprintf(&b, " It was found to be leaving %d ms later.", l.At.Sub(a.At).Milliseconds())
			}
		}
	}
	return b.String()
}

func sayAge(a *Line) string {
	if a.Millis("known_ms") < 0 {
		return " (nothing was known of it)"
	}
	return fmt.Sprintf(" (by evidence of %s ms before)", a.Get("known_ms"))
}

// sayOutcome says how an attempt ended.
func sayOutcome(a *Line) string {
	switch a.Get("outcome") {
	case "failed":
		return "answered with status " + a.Get("status")
	case "silent":
		return "took the request and its connection ended without an answer (" + a.Get("error") + ")"
	case "late":
		return "did not answer in time"
	case "unreachable":
		return "could not be reached (" + a.Get("error") + ")"
	case "shed":
		return "turned the request away, unrun"
	case "replaced":
		return "is no more at its address"
	case "abandoned":
		return "was given up, which is not held against it"
	}
	return a.Get("outcome")
}

// sayWhy says why a target was chosen.
func sayWhy(why string) string {
	switch why {
	case "best":
		return "the best at hand"
	case "joined":
		return "a new one that nobody had tried"
	case "idle":
		return "one that had long gone without a request, with a request that may be repeated"
	case "spread":
		return "one of many to try, since too many requests of the service failed"
	case "spare":
		return "one to try, since those known to be sound were nearly full"
	}
	return why
}

package soak

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"
)

// kind says how often a request may run.
type kind string

const (
	safe   kind = "safe"
	unsafe kind = "unsafe"
	// stream is a resumable stream.
	stream kind = "stream"
)

// attempt is a request as a caller sent it.
type attempt struct {
	id       string
	kind     kind
	key      string
	vm       string
	sentAt   time.Time
	deadline time.Duration
}

// run is a request at an upstream that began to work on it.
type run struct {
	id       string
	upstream string
	at       time.Time
	// workspace is what the upstream was told, and keyed says that a key arrived with it.
	workspace string
	keyed     bool
	// intact says that method, path and body are those of the caller.
	intact bool
}

// answer is what a caller got.
type answer struct {
	id     string
	at     time.Time
	status int
	// whole says that the answer ended as HTTP demands.
	whole bool
	// proven says that the answer bears the stamp of an upstream that ran the request, and its body is that
	// upstream's.
	proven bool
	// events are the numbers of a stream's events, and last that of its last one.
	events []int
	last   int
	err    string
}

// Parts that a fault may disturb beside a VM, which is named.
const (
	theStore     = "store"
	theUpstreams = "upstreams"
)

// disturbance is a fault of one part. Its end is zero while it lasts.
type disturbance struct {
	part     string
	from, to time.Time
}

// ledger holds all that callers and upstreams saw. It is safe for concurrent use.
type ledger struct {
	mu           sync.Mutex
	attempts     map[string]attempt
	runs         map[string][]run
	answers      map[string]answer
	disturbances []*disturbance
	// withdrawn and draining say when a key was withdrawn and when an upstream said that it leaves.
	withdrawn map[string]time.Time
	draining  map[string]time.Time
	// workspaces maps keys to their workspaces, and regions VMs and upstreams to their regions.
	workspaces map[string]string
	regions    map[string]string
}

func newLedger() *ledger {
	return &ledger{
		attempts: map[string]attempt{}, runs: map[string][]run{}, answers: map[string]answer{},
		withdrawn: map[string]time.Time{}, draining: map[string]time.Time{}, workspaces: map[string]string{}, regions: map[string]string{},
	}
}

func (l *ledger) sent(a attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.id] = a
}

func (l *ledger) ran(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id] = append(l.runs[r.id], r)
}

func (l *ledger) answered(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[a.id] = a
}

// disturb notes the beginning of a fault, and the function that it returns its end.
func (l *ledger) disturb(part string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &disturbance{part: part, from: time.Now()}
	l.disturbances = append(l.disturbances, d)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		d.to = time.Now()
	}
}

// violation is a promise that was not kept.
type violation struct {
	promise string
	id      string
	detail  string
}

// String describes the violation.
func (v violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.promise, v.id, v.detail)
}

// bounds are the times within which changes take effect.
type bounds struct {
	// revoke is the longest time for which a withdrawn key works, drain that for which a leaving upstream gets
	// requests, and contact the time after a disturbance until bounds hold again.
	revoke, drain, contact time.Duration
	// answerSlack is the time beyond the deadline within which a final answer is there.
	answerSlack time.Duration
	// recovered is the share of requests that succeed once all faults have ended.
	recovered float64
}

// promise is a rule that holds at all times, with the place in the users' pages that states it.
type promise struct {
	name  string
	page  string
	check func(l *ledger, b bounds) []violation
}

// promises are what the soak checks.
var promises = []promise{
	{"unsafe runs once", "RULES TWICE", checkOnce},
	{"refused has not run", "RULES REFUSED", checkRefused},
	{"answers are whole and an upstream's", "RULES MIXED", checkAnswers},
	{"streams have no gap and no repeat", "RULES ORDER", checkStreams},
	{"upstreams get what callers sent", "RULES UNASKED", checkRuns},
	{"withdrawn keys stop working", "RULES CONFIG, strict_revoke", checkKeys},
	{"leaving upstreams get nothing new", "RULES DRAIN", checkDraining},
	{"each request gets an answer in time", "RULES CONFIG, timeout_ms", checkAnswered},
	{"service returns after faults", "RULES RECOVER", checkRecovery},
}

// check returns all violations, those of one promise together.
func (l *ledger) check(b bounds) []violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []violation
	for _, p := range promises {
		found := p.check(l, b)
		sort.Slice(found, func(i, j int) bool { return found[i].id < found[j].id })
		for _, v := range found {
			v.promise = p.name
			all = append(all, v)
		}
	}
	return all
}

func checkOnce(l *ledger, _ bounds) []violation {
	var found []violation
	for id, runs := range l.runs {
		if a, ok := l.attempts[id]; ok && a.kind == unsafe && len(runs) > 1 {
			found = append(found, violation{id: id, detail: fmt.Sprintf("ran %d times", len(runs))})
		}
	}
	return found
}

func checkRefused(l *ledger, _ bounds) []violation {
	var found []violation
	for id, a := range l.answers {
		if (a.status == 429 || a.status == 503) && len(l.runs[id]) > 0 && l.attempts[id].kind == unsafe {
			found = append(found, violation{id: id, detail: fmt.Sprintf("answered %d although it ran", a.status)})
		}
	}
	return found
}

func checkAnswers(l *ledger, _ bounds) []violation {
	var found []violation
	for id, a := range l.answers {
		if a.status == 200 && a.whole && !a.proven {
			found = append(found, violation{id: id, detail: "a success that no upstream gave"})
		}
	}
	return found
}

func checkStreams(l *ledger, _ bounds) []violation {
	var found []violation
	for id, a := range l.answers {
		if l.attempts[id].kind != stream || a.status != 200 {
			continue
		}
		switch {
		case !consecutive(a.events):
			found = append(found, violation{id: id, detail: fmt.Sprintf("events %v", a.events)})
		case a.whole && len(a.events) != a.last:
			found = append(found, violation{id: id, detail: fmt.Sprintf("ends as complete after %d of %d events", len(a.events), a.last)})
		}
	}
	return found
}

// consecutive reports whether the numbers are 1, 2, 3 and so on.
func consecutive(events []int) bool {
	for i, n := range events {
		if n != i+1 {
			return false
		}
	}
	return true
}

func checkRuns(l *ledger, _ bounds) []violation {
	var found []violation
	for id, runs := range l.runs {
		a, known := l.attempts[id]
		for _, r := range runs {
			switch {
			case !known:
				found = append(found, violation{id: id, detail: "no caller sent it"})
			case r.keyed:
				found = append(found, violation{id: id, detail: "the key reached upstream " + r.upstream})
			case r.workspace != l.workspaces[a.key]:
				found = append(found, violation{id: id, detail: "ran for workspace " + r.workspace})
			case !r.intact:
				found = append(found, violation{id: id, detail: "method, path or body changed"})
			}
		}
	}
	return found
}

func checkKeys(l *ledger, b bounds) []violation {
	var found []violation
	for id, runs := range l.runs {
		a := l.attempts[id]
		at, ok := l.withdrawn[a.key]
		if ok && a.sentAt.After(at.Add(b.revoke)) {
			found = append(found, violation{id: id, detail: fmt.Sprintf("ran %d times, sent %v after its key was withdrawn", len(runs), a.sentAt.Sub(at))})
		}
	}
	return found
}

func checkDraining(l *ledger, b bounds) []violation {
	var found []violation
	for id, runs := range l.runs {
		for _, r := range runs {
			at, ok := l.draining[r.upstream]
			vm := l.attempts[id].vm
			// Only VMs of its own region send to an upstream.
			if !ok || l.regions[vm] != l.regions[r.upstream] || !r.at.After(at.Add(b.drain)) {
				continue
			}
			if !l.disturbedBetween(at.Add(-b.contact), r.at, vm, theStore) {
				found = append(found, violation{id: id, detail: fmt.Sprintf("reached upstream %s %v after it said that it leaves", r.upstream, r.at.Sub(at))})
			}
		}
	}
	return found
}

func checkAnswered(l *ledger, b bounds) []violation {
	var found []violation
	for id, a := range l.attempts {
		due := a.sentAt.Add(a.deadline + b.answerSlack)
		got, ok := l.answers[id]
		if ok && got.status != 0 && !got.at.After(due) || l.disturbedBetween(a.sentAt.Add(-b.contact), due, a.vm) {
			continue
		}
		found = append(found, violation{id: id, detail: "no answer in time: " + got.err})
	}
	return found
}

// disturbedBetween reports whether one of the parts was disturbed in a span.
func (l *ledger) disturbedBetween(from, to time.Time, parts ...string) bool {
	for _, d := range l.disturbances {
		if slices.Contains(parts, d.part) && d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) {
			return true
		}
	}
	return false
}

// healedAt is when the last fault ended, zero if there was none.
func (l *ledger) healedAt() time.Time {
	var at time.Time
	for _, d := range l.disturbances {
		if d.to.After(at) {
			at = d.to
		}
	}
	return at
}

func checkRecovery(l *ledger, b bounds) []violation {
	healed := l.healedAt()
	asked, served := 0, 0
	for id, a := range l.attempts {
		if _, gone := l.withdrawn[a.key]; gone || healed.IsZero() || a.sentAt.Before(healed.Add(b.contact)) {
			continue
		}
		asked++
		if got := l.answers[id]; got.status == 200 && got.whole {
			served++
		}
	}
	if asked > 0 && float64(served) < b.recovered*float64(asked) {
		return []violation{{id: "all", detail: fmt.Sprintf("%d of %d requests succeed after all faults have ended", served, asked)}}
	}
	return nil
}

package poison

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"parsleyhatch/vmwire"
)

const (
	simVMs       = 3
	simUpstreams = 12
	simBatch     = 6
	simSteps     = 400
	simStep      = 100 * time.Millisecond
	// simRetry is the number of steps until a failed request is sent again. Messages take one step.
	simRetry = 3
)

// simRequest is a request that is sent until it completes or is refused.
type simRequest struct {
	fingerprint Fingerprint
	poisoned    bool
	vm          int
	upstream    int
	stepsLeft   int
	startAt     int
	running     bool
	finished    bool
}

// simRegion is a simulated region whose upstreams crash when they run a poisoned request.
type simRegion struct {
	rng       *rand.Rand
	now       time.Time
	step      int
	tables    [simVMs]*Table
	inbox     []vmwire.SuspectRequest
	requests  []*simRequest
	downUntil [simUpstreams]int
	load      [simUpstreams]int
	// heldOnly makes each VM place suspects only at the upstreams that it holds.
	heldOnly         bool
	innocentRequests int
	lostUpstreams    int
	falseQuarantines int
}

func newSimRegion(seed uint64, poisonedRequests int, heldOnly bool) *simRegion {
	r := &simRegion{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Now(), heldOnly: heldOnly}
	for i := range r.tables {
		r.tables[i] = New(DefaultLimits())
	}
	for i := range poisonedRequests {
		r.requests = append(r.requests, &simRequest{fingerprint: testFingerprint(i), poisoned: true, startAt: 20 + r.rng.IntN(40)})
	}
	return r
}

// run simulates simSteps steps with a steady stream of innocent requests.
func (r *simRegion) run() {
	for r.step = range simSteps {
		r.now = r.now.Add(simStep)
		r.deliver()
		for range 3 {
			r.innocentRequests++
			r.requests = append(r.requests, &simRequest{fingerprint: testFingerprint(1000 + r.innocentRequests)})
		}
		r.requests = slices.DeleteFunc(r.requests, func(q *simRequest) bool { return q.finished })
		r.startWaiting()
		r.progress()
	}
}

// deliver passes the messages of the last step to all VMs.
func (r *simRegion) deliver() {
	for _, m := range r.inbox {
		for _, t := range r.tables {
			t.Merge(r.now, m)
		}
	}
	r.inbox = nil
}

func (r *simRegion) startWaiting() {
	for _, i := range r.rng.Perm(len(r.requests)) {
		if q := r.requests[i]; !q.running && !q.finished && r.step >= q.startAt {
			r.start(q)
		}
	}
}

// start sends a request to a random VM, which tries the upstreams in random order.
func (r *simRegion) start(q *simRequest) {
	q.vm = r.rng.IntN(simVMs)
	t := r.tables[q.vm]
	state := t.State(r.now, q.fingerprint)
	if state == Quarantined {
		q.finished = true
		if !q.poisoned {
			r.falseQuarantines++
		}
		return
	}
	for _, u := range r.rng.Perm(simUpstreams) {
		if r.downUntil[u] > r.step || r.load[u] >= simBatch {
			continue
		}
		if r.heldOnly && state == Suspect && u%simVMs != q.vm {
			continue
		}
		if t.Reserve(r.now, upstreamName(u), q.fingerprint) {
			q.upstream, q.running, q.stepsLeft = u, true, 5+r.rng.IntN(15)
			r.load[u]++
			if q.poisoned {
				q.stepsLeft = 1 + r.rng.IntN(3)
			}
			return
		}
	}
}

func upstreamName(u int) string { return string(rune('a' + u)) }

// progress runs all requests for one step.
func (r *simRegion) progress() {
	for _, q := range r.requests {
		if !q.running {
			continue
		}
		q.stepsLeft--
		if q.stepsLeft > 0 {
			continue
		}
		if q.poisoned {
			r.crash(q.upstream)
			continue
		}
		q.running, q.finished = false, true
		r.load[q.upstream]--
		r.tables[q.vm].Release(r.now, upstreamName(q.upstream), q.fingerprint)
		if r.tables[q.vm].RecordCompletion(r.now, q.fingerprint) {
			r.inbox = append(r.inbox, r.tables[q.vm].Messages(r.now, q.fingerprint)...)
		}
	}
}

// crash ends the requests at an upstream. Each VM knows only its own requests there.
func (r *simRegion) crash(u int) {
	r.lostUpstreams++
	r.load[u] = 0
	r.downUntil[u] = r.step + 30
	var running [simVMs][]Fingerprint
	for _, q := range r.requests {
		if q.running && q.upstream == u {
			running[q.vm] = append(running[q.vm], q.fingerprint)
			q.running = false
			q.startAt = r.step + simRetry
		}
	}
	for vm, list := range running {
		for _, v := range r.tables[vm].RecordCrash(r.now, upstreamName(u), list) {
			r.inbox = append(r.inbox, r.tables[vm].Messages(r.now, v.Fingerprint)...)
		}
	}
}

// simulate returns the sums over all seeds, and the most upstreams lost with one seed.
func simulate(poisonedRequests int, heldOnly bool) (lostUpstreams, most, falseQuarantines int) {
	for seed := range uint64(simSeeds) {
		r := newSimRegion(seed, poisonedRequests, heldOnly)
		r.run()
		lostUpstreams += r.lostUpstreams
		most = max(most, r.lostUpstreams)
		falseQuarantines += r.falseQuarantines
	}
	return lostUpstreams, most, falseQuarantines
}

const simSeeds = 100

// Guards against a poisoned request that crashes more than two upstreams, and against the
// quarantine of an innocent request, while there is one poisoned request at a time in the region.
func TestRegionLosses(t *testing.T) {
	lost, most, falsely := simulate(1, true)
	t.Logf("1 poisoned request: %.2f upstreams lost on average, %d at most, %d innocent requests quarantined", float64(lost)/simSeeds, most, falsely)
	if most > 2 || falsely > 0 {
		t.Errorf("%d upstreams lost, %d innocent requests quarantined", most, falsely)
	}
	// The runs below violate these assumptions. Their losses are logged and have no bound.
	for _, c := range []struct {
		poisons  int
		heldOnly bool
	}{{3, true}, {1, false}} {
		lost, most, falsely := simulate(c.poisons, c.heldOnly)
		t.Logf("%d poisoned requests at once, suspects only at held upstreams %v: %.2f lost per poisoned request, %d at most, %.2f innocent quarantined per run",
			c.poisons, c.heldOnly, float64(lost)/simSeeds/float64(c.poisons), most, float64(falsely)/simSeeds)
	}
}

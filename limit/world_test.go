package limit

import (
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/config"
	"parsleyhatch/fixedseed"
)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m, fixedseed.Defaults{Seed: "7"})) }

const (
	testRate  = 100
	testBurst = 600
	ws        = "w"
)

var (
	epoch   = time.Unix(1_700_000_000, 0)
	testVMs = []config.VM{
		{Name: "a1", Region: "a", FailureDomain: "a1"}, {Name: "a2", Region: "a", FailureDomain: "a2"},
		{Name: "a3", Region: "a", FailureDomain: "a3"}, {Name: "b1", Region: "b", FailureDomain: "b1"},
	}
	testSplits = []map[string]float64{nil, {"a": 0.5, "b": 0.5}, {"a": 0.2, "b": 0.8}, {"b": 1}, {"a": 0.33, "b": 0.33}}
)

// process is one incarnation of a slot in the simulated deployment.
type process struct {
	slot     string
	region   string
	table    *Table
	version  int
	newest   bool
	from     time.Time // first authorisation
	lastTick time.Time
	asleep   time.Time
	isolated time.Time
	pending  int64 // tokens of the last request that asks other slots
}

// admission is an admitted request; used equals the charge until it is settled.
type admission struct {
	at   time.Time
	used int64
}

type message struct {
	to   *process
	from *process
	at   time.Time
	ask  *TokenAsk
	give *TokenGive
}

type openCharge struct {
	p  *process
	c  Charge
	at int
}

// world runs processes of all slots against one ideal bucket.
type world struct {
	t         *rapid.T
	now       time.Time
	processes []*process
	messages  []message
	charges   []openCharge
	admitted  []admission
	versions  []int
	// published is when each version was published; all slots have it 2 s later.
	published []time.Time
	cut       time.Time
	incs      uint64
	// faults is the percentage of the drawn faults that happen in this run.
	faults int
	// largest is the largest charge, in tokens.
	largest int64
	// greedy runs use up what all slots have, which brings the ideal bucket close to empty.
	greedy bool
	rng    *rand.Rand
	// attempts, refused and unjust count requests, refusals, and refusals of what the ideal
	// bucket would have admitted.
	attempts, refused, unjust int64
}

func (w *world) chance(percent int) bool { return w.rng.IntN(100) < percent }

func (w *world) millis(most int) time.Duration {
	return time.Duration(w.rng.IntN(most+1)) * time.Millisecond
}

func (w *world) shares(version int, slot string) []Share {
	split := testSplits[w.versions[version]]
	return Shares([]config.Workspace{{Name: ws, Home: "a", Rate: testRate, Burst: testBurst, RegionShares: split}}, testVMs, slot)
}

// newWorld draws the seed of a run; the run itself uses uniform random numbers, since rapid's are
// biased to small values and would hardly let time pass.
func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: epoch, published: []time.Time{epoch}}
	w.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	w.faults = []int{0, 30, 100}[w.rng.IntN(3)]
	w.greedy = w.rng.IntN(2) == 0
	w.largest = []int64{60, 300, 600}[w.rng.IntN(3)]
	w.versions = []int{w.rng.IntN(len(testSplits))}
	return w
}

// start adds an incarnation; the one before it, if it still runs, gets no further confirmation.
func (w *world) start(vm config.VM) {
	for _, p := range w.processes {
		if p.slot == vm.Name {
			p.newest = false
		}
	}
	w.incs++
	p := &process{slot: vm.Name, region: vm.Region, table: New(vm.Name), newest: true, lastTick: w.now, version: len(w.versions) - 1}
	p.table.Begin(w.now, w.incs<<32)
	p.table.Configure(w.now, w.shares(p.version, p.slot))
	p.from = w.now.Add(4 * time.Second)
	w.processes = append(w.processes, p)
}

// step lets time pass, then runs each process's ticks and the messages that are due.
func (w *world) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.processes {
		w.tick(p)
	}
	var due []message
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool {
		if m.at.After(w.now) || m.to.asleep.After(w.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		w.deliver(m)
	}
	w.check()
}

func (w *world) tick(p *process) {
	if p.asleep.After(w.now) {
		return
	}
	if w.now.Sub(p.lastTick) > time.Second {
		p.table.Discard(w.now)
	}
	p.lastTick = w.now
	latest := len(w.versions) - 1
	if p.version < latest && (w.chance(40) || w.now.Sub(w.published[p.version+1]) >= 2*time.Second) {
		p.version = latest
		p.table.Configure(w.now, w.shares(p.version, p.slot))
	}
	sent := w.now.Add(-20 * time.Millisecond)
	if p.newest && !p.from.After(sent) && !p.isolated.After(w.now) {
		p.table.Authorise(w.now, sent, sent.Add(MaxLease))
	}
	if !p.newest && w.chance(5) {
		p.table.Discard(w.now) // learns of its successor
	}
	p.table.Tick(w.now)
	p.table.sync(p.table.buckets[ws], w.now) // held reads the level
}

// send queues a message with a random delay, and may lose or repeat it.
func (w *world) send(m message) {
	if w.chance(w.faults/5) || (m.to.region != m.from.region && w.cut.After(w.now)) {
		return
	}
	m.at = w.now.Add(w.millis(60))
	if w.chance(w.faults / 5) {
		m.at = m.at.Add(w.millis(3000))
	}
	w.messages = append(w.messages, m)
	if w.chance(w.faults / 5) {
		m.at = m.at.Add(w.millis(1500))
		w.messages = append(w.messages, m)
	}
}

func (w *world) deliver(m message) {
	if m.ask != nil {
		g := m.to.table.Give(w.now, *m.ask)
		w.send(message{to: m.from, from: m.to, give: &g})
		return
	}
	for _, p := range w.processes { // also to other incarnations of the slot
		if p.slot == m.to.slot && !p.asleep.After(w.now) && p.table.Accept(w.now, *m.give) {
			w.request(p, p.pending, false)
			if a, ok := p.table.EndLoan(w.now, ws, m.give.ID); ok && w.chance(80) {
				w.send(message{to: m.from, from: p, ask: &a})
			}
		}
	}
}

// balance sends a request to the other holders of the region.
func (w *world) balance(p *process) {
	for _, o := range w.processes {
		if o.slot == p.slot || o.region != p.region || !slices.Contains(Holders(ws, p.region, testVMs), o.slot) {
			continue
		}
		if a, ok := p.table.Balance(w.now, ws); ok {
			w.send(message{to: o, from: p, ask: &a})
		}
	}
}

// request takes tokens, and asks the other slots for what is missing.
func (w *world) request(p *process, tokens int64, collect bool) {
	level := w.check()
	w.balance(p)
	c, v := p.table.Take(w.now, ws, tokens)
	w.attempts++
	if v.Admitted {
		w.admitted = append(w.admitted, admission{at: w.now, used: tokens})
		w.charges = append(w.charges, openCharge{p: p, c: c, at: len(w.admitted) - 1})
		w.check()
		return
	}
	w.refused++
	if level >= float64(tokens) {
		w.unjust++
	}
	if !collect || v.Never {
		return
	}
	p.pending = tokens
	holders := append(Holders(ws, "a", testVMs), Holders(ws, "b", testVMs)...)
	first := w.rng.IntN(len(holders))
	for _, o := range w.processes {
		if o.slot == p.slot || !o.newest || (o.slot != holders[first] && !w.chance(20)) {
			continue
		}
		if a, ok := p.table.Ask(w.now, ws, v.Missing); ok {
			w.send(message{to: o, from: p, ask: &a})
			if w.chance(w.faults / 5) {
				p.table.Cancel(w.now, a.ID)
			}
		}
	}
}

func (w *world) settle() {
	if len(w.charges) == 0 {
		return
	}
	i := w.rng.IntN(len(w.charges))
	o := w.charges[i]
	if o.p.asleep.After(w.now) {
		return
	}
	used := w.rng.Int64N(o.c.Tokens + 1)
	o.p.table.Settle(w.now, o.c, used)
	w.admitted[o.at].used = used
	w.charges = slices.Delete(w.charges, i, i+1)
}

// check replays the admissions through an ideal bucket, which goes below zero if and only if some
// window holds more than burst + rate*window, and compares its level with what the slots could
// still spend. It returns the ideal level now.
func (w *world) check() float64 {
	level, at := float64(testBurst), epoch
	for _, a := range w.admitted {
		level = math.Min(testBurst, level+testRate*a.at.Sub(at).Seconds()) - float64(a.used)
		at = a.at
		if level < -1e-3 {
			w.t.Fatalf("over-grant of %.3f tokens at %v", -level, at.Sub(epoch))
		}
	}
	level = math.Min(testBurst, level+testRate*w.now.Sub(at).Seconds())
	if held := w.held(); held > level+1e-3 {
		w.t.Fatalf("over-grant possible at %v: slots hold %.3f, ideal bucket %.3f", w.now.Sub(epoch), held, level)
	}
	return level
}

// held adds up all tokens that could be spent now: levels, loans, and grants in transfer.
func (w *world) held() float64 {
	sum := 0.0
	for _, p := range w.processes {
		if p.asleep.After(w.now) && p.asleep.Sub(p.lastTick) > time.Second {
			continue // discards its tokens when it wakes
		}
		b := p.table.buckets[ws]
		if p.table.leased(w.now) {
			sum += b.level
		}
		for _, l := range b.loans {
			if l.until.After(w.now) {
				sum += l.tokens
			}
		}
	}
	counted := map[uint64]bool{}
	for _, m := range w.messages {
		if m.ask != nil && m.ask.Tokens == 0 && !counted[m.ask.ID] { // unused tokens on the way back
			for _, l := range m.to.table.buckets[ws].lent {
				if l.id == m.ask.ID && l.until.After(w.now) {
					counted[m.ask.ID] = true
					sum += math.Min(float64(m.ask.Loan), l.tokens)
				}
			}
		}
		if m.give == nil || counted[m.give.ID] {
			continue
		}
		if a := m.to.table.asks[m.give.ID]; a != nil && a.deadline.After(w.now) {
			counted[m.give.ID] = true
			sum += float64(m.give.Tokens)
		}
	}
	return sum
}

func (w *world) act() {
	p := w.processes[w.rng.IntN(len(w.processes))]
	switch k := w.rng.IntN(100); {
	case p.asleep.After(w.now):
	case k < 20 && w.greedy:
		for _, o := range w.processes {
			for range 6 {
				w.request(o, 1+w.rng.Int64N(100), false)
			}
		}
	case k < 55:
		w.request(p, 1+w.rng.Int64N(w.largest), true)
	case k < 75:
		w.settle()
	case k < 78: // quiet, so that all buckets fill up
		for range 14 {
			w.step(600 * time.Millisecond)
		}
	case k < 80 && w.now.Sub(w.published[len(w.published)-1]) > 300*time.Millisecond:
		w.versions = append(w.versions, w.rng.IntN(len(testSplits)))
		w.published = append(w.published, w.now)
	case !w.chance(w.faults):
	case k < 84:
		p.asleep = w.now.Add(w.millis(4000))
	case k < 88:
		p.isolated = w.now.Add(w.millis(6000))
	case k < 91:
		w.start(testVMs[w.rng.IntN(len(testVMs))])
	case k < 95:
		w.cut = w.now.Add(w.millis(5000))
	}
}

// Guards against any over-grant over all slots, under delays, losses, duplicates, pauses,
// overlapping incarnations, partitions and changes of shares.
func TestGlobalBound(t *testing.T) {
	var attempts, refused, unjust, tokens int64
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for _, vm := range testVMs {
			w.start(vm)
		}
		for range 9 {
			w.step(700 * time.Millisecond)
		}
		for range 150 {
			w.act()
			w.step(w.millis([]int{5, 100, 900}[w.rng.IntN(3)]))
		}
		w.check()
		attempts, refused, unjust = attempts+w.attempts, refused+w.refused, unjust+w.unjust
		for _, a := range w.admitted {
			tokens += a.used
		}
	})
	t.Logf("takes %d, refused %d, of which the ideal bucket would have admitted %d; tokens admitted %d", attempts, refused, unjust, tokens)
}

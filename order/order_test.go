package order

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/selector"
)

// engine is a simulated engine. It accepts only orders with a fencing number above that of its last
// order.
type engine struct {
	state     State
	lastFence uint64
}

func (e *engine) apply(d Decision) Result {
	if d.FencingNumber <= e.lastFence {
		return StaleFence
	}
	e.lastFence = d.FencingNumber
	e.state = d.To
	return Accepted
}

func mustSelector(text string) selector.Selector {
	s, err := selector.Parse(text)
	if err != nil {
		panic(err)
	}
	return s
}

func testPool(model, version, allowed string, minimum int) Pool {
	return Pool{Desired: State{Model: model, Version: version}, Allowed: mustSelector(allowed), MinReplicas: minimum}
}

func fencedUpstream(name, tier string) Upstream {
	return Upstream{Name: name, Labels: map[string]string{"tier": tier}, ChecksFencing: true}
}

func unlimitedLoads() Limits {
	l := DefaultLimits()
	l.LoadsPerSecond, l.LoadBurst = 1000, 1000
	return l
}

// inFlightOrder is an order on its way from a VM, with the fencing number that the VM had read from
// the engine.
type inFlightOrder struct {
	vm          int
	decision    Decision
	fenceAtRead uint64
}

// twoVMs are two VMs that can both be the holder of one engine, as each of them sees it.
type twoVMs struct {
	now         time.Time
	engine      engine
	vms         [2]*Table
	fenceAtRead [2]uint64
	paused      [2]bool
	inFlight    []inFlightOrder
	version     int
	applied     int
}

func (w *twoVMs) plan() Plan {
	return Plan{Pools: []Pool{testPool("m", fmt.Sprint(w.version), "", 0)}}
}

// tick runs the decisions of one VM. Its orders stay in flight until they are delivered.
func (w *twoVMs) tick(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "vm")
	if w.paused[i] {
		t.Skip("paused")
	}
	if rapid.Bool().Draw(t, "learns") {
		w.vms[i].SetPlan(w.plan())
	}
	w.vms[i].SetLive([]string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "live")})
	for _, d := range w.vms[i].Decide(w.now) {
		if d.Reason == ReasonRead {
			w.fenceAtRead[i] = w.engine.lastFence
			w.vms[i].RecordRead(w.now, "u", w.engine.state, w.engine.lastFence)
		}
		if d.ShouldSend() {
			w.inFlight = append(w.inFlight, inFlightOrder{vm: i, decision: d, fenceAtRead: w.fenceAtRead[i]})
		}
	}
	w.checkOutstanding(t, i)
}

// checkOutstanding asserts that a VM has at most one order in flight that has neither a result nor
// timed out.
func (w *twoVMs) checkOutstanding(t *rapid.T, i int) {
	n := 0
	for _, f := range w.inFlight {
		if f.vm == i && f.decision.number == w.vms[i].rows["u"].lastOrder.number {
			n++
		}
	}
	if n > 1 {
		t.Fatalf("%d orders of one VM outstanding", n)
	}
}

// deliver passes one order to the engine, in any sequence, also if its VM is paused or is no longer
// the holder.
func (w *twoVMs) deliver(t *rapid.T) {
	if len(w.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	k := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "flight")
	f := w.inFlight[k]
	w.inFlight = append(w.inFlight[:k:k], w.inFlight[k+1:]...)
	before := w.engine.lastFence
	result := w.engine.apply(f.decision)
	if result == Accepted && before != f.fenceAtRead {
		t.Fatalf("stale order applied: read %d, engine was at %d", f.fenceAtRead, before)
	}
	if result == Accepted {
		w.applied++
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		w.vms[f.vm].RecordResult(w.now, f.decision, result)
	}
}

// Guards against an order that is applied although another VM's order was applied after the sending
// VM last read the engine. This can happen with two holders, pauses, and late or lost messages.
func TestStaleOrderNeverApplied(t *testing.T) {
	applied := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &twoVMs{now: time.Now()}
		for i, name := range []string{"a", "b"} {
			w.vms[i] = New(name, unlimitedLoads())
			w.vms[i].SetUpstreams([]Upstream{fencedUpstream("u", "x")})
			w.vms[i].SetPlan(w.plan())
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick":    w.tick,
			"tick2":   w.tick,
			"tick3":   w.tick,
			"deliver": w.deliver,
			"plan":    func(*rapid.T) { w.version++ },
			"pause":   func(t *rapid.T) { i := rapid.IntRange(0, 1).Draw(t, "vm"); w.paused[i] = !w.paused[i] },
			"time": func(t *rapid.T) {
				w.now = w.now.Add(rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, time.Minute, 10 * time.Minute}).Draw(t, "by"))
			},
		})
		applied += w.applied
	})
	t.Logf("%d orders applied", applied)
	if applied == 0 {
		t.Error("no order was applied")
	}
}

// newTestTable returns the table of a VM that holds all upstreams, each read at the returned time.
func newTestTable(t *testing.T, limits Limits, plan Plan, list []Upstream, states ...State) (*Table, time.Time) {
	t.Helper()
	tb := New("a", limits)
	tb.SetLive([]string{"a"})
	tb.SetPlan(plan)
	tb.SetUpstreams(list)
	now := time.Now()
	for i, u := range list {
		tb.RecordRead(now, u.Name, states[i], 7)
	}
	return tb, now
}

// Guards against orders to an upstream that cannot refuse an outdated one.
func TestNoOrderWithoutFencing(t *testing.T) {
	u := Upstream{Name: "u"}
	tb, now := newTestTable(t, unlimitedLoads(), Plan{Pools: []Pool{testPool("m", "2", "", 0)}}, []Upstream{u}, State{Model: "m", Version: "1"})
	for i, want := range []int{1, 0, 0} {
		list := tb.Decide(now.Add(time.Duration(i) * time.Hour))
		if len(list) != want {
			t.Fatalf("tick %d: %v", i, list)
		}
		if want == 1 && list[0].Reason != ReasonNoFencing {
			t.Errorf("reason %s", list[0].Reason)
		}
	}
}

// Guards against an order that is based on an old read. The upstream would refuse it, which causes
// a backoff.
func TestReadPrecedesOrder(t *testing.T) {
	tb, now := newTestTable(t, unlimitedLoads(), Plan{Pools: []Pool{testPool("m", "2", "", 0)}}, []Upstream{fencedUpstream("u", "x")}, State{Model: "m", Version: "1"})
	now = now.Add(tb.limits.ReadValidity)
	list := tb.Decide(now)
	if len(list) != 1 || list[0].Reason != ReasonRead || len(tb.Decide(now)) != 0 {
		t.Fatalf("decisions with an old read: %+v", list)
	}
	tb.RecordRead(now, "u", State{Model: "m", Version: "1"}, 41)
	list = tb.Decide(now)
	if len(list) != 1 || list[0].FencingNumber != 42 {
		t.Fatalf("decisions after the read: %+v", list)
	}
	tb.RecordRead(now, "u", State{Model: "m", Version: "1"}, 50)
	tb.RecordResult(now, list[0], Accepted)
	if list = tb.Decide(now); len(list) != 1 || list[0].Reason != ReasonRead {
		t.Errorf("decisions after an order: %+v", list)
	}
}

// Guards against a flood of orders to an engine that refuses them, and against an order whose
// fencing number was not read again after a failure.
func TestBackoff(t *testing.T) {
	tb, now := newTestTable(t, unlimitedLoads(), Plan{Pools: []Pool{testPool("m", "2", "", 0)}}, []Upstream{fencedUpstream("u", "x")}, State{Model: "m", Version: "1"})
	sent := 0
	end := now.Add(time.Hour)
	for ; now.Before(end); now = now.Add(time.Second) {
		for _, d := range tb.Decide(now) {
			switch {
			case d.Reason == ReasonRead:
				tb.RecordRead(now, "u", State{Model: "m", Version: "1"}, uint64(100+sent))
			case d.ShouldSend():
				if d.FencingNumber != uint64(101+sent) && sent > 0 {
					t.Fatalf("fence %d after read of %d", d.FencingNumber, 100+sent)
				}
				sent++
				tb.RecordResult(now, d, Failed)
			}
		}
	}
	if sent < 10 || sent > 20 {
		t.Errorf("%d orders in an hour", sent)
	}
}

// Guards against many loads at once that overload the weight store, and against role changes that
// wait for the rate limit of loads.
func TestLoadRate(t *testing.T) {
	limits := DefaultLimits()
	var list []Upstream
	var states []State
	for i := range 10 {
		list = append(list, fencedUpstream(fmt.Sprint("u", i), "x"))
		states = append(states, State{Model: "m", Version: "1"})
	}
	tb, now := newTestTable(t, limits, Plan{Pools: []Pool{testPool("m", "2", "", 0)}}, list, states...)
	send := func() (n int) {
		for _, d := range tb.Decide(now) {
			if d.ShouldSend() {
				n++
			}
		}
		return n
	}
	if n := send(); n != 2 {
		t.Errorf("%d loads at once, want the burst of 2", n)
	}
	tb.SetPlan(Plan{Pools: []Pool{{Desired: State{Model: "m", Version: "1", Role: "prefill"}}}})
	if n := send(); n != 8 {
		t.Errorf("%d role orders, want 8", n)
	}
}

// Guards against an upstream that gets a model which its labels do not allow.
func TestDesiredRespectsLabels(t *testing.T) {
	plan := Plan{Pools: []Pool{testPool("big", "1", "tier=a", 2), testPool("small", "1", "", 1)}}
	cases := []struct {
		tier  string
		runs  string
		count map[string]int
		want  string
	}{
		{"b", "big", nil, "small"},
		{"a", "big", nil, "big"},
		{"a", "", nil, "big"},
		{"a", "", map[string]int{"big": 2}, "small"},
		{"b", "", map[string]int{"small": 5}, "small"},
	}
	for _, c := range cases {
		got, ok := plan.desired(fencedUpstream("u", c.tier), State{Model: c.runs}, c.count)
		if !ok || got.Model != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against upstreams without a model that all get the first model of the plan.
func TestFillsPools(t *testing.T) {
	var list []Upstream
	for i := range 5 {
		list = append(list, fencedUpstream(fmt.Sprint("u", i), "x"))
	}
	plan := Plan{Pools: []Pool{testPool("big", "1", "", 3), testPool("small", "1", "", 2)}}
	tb, now := newTestTable(t, unlimitedLoads(), plan, list, make([]State, len(list))...)
	count := map[string]int{}
	for _, d := range tb.Decide(now) {
		count[d.To.Model]++
	}
	if count["big"] != 3 || count["small"] != 2 {
		t.Errorf("replicas %v", count)
	}
}

// Guards against a holder that depends on the order of the slots, and against an uneven spread of
// upstreams over the VMs.
func TestHolder(t *testing.T) {
	slots := []string{"vm1", "vm2", "vm3", "vm4"}
	count := map[string]int{}
	for i := range 4000 {
		u := fmt.Sprint("engine-", i)
		h := IssuingVM(slots, u)
		count[h]++
		if IssuingVM([]string{"vm4", "vm2", "vm1", "vm3"}, u) != h {
			t.Fatal("holder depends on the order")
		}
	}
	for _, s := range slots {
		if count[s] < 850 || count[s] > 1150 {
			t.Errorf("%s holds %d of 4000", s, count[s])
		}
	}
}

func BenchmarkTickSteady(b *testing.B) {
	tb := New("a", DefaultLimits())
	tb.SetLive([]string{"a", "b", "c", "d"})
	tb.SetPlan(Plan{Pools: []Pool{testPool("m", "1", "", 0)}})
	var list []Upstream
	for i := range 343 {
		list = append(list, fencedUpstream(fmt.Sprint("u", i), "x"))
	}
	tb.SetUpstreams(list)
	now := time.Now()
	for _, u := range list {
		tb.RecordRead(now, u.Name, State{Model: "m", Version: "1"}, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		tb.Decide(now)
	}
}

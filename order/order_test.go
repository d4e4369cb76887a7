package order

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/selector"
)

// engine is a fake that accepts only orders with a number above its last one.
type engine struct {
	state State
	last  uint64
}

func (e *engine) order(d Decision) Result {
	if d.Fence <= e.last {
		return Stale
	}
	e.last = d.Fence
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

func pool(model, version, allowed string, minimum int) Pool {
	return Pool{Want: State{Model: model, Version: version}, Allowed: mustSelector(allowed), Min: minimum}
}

func fenced(name, tier string) Upstream {
	return Upstream{Name: name, Labels: map[string]string{"tier": tier}, ChecksFencing: true}
}

func unlimited() Limits {
	l := DefaultLimits()
	l.LoadsPerSecond, l.LoadBurst = 1000, 1000
	return l
}

// flight is an order on its way from a VM, with the engine's number when the VM read it.
type flight struct {
	vm       int
	decision Decision
	readLast uint64
}

// rivals are two VMs that both may believe to hold one engine.
type rivals struct {
	now      time.Time
	engine   engine
	vms      [2]*Table
	readLast [2]uint64
	paused   [2]bool
	flights  []flight
	version  int
	applied  int
}

func (w *rivals) plan() Plan {
	return Plan{Pools: []Pool{pool("m", fmt.Sprint(w.version), "", 0)}}
}

// tick runs one VM's decisions; orders stay in flight until delivered.
func (w *rivals) tick(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "vm")
	if w.paused[i] {
		t.Skip("paused")
	}
	if rapid.Bool().Draw(t, "learns") {
		w.vms[i].SetPlan(w.plan())
	}
	w.vms[i].SetLive([]string{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "live")})
	for _, d := range w.vms[i].Tick(w.now) {
		if d.Reason == ReasonRead {
			w.readLast[i] = w.engine.last
			w.vms[i].Observe(w.now, "u", w.engine.state, w.engine.last)
		}
		if d.Send() {
			w.flights = append(w.flights, flight{vm: i, decision: d, readLast: w.readLast[i]})
		}
	}
	w.checkOutstanding(t, i)
}

// checkOutstanding asserts that a VM has at most one order without a result that has not timed out.
func (w *rivals) checkOutstanding(t *rapid.T, i int) {
	n := 0
	for _, f := range w.flights {
		if f.vm == i && f.decision.number == w.vms[i].rows["u"].sent.number {
			n++
		}
	}
	if n > 1 {
		t.Fatalf("%d orders of one VM outstanding", n)
	}
}

// deliver hands one order to the engine, in any order, also if its VM is paused or superseded.
func (w *rivals) deliver(t *rapid.T) {
	if len(w.flights) == 0 {
		t.Skip("nothing in flight")
	}
	k := rapid.IntRange(0, len(w.flights)-1).Draw(t, "flight")
	f := w.flights[k]
	w.flights = append(w.flights[:k:k], w.flights[k+1:]...)
	before := w.engine.last
	result := w.engine.order(f.decision)
	if result == Accepted && before != f.readLast {
		t.Fatalf("stale order applied: read %d, engine was at %d", f.readLast, before)
	}
	if result == Accepted {
		w.applied++
	}
	if rapid.IntRange(0, 4).Draw(t, "lost") > 0 {
		w.vms[f.vm].Done(w.now, f.decision, result)
	}
}

// Guards against an order that is applied although another VM's order was applied after its VM last
// read the engine: with two holders, pauses, late and lost messages.
func TestStaleOrderNeverApplied(t *testing.T) {
	applied := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &rivals{now: time.Now()}
		for i, name := range []string{"a", "b"} {
			w.vms[i] = New(name, unlimited())
			w.vms[i].SetUpstreams([]Upstream{fenced("u", "x")})
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

// table returns a VM that holds all upstreams, each read at the returned time.
func table(t *testing.T, limits Limits, plan Plan, list []Upstream, states ...State) (*Table, time.Time) {
	t.Helper()
	tb := New("a", limits)
	tb.SetLive([]string{"a"})
	tb.SetPlan(plan)
	tb.SetUpstreams(list)
	now := time.Now()
	for i, u := range list {
		tb.Observe(now, u.Name, states[i], 7)
	}
	return tb, now
}

// Guards against orders to an upstream that cannot refuse an old one.
func TestNoFencing(t *testing.T) {
	u := Upstream{Name: "u"}
	tb, now := table(t, unlimited(), Plan{Pools: []Pool{pool("m", "2", "", 0)}}, []Upstream{u}, State{Model: "m", Version: "1"})
	for i, want := range []int{1, 0, 0} {
		list := tb.Tick(now.Add(time.Duration(i) * time.Hour))
		if len(list) != want {
			t.Fatalf("tick %d: %v", i, list)
		}
		if want == 1 && list[0].Reason != ReasonNoFencing {
			t.Errorf("reason %s", list[0].Reason)
		}
	}
}

// Guards against an order that is based on an old read, which costs a refusal and a backoff.
func TestReadFirst(t *testing.T) {
	tb, now := table(t, unlimited(), Plan{Pools: []Pool{pool("m", "2", "", 0)}}, []Upstream{fenced("u", "x")}, State{Model: "m", Version: "1"})
	now = now.Add(tb.limits.ReadFor)
	list := tb.Tick(now)
	if len(list) != 1 || list[0].Reason != ReasonRead || len(tb.Tick(now)) != 0 {
		t.Fatalf("decisions with an old read: %+v", list)
	}
	tb.Observe(now, "u", State{Model: "m", Version: "1"}, 41)
	list = tb.Tick(now)
	if len(list) != 1 || list[0].Fence != 42 {
		t.Fatalf("decisions after the read: %+v", list)
	}
	tb.Observe(now, "u", State{Model: "m", Version: "1"}, 50)
	tb.Done(now, list[0], Accepted)
	if list = tb.Tick(now); len(list) != 1 || list[0].Reason != ReasonRead {
		t.Errorf("decisions after an order: %+v", list)
	}
}

// Guards against a storm of orders to an engine that refuses them, and against a number that was not
// read again.
func TestBackoff(t *testing.T) {
	tb, now := table(t, unlimited(), Plan{Pools: []Pool{pool("m", "2", "", 0)}}, []Upstream{fenced("u", "x")}, State{Model: "m", Version: "1"})
	sent := 0
	end := now.Add(time.Hour)
	for ; now.Before(end); now = now.Add(time.Second) {
		for _, d := range tb.Tick(now) {
			switch {
			case d.Reason == ReasonRead:
				tb.Observe(now, "u", State{Model: "m", Version: "1"}, uint64(100+sent))
			case d.Send():
				if d.Fence != uint64(101+sent) && sent > 0 {
					t.Fatalf("fence %d after read of %d", d.Fence, 100+sent)
				}
				sent++
				tb.Done(now, d, Failed)
			}
		}
	}
	if sent < 10 || sent > 20 {
		t.Errorf("%d orders in an hour", sent)
	}
}

// Guards against a weight store that is overloaded by many loads at once, and against roles that wait
// for it.
func TestLoadRate(t *testing.T) {
	limits := DefaultLimits()
	var list []Upstream
	var states []State
	for i := range 10 {
		list = append(list, fenced(fmt.Sprint("u", i), "x"))
		states = append(states, State{Model: "m", Version: "1"})
	}
	tb, now := table(t, limits, Plan{Pools: []Pool{pool("m", "2", "", 0)}}, list, states...)
	send := func() (n int) {
		for _, d := range tb.Tick(now) {
			if d.Send() {
				n++
			}
		}
		return n
	}
	if n := send(); n != 2 {
		t.Errorf("%d loads at once, want the burst of 2", n)
	}
	tb.SetPlan(Plan{Pools: []Pool{{Want: State{Model: "m", Version: "1", Role: "prefill"}}}})
	if n := send(); n != 8 {
		t.Errorf("%d role orders, want 8", n)
	}
}

// Guards against an upstream that gets a model which its labels do not allow.
func TestDesired(t *testing.T) {
	plan := Plan{Pools: []Pool{pool("big", "1", "tier=a", 2), pool("small", "1", "", 1)}}
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
		got, ok := plan.desired(fenced("u", c.tier), State{Model: c.runs}, c.count)
		if !ok || got.Model != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Guards against empty upstreams that all get the first model of the plan.
func TestFillsPools(t *testing.T) {
	var list []Upstream
	for i := range 5 {
		list = append(list, fenced(fmt.Sprint("u", i), "x"))
	}
	plan := Plan{Pools: []Pool{pool("big", "1", "", 3), pool("small", "1", "", 2)}}
	tb, now := table(t, unlimited(), plan, list, make([]State, len(list))...)
	count := map[string]int{}
	for _, d := range tb.Tick(now) {
		count[d.To.Model]++
	}
	if count["big"] != 3 || count["small"] != 2 {
		t.Errorf("replicas %v", count)
	}
}

// Guards against holders that differ with the order of the list, and against an uneven spread.
func TestHolder(t *testing.T) {
	slots := []string{"vm1", "vm2", "vm3", "vm4"}
	count := map[string]int{}
	for i := range 4000 {
		u := fmt.Sprint("engine-", i)
		h := Holder(slots, u)
		count[h]++
		if Holder([]string{"vm4", "vm2", "vm1", "vm3"}, u) != h {
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
	tb.SetPlan(Plan{Pools: []Pool{pool("m", "1", "", 0)}})
	var list []Upstream
	for i := range 343 {
		list = append(list, fenced(fmt.Sprint("u", i), "x"))
	}
	tb.SetUpstreams(list)
	now := time.Now()
	for _, u := range list {
		tb.Observe(now, u.Name, State{Model: "m", Version: "1"}, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		tb.Tick(now)
	}
}

package gateway

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/order"
	"parsleyhatch/upstream"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

var orderStart = time.Unix(1_700_000_000, 0)

// newPlacementGateway returns a gateway that does not run, with one engine and one placement.
func newPlacementGateway(t *testing.T) *Gateway {
	t.Helper()
	g, err := New(Settings{
		Slot: "norte-1", Region: "norte", FailureDomain: "a", CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		AdminListen: "127.0.0.1:0", PlatformURL: "http://127.0.0.1:1", FleetKey: []byte("fleet key of the order tests, long enough"),
		DrainLimit: time.Second, MaxStreams: 1,
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	g.Now = func() time.Time { return orderStart }
	g.initOrders()
	s := &config.Snapshot{
		Upstreams:  map[string]*config.Upstream{"e": {Name: "e"}},
		Routes:     map[string]*config.Route{"chat": {Name: "chat", Kind: config.KindModel, Model: "redator"}},
		Placements: map[string]*config.Placement{"redator": {Name: "p", Model: "redator", Version: "v2", Adapters: []string{"x"}}},
	}
	g.snapshot.Store(s)
	return g
}

func report(at time.Duration, model, version string, fence uint64) engineReport {
	return engineReport{at: orderStart.Add(at), state: stateOf(model, version, []string{"x"}, ""), fence: fence, fenceRead: true}
}

// Guards against a delayed report that is older than an accepted order but looks more recent: the
// VM would route to a model that the engine no longer runs, or move a second replica.
func TestReportOlderThanAcceptedOrderIsIgnored(t *testing.T) {
	g := newPlacementGateway(t)
	g.recordReport("e", report(0, "redator", "v1", 4))
	d := order.Decision{Upstream: "e", Reason: order.ReasonIssue, To: stateOf("redator", "v2", []string{"x"}, ""), FencingNumber: 5}
	g.recordOrderResult(orderResult{decision: d, result: order.Accepted})
	g.recordReport("e", report(time.Millisecond, "redator", "v1", 4))
	if got := g.engines["e"].state.Version; got != "v2" {
		t.Errorf("a report with number 4 replaced the order with number 5: version %q", got)
	}
	g.recordReport("e", report(2*time.Millisecond, "redator", "v3", 6))
	if got := g.engines["e"].state.Version; got != "v3" {
		t.Errorf("a report with number 6 was ignored: version %q", got)
	}
}

// Guards against pairing a state with a fencing number that was read after it: an order could then
// replace a state which this VM has not seen.
func TestFencingNumberNotNewerThanState(t *testing.T) {
	var f fenceReads
	for i := range 40 {
		f.add("e", orderStart.Add(time.Duration(i)*time.Second), uint64(i))
	}
	if n, ok := f.before("e", orderStart.Add(37500*time.Millisecond)); !ok || n != 37 {
		t.Errorf("number %d, %t, want 37", n, ok)
	}
	if _, ok := f.before("e", orderStart.Add(-time.Second)); ok {
		t.Error("a number that was read later was used")
	}
	if len(f.rows["e"]) != fenceHistory {
		t.Errorf("%d numbers are kept, want %d", len(f.rows["e"]), fenceHistory)
	}
}

// Guards against routing to an engine whose last report names another version, lacks an adapter, or
// says that the engine is loading.
func TestLoadedRoutesRequireMatchingReport(t *testing.T) {
	g := newPlacementGateway(t)
	s := g.Snapshot()
	if list := g.loadedRoutes(s, "chat", "e"); list != nil {
		t.Error("an engine without a report is used")
	}
	cases := []struct {
		load upstream.Load
		used bool
	}{
		{upstream.Load{Model: "redator", Version: "v2", Adapters: []string{"y", "x"}}, true},
		{upstream.Load{Model: "redator", Version: "v2", Adapters: []string{"x"}, Loading: true}, false},
		{upstream.Load{Model: "redator", Version: "v1", Adapters: []string{"x"}}, false},
		{upstream.Load{Model: "redator", Version: "v2"}, false},
		{upstream.Load{Model: "balcao", Version: "v2", Adapters: []string{"x"}}, false},
	}
	for i, c := range cases {
		g.recordReport("e", reportOf(loadResult{name: "e", stateAt: orderStart.Add(time.Duration(i) * time.Second), load: c.load}))
		if used := g.loadedRoutes(s, "chat", "e") != nil; used != c.used {
			t.Errorf("%+v: used %t", c.load, used)
		}
	}
}

// Guards against endless orders to an engine that reports fields which the placement does not
// specify.
func TestSpecifiedStateOmitsUnspecifiedFields(t *testing.T) {
	s := &config.Snapshot{Placements: map[string]*config.Placement{"redator": {Model: "redator"}}}
	got := specifiedState(s, stateOf("redator", "v7", []string{"x"}, "prefill"))
	if !got.Equal(order.State{Model: "redator"}) {
		t.Errorf("state %+v", got)
	}
}

// BenchmarkDecide measures one round of decisions over the engines of a region at the target scale.
func BenchmarkDecide(b *testing.B) {
	s := &config.Snapshot{Upstreams: map[string]*config.Upstream{}, Placements: map[string]*config.Placement{}, Models: map[string]*config.Route{}}
	g := &Gateway{OrderLimits: order.DefaultLimits(), Self: vm.Identity{Slot: "norte-1"}}
	g.initOrders()
	g.ordered = map[string]bool{}
	var list []order.Upstream
	for i := range 343 {
		model, name := fmt.Sprintf("model-%d", i%8), fmt.Sprintf("engine-%d", i)
		s.Placements[model] = &config.Placement{Name: model, Model: model, Selector: "pool=gpu"}
		s.Upstreams[name] = &config.Upstream{Name: name, MaxBatch: 8}
		g.ordered[name] = true
		g.engines[name] = engineReport{at: orderStart, state: order.State{Model: model}, running: 4}
		list = append(list, order.Upstream{Name: name, Labels: map[string]string{"pool": "gpu"}, ChecksFencing: true})
	}
	g.orders.SetPlan(planOf(s))
	g.orders.SetUpstreams(list)
	g.orders.SetLive([]string{"norte-1"})
	for name, e := range g.engines {
		g.orders.RecordRead(orderStart, name, e.state, 1)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.orders.Decide(orderStart)
		g.orders.Rebalance(orderStart, g.demands(orderStart, s))
	}
}

// BenchmarkLoadMessage reports the size of the load reports of a region at the target scale.
func BenchmarkLoadMessage(b *testing.B) {
	size := 0
	for b.Loop() {
		size = 0
		for i := range 343 {
			l := vmwire.UpstreamLoad{Upstream: fmt.Sprintf("engine-%d", i), Running: 4, Age: 3, CachedTokens: 100000, Model: "redator", Version: "v12", Role: "", Fencing: 7, FencingRead: true, StateAge: 4}
			data, err := l.MarshalMsg(nil)
			if err != nil {
				b.Fatal(err)
			}
			size += len(data)
		}
	}
	b.ReportMetric(float64(size)/343, "B/upstream")
}

package choose

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"parsleyhatch/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const second = time.Second

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "1"})) }

func members(n int) []UpstreamConfig {
	list := make([]UpstreamConfig, n)
	for i := range list {
		list[i] = UpstreamConfig{Name: fmt.Sprintf("u%d", i), Routes: []string{"chat"}, MaxBatch: 16}
	}
	return list
}

func newTable(n int) *Table {
	t := New("norte", 1)
	t.Configure(start, members(n))
	t.SetProfile("chat", Profile{FirstToken: 200 * time.Millisecond, RunTime: 4 * second})
	return t
}

// pickCounts returns how often each upstream is picked if each request ends at once.
func pickCounts(v *View, now time.Time, r Request, picks int) map[string]int {
	got := map[string]int{}
	for range picks {
		if p, ok := v.ChooseUpstream(now, r); ok {
			got[p.Upstream.Name]++
		}
	}
	return got
}

// Guards against requests sent to upstreams that are draining, excluded, filtered out or of another
// route, also if they hold the prompt's prefix.
func TestUpstreamNeverPicksForbidden(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "n")
		table := newTable(n)
		list := members(n)
		for i := range list {
			list[i].Draining = rapid.Bool().Draw(rt, "draining")
			if rapid.IntRange(0, 3).Draw(rt, "other") == 0 {
				list[i].Routes = []string{"other"}
			}
		}
		table.Configure(start, list)
		request := Request{Route: "chat", Prefix: 7}
		forbidden := map[string]bool{}
		eligible := 0
		filtered := rapid.IntRange(0, n).Draw(rt, "filtered")
		for i, m := range list {
			u := table.Lookup(m.Name)
			table.ApplyCacheEvent(start, u, 7, true)
			if rapid.Bool().Draw(rt, "failed") {
				u.RecordFailure(start)
			}
			excluded := rapid.IntRange(0, 2).Draw(rt, "excluded") == 0
			if excluded {
				request.Exclude = append(request.Exclude, u)
			}
			forbidden[m.Name] = excluded || i == filtered || m.Draining || m.Routes[0] != "chat"
			if !forbidden[m.Name] {
				eligible++
			}
		}
		request.Filter = func(u *Upstream) bool { return u.Name != fmt.Sprintf("u%d", filtered) }
		v := table.BuildView(start)
		for range 50 {
			p, ok := v.ChooseUpstream(start, request)
			if ok != (eligible > 0) {
				rt.Fatalf("picked %v with %d eligible upstreams", ok, eligible)
			}
			if ok && forbidden[p.Upstream.Name] {
				rt.Fatalf("picked forbidden upstream %s", p.Upstream.Name)
			}
		}
	})
}

// Guards against requests sent to a failing replica while others work, and against a full share for
// it as soon as it returns.
func TestFailingAvoidedAndRamped(t *testing.T) {
	for _, n := range []int{3, 40} {
		table := newTable(n)
		u := table.Lookup("u0")
		u.RecordFailure(start)
		if got := pickCounts(table.BuildView(start), start, Request{Route: "chat"}, 2000)["u0"]; got != 0 {
			t.Errorf("%d replicas: the failing one was picked %d times", n, got)
		}
		early := start.Add(2 * second)
		if got := relativeLoad(table, early, n); got > 0.5 {
			t.Errorf("%d replicas: %.2f of the mean load 2 s after a failure", n, got)
		}
		late := start.Add(40 * second)
		if got := relativeLoad(table, late, n); got < 0.7 || got > 1.3 {
			t.Errorf("%d replicas: %.2f of the mean load after the ramp", n, got)
		}
	}
}

// relativeLoad fills the pool to half and returns u0's load relative to the mean.
func relativeLoad(table *Table, now time.Time, n int) float64 {
	var begun []RunningRequest
	for range 8 * n {
		v := table.BuildView(now)
		p, _ := v.ChooseUpstream(now, Request{Route: "chat"})
		r := p.Upstream.Begin()
		r.FirstToken()
		begun = append(begun, r)
	}
	got := float64(table.Lookup("u0").Outstanding()) / 8
	for i := range begun {
		begun[i].End()
	}
	return got
}

// Guards against refusing a request when all replicas are failing, since one of them may work
// again.
func TestLastResort(t *testing.T) {
	table := newTable(20)
	for i := range 20 {
		table.Lookup(fmt.Sprintf("u%d", i)).RecordFailure(start)
	}
	p, ok := table.BuildView(start).ChooseUpstream(start, Request{Route: "chat"})
	if !ok || p.Cause != LastResort {
		t.Fatalf("got %v %v, want a last resort", p.Cause, ok)
	}
}

// Guards against a held prefix that is ignored, and against requests that queue at its holder while
// other replicas are idle.
func TestAffinityOutweighedByLoad(t *testing.T) {
	table := newTable(40)
	u := table.Lookup("u7")
	v := table.BuildView(start)
	v.RecordPrefix(start, 99, u)
	request := Request{Route: "chat", Prefix: 99}
	if got := pickCounts(v, start, request, 100)["u7"]; got != 100 {
		t.Errorf("idle holder picked %d of 100 times", got)
	}
	var running []RunningRequest
	for range 12 {
		r := u.Begin()
		r.FirstToken()
		running = append(running, r)
	}
	if got := pickCounts(v, start, request, 100)["u7"]; got != 0 {
		t.Errorf("loaded holder picked %d of 100 times", got)
	}
	for i := range running {
		running[i].End()
	}
	table.ApplyCacheEvent(start.Add(second), u, 99, false)
	if got := pickCounts(v, start, request, 100)["u7"]; got > 20 {
		t.Errorf("holder that evicted the prefix picked %d of 100 times", got)
	}
}

// Guards against picking a removed upstream as the holder of a prefix after its id was reused.
func TestRemovedHolderNotPicked(t *testing.T) {
	table := newTable(10)
	old := table.Lookup("u3")
	table.BuildView(start).RecordPrefix(start, 5, old)
	list := members(10)
	list[3].Name = "new"
	table.Configure(start, list)
	for range 50 {
		p, _ := table.BuildView(start).ChooseUpstream(start, Request{Route: "chat", Prefix: 5})
		if p.Upstream == old {
			t.Fatal("picked a removed upstream")
		}
	}
}

// Guards against old load reports that count fully, and against a report that replaces a newer one.
func TestStaleReportDiscounted(t *testing.T) {
	u := newTable(1).Lookup("u0")
	u.RecordLoad(start, 10)
	halfLife := reportHalfLife(8 * second)
	estimatedLoad := func(age time.Duration) float64 { return u.estimatedLoad(start.Add(age).UnixNano(), halfLife) }
	if fresh, half, stale := estimatedLoad(0), estimatedLoad(halfLife), estimatedLoad(3*second); fresh != 10 || half != 5 || stale != 1 {
		t.Fatalf("estimates %v, %v, %v; want 10, 5, 1", fresh, half, stale)
	}
	u.RecordLoad(start.Add(-second), 50)
	if got := estimatedLoad(0); got != 10 {
		t.Fatalf("an older report was applied: estimate %v", got)
	}
}

// Guards against counting the own requests sent after a late report as requests of other VMs, and
// the reverse.
func TestLateReportSeparatesOwnRequests(t *testing.T) {
	table := newTable(1)
	u := table.Lookup("u0")
	for range 3 {
		u.Begin()
	}
	table.BuildView(start)
	for range 4 {
		u.Begin()
	}
	now := start.Add(second)
	table.BuildView(now)
	u.RecordLoad(start.Add(100*time.Millisecond), 8) // 3 own requests and 5 of other VMs.
	if got := u.estimatedLoad(start.Add(100*time.Millisecond).UnixNano(), second); got != 12 {
		t.Errorf("estimate %v, want 12: 7 own requests and 5 of other VMs", got)
	}
}

// Guards against counters that are decremented twice by repeated calls of FirstToken or End.
func TestRunningCountsOnce(t *testing.T) {
	u := newTable(1).Lookup("u0")
	r := u.Begin()
	r.FirstToken()
	r.FirstToken()
	r.End()
	r.End()
	if u.Outstanding() != 0 || u.pending.Load() != 0 {
		t.Errorf("%d outstanding, %d pending after the end", u.Outstanding(), u.pending.Load())
	}
}

// Guards against a thundering herd: VMs that share a stale report all send to the replica that had
// the least load in it.
func TestSharedStaleReportSpreadsLoad(t *testing.T) {
	const vms, replicas = 20, 90
	got := map[string]int{}
	for vm := range vms {
		table := New("norte", uint64(vm))
		table.Configure(start, members(replicas))
		for i := range replicas {
			table.Lookup(fmt.Sprintf("u%d", i)).RecordLoad(start, int64(8+i%3))
		}
		table.Lookup("u0").RecordLoad(start, 0)
		v := table.BuildView(start)
		for range 30 {
			p, _ := v.ChooseUpstream(start, Request{Route: "chat"})
			p.Upstream.Begin()
			got[p.Upstream.Name]++
		}
	}
	if got["u0"] > 120 {
		t.Errorf("%d of 600 requests were sent to one replica", got["u0"])
	}
}

// Guards against data races between traffic and the control loop, and against lost counts.
func TestConcurrentUse(t *testing.T) {
	table := newTable(50)
	v := table.BuildView(start)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 500 {
				p, _ := v.ChooseUpstream(start, Request{Route: "chat", Prefix: uint64(g*i + 1)})
				r := p.Upstream.Begin()
				v.RecordPrefix(start, uint64(g*i+1), p.Upstream)
				r.End()
			}
		}()
	}
	for i := range 50 {
		table.Configure(start, members(50-i%2))
		table.Lookup("u1").RecordLoad(start.Add(time.Duration(i)), 3)
		table.BuildView(start)
	}
	wg.Wait()
	for i := range 49 {
		if n := table.Lookup(fmt.Sprintf("u%d", i)).Outstanding(); n != 0 {
			t.Errorf("u%d has %d outstanding", i, n)
		}
	}
}

// regionTable returns a table with the own region norte, which has 3 replicas, and links to centro
// and sul.
func regionTable(load int64, summary time.Time) *Table {
	table := newTable(3)
	for i := range 3 {
		table.Lookup(fmt.Sprintf("u%d", i)).RecordLoad(start, load)
	}
	for _, r := range []string{"centro", "sul"} {
		table.SetLink(start, Link{Region: r, OneWay: 55 * time.Millisecond, BytesPerSecond: 1e6, VMs: 4})
		free := Capacity{Slots: 48, Outstanding: 4, Profile: Profile{FirstToken: 200 * time.Millisecond, RunTime: 4 * second}}
		table.RecordSummary(summary, r, map[string]Capacity{"chat": free})
	}
	return table
}

// Guards against unintended changes of region decisions and of the texts that operators see.
func TestRegionDecisions(t *testing.T) {
	all := []string{"centro", "norte", "sul"}
	cases := []struct {
		name   string
		load   int64
		age    time.Duration
		change func(*Table)
		r      Request
	}{
		{name: "idle", r: Request{Allowed: all}},
		{name: "most slots taken", load: 11, r: Request{Allowed: all}},
		{name: "all slots taken", load: 16, r: Request{Allowed: all}},
		{name: "long queue", load: 40, r: Request{Allowed: all}},
		{name: "long queue, home-bound", load: 40, r: Request{Allowed: []string{"norte"}}},
		{name: "long queue, stale summaries", load: 40, age: 5 * second, r: Request{Allowed: all}},
		{name: "long queue, large body", load: 40, r: Request{Allowed: all, BodyBytes: 1 << 20}},
		{name: "long queue, only sul allowed too", load: 40, r: Request{Allowed: []string{"norte", "sul"}}},
		{name: "own not allowed", r: Request{Allowed: []string{"sul"}}},
		{name: "own not allowed, stale", age: 6 * second, r: Request{Allowed: []string{"sul"}}},
		{name: "own not allowed, body above the budget", r: Request{Allowed: []string{"sul"}, BodyBytes: 1 << 20}},
		{name: "forwarded", load: 40, r: Request{Allowed: all, Forwarded: true}},
		{name: "forwarded, not allowed", r: Request{Allowed: []string{"sul"}, Forwarded: true}},
		{name: "no replicas", change: func(t *Table) { t.Configure(start, nil) }, r: Request{Allowed: all}},
		{name: "all failing", change: failAll, r: Request{Allowed: all}},
		{name: "all failing, stale", age: 6 * second, change: failAll, r: Request{Allowed: all}},
	}
	var out bytes.Buffer
	for _, c := range cases {
		table := regionTable(c.load, start.Add(-c.age))
		if c.change != nil {
			c.change(table)
		}
		c.r.Route = "chat"
		region, why := table.BuildView(start).ChooseRegion(start, c.r)
		fmt.Fprintf(&out, "%-40s %-8q %s\n", c.name, region, why)
	}
	goldie.New(t).Assert(t, "regions", out.Bytes())
}

func failAll(t *Table) {
	for _, u := range t.upstreams {
		u.RecordFailure(start)
	}
}

// Guards against exceeding the link budget over all VMs, and against choosing a region that is not
// allowed.
func TestRegionBudgetAndBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := regionTable(80, start)
		allowed := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"norte", "centro", "sul"}), func(s string) string { return s }).Draw(rt, "allowed")
		now := start
		sent := map[string]int64{}
		v := table.BuildView(now)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond)
			body := rapid.Int64Range(1, 20000).Draw(rt, "body")
			region, why := v.ChooseRegion(now, Request{Route: "chat", Allowed: allowed, BodyBytes: body})
			if region != "" && !slices.Contains(allowed, region) {
				rt.Fatalf("region %s not in %v (%v)", region, allowed, why)
			}
			if region != "norte" {
				sent[region] += body
			}
		}
		bound := int64((0.5 + now.Sub(start).Seconds()) * 0.5 * 1e6 / 4)
		for _, r := range []string{"centro", "sul"} {
			if sent[r] > bound+1 {
				rt.Fatalf("%d bytes sent to %s, budget %d", sent[r], r, bound)
			}
		}
	})
}

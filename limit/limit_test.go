package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/config"
)

// filled returns a table with one share, authorised and full at the returned time.
func filled(slot string, rate float64, burst int64) (*Table, time.Time) {
	t := New(slot)
	t.Begin(epoch, 1)
	t.Configure(epoch, []Share{{Workspace: ws, Slot: slot, Rate: rate, Burst: burst, TotalRate: testRate, TotalBurst: testBurst}})
	return t, run(t, epoch, IncreaseDelay+time.Minute)
}

// run authorises and ticks a table each 100 ms.
func run(t *Table, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		t.Authorise(now, now, now.Add(MaxLease))
		now = now.Add(100 * time.Millisecond)
		t.Tick(now)
	}
	t.Authorise(now, now, now.Add(MaxLease))
	return now
}

func take(t *testing.T, table *Table, now time.Time, tokens int64) Charge {
	t.Helper()
	c, v := table.Take(now, ws, tokens)
	if !v.Admitted {
		t.Fatalf("Take(%d) = %+v, want admitted", tokens, v)
	}
	return c
}

// Guards against settlements that give back more or less than an ideal bucket charged with the
// actual use would hold, in any order of settlement.
func TestSettleMatchesIdeal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 2))
		table, now := filled("a", testRate, testBurst)
		start := now
		var admitted []admission
		var open []openCharge
		for range 200 {
			now = now.Add(time.Duration(rng.IntN(800)) * time.Millisecond)
			table.Authorise(now, now, now.Add(MaxLease))
			if n := 1 + rng.Int64N(300); rng.IntN(2) == 0 && len(open) < maxSegments {
				if c, v := table.Take(now, ws, n); v.Admitted {
					admitted = append(admitted, admission{at: now, used: n})
					open = append(open, openCharge{c: c, at: len(admitted) - 1})
				}
			} else if len(open) > 0 {
				i := rng.IntN(len(open))
				used := rng.Int64N(open[i].c.Tokens + 1)
				table.Settle(now, open[i].c, used)
				admitted[open[i].at].used = used
				open = append(open[:i], open[i+1:]...)
			}
			ideal, at := float64(testBurst), start
			for _, a := range append(admitted, admission{at: now}) {
				ideal = math.Min(testBurst, ideal+testRate*a.at.Sub(at).Seconds()) - float64(a.used)
				at = a.at
			}
			table.sync(table.buckets[ws], now)
			if got := table.buckets[ws].level; math.Abs(got-ideal) > 1e-3 {
				rt.Fatalf("level %.3f, ideal %.3f", got, ideal)
			}
		}
	})
}

// Guards against a charge settled twice, which would give tokens back twice.
func TestSettleTwiceIsBroken(t *testing.T) {
	table, now := filled("a", testRate, testBurst)
	c := take(t, table, now, 10)
	table.Return(now, c)
	defer func() {
		if recover() == nil {
			t.Error("second settlement was not detected")
		}
	}()
	table.Return(now, c)
}

// Guards against requests above one slot's cap, or at a slot without a share, being refused
// although the holders have the tokens.
func TestCollect(t *testing.T) {
	for _, slot := range []string{"a1", "c"} {
		burst := map[string]int64{"a1": 300, "c": 0}[slot]
		table, _ := filled(slot, float64(burst)/6, burst)
		first, now := filled("a2", 50, 300)
		second, _ := filled("a3", 50, 300)
		missing := int64(0)
		for _, holder := range []*Table{first, second} {
			_, v := table.Take(now, ws, 500)
			if v.Admitted {
				t.Fatalf("%s: admitted with too few tokens", slot)
			}
			if v.Never {
				t.Fatalf("%s: Never for a request below the burst", slot)
			}
			missing = v.Missing
			a, _ := table.Ask(now, ws, missing)
			if !table.Accept(now, holder.Give(now, a)) {
				t.Fatalf("%s: grant not applied", slot)
			}
			if _, v = table.Take(now, ws, 500); v.Admitted {
				missing = 0
				break
			}
		}
		if missing != 0 {
			t.Errorf("%s: not admitted with the tokens of all holders", slot)
		}
	}
}

// Guards against grants that are applied twice, late, or above the requested amount.
func TestAcceptOnce(t *testing.T) {
	table, now := filled("c", 0, 0)
	holder, _ := filled("a1", 100, 600)
	a, _ := table.Ask(now, ws, 100)
	g := holder.Give(now, a)
	if table.Accept(now, TokenGive{ID: g.ID, Workspace: ws, Tokens: 101}) {
		t.Error("a grant above the requested amount was applied")
	}
	a, _ = table.Ask(now, ws, 100)
	g = holder.Give(now, a)
	if !table.Accept(now, g) || table.Accept(now, g) {
		t.Error("a grant was not applied exactly once")
	}
	a, _ = table.Ask(now, ws, 100)
	if table.Accept(now.Add(AskLife), holder.Give(now, a)) {
		t.Error("a late grant was applied")
	}
	if _, v := table.Take(now.Add(AskLife), ws, 1); v.Admitted {
		t.Error("a loan was used after its end")
	}
}

// Guards against tokens that survive a pause, a lapse of authority, or a removed share.
func TestNoTokensWithoutAuthority(t *testing.T) {
	table, now := filled("a", testRate, testBurst)
	if _, v := table.Take(now.Add(MaxLease), ws, 1); v.Admitted {
		t.Error("admitted after the authorised interval")
	}
	table, now = filled("a", testRate, testBurst)
	c := take(t, table, now, 100)
	table.Discard(now)
	table.Authorise(now, now, now.Add(MaxLease))
	table.Return(now, c)
	if _, v := table.Take(now, ws, 1); v.Admitted {
		t.Error("admitted from tokens of before Discard")
	}
	table.Configure(now, nil)
	if _, v := table.Take(now.Add(time.Second), ws, 1); !v.Never {
		t.Error("a removed share was not reported as Never")
	}
}

// Guards against wrong hints to a refused caller.
func TestRefusal(t *testing.T) {
	table, now := filled("a", 50, 300)
	take(t, table, now, 300)
	cases := []struct {
		tokens int64
		want   Verdict
	}{
		{100, Verdict{Missing: 100, Wait: 2 * time.Second}},
		{400, Verdict{Missing: 400, Wait: 4 * time.Second}},
		{601, Verdict{Missing: 601, Wait: 6010 * time.Millisecond, Never: true}},
	}
	for _, c := range cases {
		if _, got := table.Take(now, ws, c.tokens); got != c.want {
			t.Errorf("Take(%d) = %+v, want %+v", c.tokens, got, c.want)
		}
	}
}

// Guards against divided shares that add up to more than the whole, two holders in one failure
// domain, and slots that disagree on the holders.
func TestShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := config.Workspace{Name: rapid.StringN(1, 8, 8).Draw(rt, "name"), Home: "r0", RegionShares: map[string]float64{}}
		w.Rate, w.Burst = rapid.Int64Range(1, 1e9).Draw(rt, "rate"), rapid.Int64Range(1, 1e12).Draw(rt, "burst")
		regions := rapid.IntRange(1, 5).Draw(rt, "regions")
		left := 1.0
		for i := range regions {
			f := rapid.Float64Range(0, left).Draw(rt, "share")
			w.RegionShares[fmt.Sprint("r", i)] = f
			left -= f
		}
		var vms []config.VM
		for i := range rapid.IntRange(1, 20).Draw(rt, "vms") {
			r := rapid.IntRange(0, regions-1).Draw(rt, "region")
			vms = append(vms, config.VM{Name: fmt.Sprint("vm", i), Region: fmt.Sprint("r", r), FailureDomain: fmt.Sprint(r, "-", i%3)})
		}
		var burst int64
		var rate float64
		holders, domains := map[string]int{}, map[string]bool{}
		for _, vm := range vms {
			s := Shares([]config.Workspace{w}, vms, vm.Name)[0]
			burst, rate = burst+s.Burst, rate+s.Rate
			if s.Burst > 0 || s.Rate > 0 {
				if !slices.Contains(Holders(w.Name, vm.Region, vms), vm.Name) {
					rt.Fatalf("%s has a share but is no holder", vm.Name)
				}
				holders[vm.Region]++
				if holders[vm.Region] > 2 || domains[vm.FailureDomain] {
					rt.Fatalf("too many holders in %s", vm.FailureDomain)
				}
				domains[vm.FailureDomain] = true
			}
			if s.Burst > s.TotalBurst || s.TotalBurst > w.Burst {
				rt.Fatalf("share %+v of burst %d", s, w.Burst)
			}
		}
		if burst > w.Burst || rate > float64(w.Rate)*(1+1e-9) {
			rt.Fatalf("shares add up to burst %d of %d, rate %f of %d", burst, w.Burst, rate, w.Rate)
		}
	})
}

// Reports how many requests are refused that one ideal bucket admits, for callers at the holders
// and at any VM. It fails only if the slots admit more tokens than the ideal bucket could.
func TestFalseRefusals(t *testing.T) {
	for _, steered := range []bool{true, false} {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
			refused, ideal, n := compare(t, steered, load)
			t.Logf("steered %v, load %.2f of the rate: %d requests, %d refused, ideal bucket %d", steered, load, n, refused, ideal)
		}
	}
}

func compare(t *testing.T, steered bool, load float64) (refused, idealRefused, n int) {
	rng := rand.New(rand.NewPCG(3, 3))
	tables := map[string]*Table{}
	var now time.Time
	for _, vm := range testVMs[:3] {
		s := Shares([]config.Workspace{{Name: ws, Home: "a", Rate: testRate, Burst: testBurst}}, testVMs, vm.Name)[0]
		tables[vm.Name], now = filled(vm.Name, s.Rate, s.Burst)
	}
	holders := Holders(ws, "a", testVMs)
	level, admitted, start := float64(testBurst), int64(0), now
	for n = 0; n < 5000; n++ {
		gap := time.Duration(rng.ExpFloat64() * 20 / (load * testRate) * float64(time.Second))
		level = math.Min(testBurst, level+testRate*gap.Seconds())
		for end := now.Add(gap); now.Before(end); {
			now = earlier(end, now.Add(100*time.Millisecond))
			for _, table := range tables {
				table.Tick(now)
				table.Authorise(now, now, now.Add(MaxLease))
			}
		}
		tokens := 1 + rng.Int64N(39)
		if level >= float64(tokens) {
			level -= float64(tokens)
		} else {
			idealRefused++
		}
		at := testVMs[rng.IntN(3)].Name
		if steered {
			at = holders[0]
		}
		if collect(tables, holders, at, now, tokens) {
			admitted += tokens
		} else {
			refused++
		}
	}
	if most := testBurst + testRate*now.Sub(start).Seconds(); float64(admitted) > most {
		t.Errorf("admitted %d tokens, more than %f", admitted, most)
	}
	return refused, idealRefused, n
}

// collect takes tokens at a slot, asking each holder for what is missing, and balances holders.
func collect(tables map[string]*Table, holders []string, at string, now time.Time, tokens int64) bool {
	p := tables[at]
	for _, h := range holders {
		if !slices.Contains(holders, at) || h == at {
			continue
		}
		if a, ok := p.Balance(now, ws); ok {
			p.Accept(now, tables[h].Give(now, a))
		}
	}
	_, v := p.Take(now, ws, tokens)
	for _, h := range holders {
		if v.Admitted || h == at {
			continue
		}
		if a, ok := p.Ask(now, ws, v.Missing); ok {
			p.Accept(now, tables[h].Give(now, a))
		}
		_, v = p.Take(now, ws, tokens)
	}
	return v.Admitted
}

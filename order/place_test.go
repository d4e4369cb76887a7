package order

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simRegion is a region of fake engines with two models and one placing VM.
type simRegion struct {
	now     time.Time
	table   *Table
	engines map[string]*engine
	labels  map[string]string
	moves   []Decision
	movedAt []time.Time
}

// newSimRegion returns a region with six replicas of "long", of which four may run "short", and two
// replicas of "short".
func newSimRegion() *simRegion {
	c := &simRegion{now: time.Now(), table: New("a", unlimitedLoads()), engines: map[string]*engine{}, labels: map[string]string{}}
	var list []Upstream
	for i := range 8 {
		model, tier := "long", "both"
		if i < 2 {
			tier = "longOnly"
		}
		if i >= 6 {
			model = "short"
		}
		u := fencedUpstream(fmt.Sprint("u", i), tier)
		list = append(list, u)
		c.labels[u.Name] = tier
		c.engines[u.Name] = &engine{state: State{Model: model, Version: "1"}}
	}
	c.table.SetLive([]string{"a"})
	c.table.SetPlan(Plan{Pools: []Pool{testPool("long", "1", "", 2), testPool("short", "1", "tier=both", 1)}})
	c.table.SetUpstreams(list)
	return c
}

// step advances the time by one second: the watcher reads the engines, then the VM decides.
func (c *simRegion) step(long, short time.Duration) {
	c.now = c.now.Add(time.Second)
	count := map[string]int{}
	for name, e := range c.engines {
		c.table.RecordRead(c.now, name, e.state, e.lastFence)
		count[e.state.Model]++
	}
	demands := []Demand{
		{Model: "long", Wait: long, Running: count["long"], Capacity: 8 * count["long"]},
		{Model: "short", Wait: short, Running: count["short"], Capacity: 8 * count["short"]},
	}
	if d, ok := c.table.Rebalance(c.now, demands); ok && d.ShouldSend() {
		c.moves = append(c.moves, d)
		c.movedAt = append(c.movedAt, c.now)
		c.table.RecordResult(c.now, d, c.engines[d.Upstream].apply(d))
	}
	for _, d := range c.table.Decide(c.now) {
		if d.ShouldSend() {
			c.table.RecordResult(c.now, d, c.engines[d.Upstream].apply(d))
		}
	}
}

// Guards against a model that stays short of replicas, against moves of replicas whose labels
// forbid it, and against moves that follow each other too closely.
func TestPlaceUnderPressure(t *testing.T) {
	c := newSimRegion()
	for range 600 {
		c.step(0, 5*time.Second)
	}
	if len(c.moves) != 4 {
		t.Fatalf("%d moves, want the 4 replicas that the labels allow", len(c.moves))
	}
	for i, d := range c.moves {
		if c.labels[d.Upstream] != "both" || d.To.Model != "short" {
			t.Errorf("move %+v", d)
		}
		if i > 0 && c.movedAt[i].Sub(c.movedAt[i-1]) < c.table.limits.MinMoveInterval {
			t.Errorf("moves %d and %d are too close", i-1, i)
		}
	}
}

// Guards against a model that is left with fewer than its minimum of replicas.
func TestPlaceKeepsMin(t *testing.T) {
	c := newSimRegion()
	c.table.plan.Pools[0].MinReplicas = 4
	for range 600 {
		c.step(0, 5*time.Second)
	}
	if len(c.moves) != 2 {
		t.Errorf("%d moves, want 2 of 6 replicas with at least 4", len(c.moves))
	}
}

// Guards against a move during a short peak, within the hysteresis, or from a model that is itself
// busy.
func TestPlaceMakesNoNeedlessMove(t *testing.T) {
	cases := map[string]func(i int) (long, short time.Duration){
		"short peak":    func(i int) (long, short time.Duration) { return 0, time.Duration(i%25) / 12 * time.Second },
		"below high":    func(int) (long, short time.Duration) { return 0, 900 * time.Millisecond },
		"donor is busy": func(int) (long, short time.Duration) { return 300 * time.Millisecond, 5 * time.Second },
	}
	for name, load := range cases {
		c := newSimRegion()
		for i := range 1200 {
			c.step(load(i))
		}
		if len(c.moves) != 0 {
			t.Errorf("%s: %d moves", name, len(c.moves))
		}
	}
}

// Guards against replicas that move back and forth when the demand keeps changing between the
// models.
func TestPlaceNoFlapping(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 2))
		c := newSimRegion()
		var long, short time.Duration
		for i := range 4 * 3600 {
			if i%90 == 0 {
				long, short = 0, 5*time.Second
				if rng.IntN(2) == 0 {
					long, short = short, long
				}
			}
			c.step(long, short)
		}
		last := map[string]time.Time{}
		for i, d := range c.moves {
			if at, ok := last[d.Upstream]; ok && c.movedAt[i].Sub(at) < c.table.limits.MinDwell {
				t.Fatalf("seed %d: %s moved again after %v", seed, d.Upstream, c.movedAt[i].Sub(at))
			}
			last[d.Upstream] = c.movedAt[i]
		}
		if len(c.moves) == 0 || len(c.moves) > 6*4*6 {
			t.Errorf("seed %d: %d moves in 4 h", seed, len(c.moves))
		}
	}
}

// Guards against two VMs that place replicas at the same time.
func TestPlaceOneVM(t *testing.T) {
	placing := 0
	for _, name := range []string{"a", "b", "c"} {
		c := newSimRegion()
		c.table.self = name
		c.table.SetLive([]string{"a", "b", "c"})
		for range 100 {
			c.step(0, 5*time.Second)
		}
		if len(c.moves) > 0 {
			placing++
		}
	}
	if placing != 1 {
		t.Errorf("%d VMs placed replicas", placing)
	}
}

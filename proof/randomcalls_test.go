package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"parsleyhatch/standin"
)

const (
	// campaignTries bounds the sends of one call.
	campaignTries = 3
	// campaignPause is the wait of a caller before it sends a call again.
	campaignPause = 200 * time.Millisecond
)

// campaign counts what callers were told of their calls in the end, by kind of key and outcome.
type campaign struct {
	f   *callFleet
	vms int

	mu     sync.Mutex
	counts map[string]map[string]int
}

// runCaller makes calls until stop is closed, and checks every answer.
func (c *campaign) runCaller(seed uint64, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		kind, key := "opaque", fmt.Sprintf("random-%d-%d", seed, n)
		if rng.IntN(2) == 0 {
			kind, key = "ticket", c.f.tryTicket(c.slot(rng))
		}
		if key != "" {
			c.add(kind, c.send(rng, key))
		}
	}
}

func (c *campaign) slot(rng *rand.Rand) string { return fmt.Sprintf("norte-%d", rng.IntN(c.vms)+1) }

// send sends a call until its answer is known, at any VM each time.
func (c *campaign) send(rng *rand.Rand, key string) string {
	outcome := ""
	for range campaignTries {
		a := c.f.call(context.Background(), c.slot(rng), key, "deposit")
		c.f.check("random call", key, a)
		if outcome = a.outcome(); outcome == "ok" {
			return outcome
		}
		time.Sleep(campaignPause)
	}
	return outcome
}

func (c *campaign) add(kind, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[kind] == nil {
		c.counts[kind] = map[string]int{}
	}
	c.counts[kind][outcome]++
}

// run lets callers call while the failures happen, and checks all executions at the end.
func (c *campaign) run(seed uint64, callers int, failures func()) {
	c.counts = map[string]map[string]int{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() { c.runCaller(seed*1000+uint64(i), stop) })
	}
	failures()
	close(stop)
	wait.Wait()
	for _, s := range c.f.services {
		for _, e := range s.Executions() {
			if n := c.f.count(e.Key, ""); n != 1 {
				c.f.t.Errorf("seed %d: key %s ran %d times", seed, e.Key, n)
			}
		}
	}
}

// failures are the failures of a campaign.
func (c *campaign) failures(wan *standin.WAN) map[string]func(slot, other string) {
	return map[string]func(slot, other string){
		"none":    func(string, string) { time.Sleep(3 * time.Second) },
		"kill":    func(slot, _ string) { c.f.kill(slot); c.f.succeed(slot) },
		"planned": func(slot, _ string) { c.f.stopGracefully(slot); c.f.succeed(slot) },
		"cut one way": func(slot, other string) {
			wan.Cut(slot, other)
			time.Sleep(3 * time.Second)
			wan.Heal(slot, other)
		},
		"cut both": func(slot, other string) {
			wan.CutBoth(slot, other)
			time.Sleep(3 * time.Second)
			wan.HealBoth(slot, other)
		},
		"pause before the first byte": func(slot, _ string) {
			g := c.f.holdCalls(slot, true)
			time.Sleep(2 * time.Second)
			c.f.release(slot, g)
		},
		"pause, killed and replaced": func(slot, _ string) {
			g := c.f.holdCalls(slot, true)
			time.Sleep(500 * time.Millisecond)
			c.f.kill(slot)
			c.f.succeed(slot)
			c.f.release(slot, g)
		},
		"service crash": func(string, string) {
			_ = c.f.services[0].SetMode(standin.ServiceCrash, 3)
			time.Sleep(300 * time.Millisecond)
		},
	}
}

var failureNames = []string{"none", "kill", "planned", "cut one way", "cut both", "pause before the first byte", "pause, killed and replaced", "service crash"}

// Guards against a second run and a false notRun or ran when failures mix. PROOF_LONG is the duration
// of a long run, for example 10m.
func TestRandomCalls(t *testing.T) {
	t.Parallel()
	const seed = 16011
	f, wan := startCutFleet(t, 3)
	c := &campaign{f: f, vms: 3}
	long, _ := time.ParseDuration(os.Getenv("PROOF_LONG"))
	until := time.Now().Add(long)
	rng := rand.New(rand.NewPCG(seed, 2))
	failures := c.failures(wan)
	c.run(seed, 6, func() {
		for n := 0; n < 5 || time.Now().Before(until); n++ {
			a, b := rng.IntN(3), rng.IntN(2)
			name := failureNames[1+rng.IntN(len(failureNames)-1)]
			slot, other := fmt.Sprintf("norte-%d", a+1), fmt.Sprintf("norte-%d", (a+b+1)%3+1)
			t.Logf("failure %d: %s at %s, towards %s", n, name, slot, other)
			failures[name](slot, other)
		}
	})
	t.Logf("outcomes: %v", c.counts)
}

// BenchmarkCallCost prints the share of calls that end without an answer under each failure.
func BenchmarkCallCost(b *testing.B) {
	for _, name := range failureNames {
		b.Run(name, func(b *testing.B) {
			for n := range b.N {
				f, wan := startCutFleet(b, 3)
				c := &campaign{f: f, vms: 3}
				c.run(uint64(n+1), 8, func() { c.failures(wan)[name]("norte-2", "norte-1") })
				for _, kind := range []string{"ticket", "opaque"} {
					o := c.counts[kind]
					total := o["ok"] + o["ran"] + o["notRun"] + o["unknown"]
					b.Logf("| %s | %s | %d | %d | %d | %.1f%% |", name, kind, total, o["notRun"], o["unknown"], 100*float64(total-o["ok"])/float64(max(total, 1)))
				}
				f.stopAll()
			}
		})
	}
}

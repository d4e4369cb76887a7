package proof

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/standin"
)

// poisonRun is what one seed of the poison test measured.
type poisonRun struct {
	lost      int
	innocents int
	whole     int
}

// Guards against a request that crashes more than three upstreams, against resends that reach an
// upstream after the quarantine, and against innocent requests of the same batch that do not complete.
func TestPoisonedRequest(t *testing.T) {
	t.Parallel()
	for seed := range 4 {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			testPoison(t, uint64(seed), 0)
		})
	}
}

// Guards against a request that crashes upstreams and looks like a lost failure domain, because the other VM learns late
// that it is a suspect.
func TestPoisonedRequestWithLateMessages(t *testing.T) {
	t.Parallel()
	for seed := range 4 {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			testPoison(t, uint64(seed), 60*time.Millisecond)
		})
	}
}

func testPoison(t *testing.T, seed uint64, messageDelay time.Duration) {
	r := runPoison(t, seed, messageDelay)
	t.Logf("seed %d: upstreams lost %d, innocent answers whole %d of %d", seed, r.lost, r.whole, r.innocents)
	if r.lost > 3 || r.whole != r.innocents {
		t.Errorf("seed %d: upstreams lost %d, want at most 3; innocent answers whole %d of %d", seed, r.lost, r.whole, r.innocents)
	}
}

// runPoison sends a request that crashes upstreams beside innocent ones. messageDelay is the delay of messages between VMs.
func runPoison(t *testing.T, seed uint64, messageDelay time.Duration) poisonRun {
	n := &vmNetwork{t: t, oneWay: messageDelay}
	f := startFleet(t, fleetOptions{regions: []string{"norte"}, vmsPerRegion: 2, engines: 6, edit: n.place, prepare: n.connect, engine: standin.EngineSettings{
		TokensPerSecond: 200, MaxBatch: 8, RestartTime: 100 * time.Millisecond, Seed: seed * 100,
	}})
	r := poisonRun{innocents: 12}
	var wait sync.WaitGroup
	var whole atomic.Int32
	started := make(chan struct{}, r.innocents)
	for i := range r.innocents {
		prompt := fmt.Sprintf("innocent %d of %d", i, seed)
		vms := []string{"norte-1", "norte-2"}
		wait.Go(func() {
			a := f.resume(chatOptions{key: keyOf("beta"), model: "redator", prompt: prompt, maxTokens: 300, onChunk: func(n int) {
				if n == 3 {
					started <- struct{}{}
				}
			}}, vms[i%2], vms[(i+1)%2])
			if a.done && a.text == want("redator", prompt, 300) {
				whole.Add(1)
			}
		})
	}
	for range r.innocents {
		<-started
	}
	f.resendPoison(t, fmt.Sprintf("a %s request of %d", poisonWord, seed))
	wait.Wait()
	r.whole = int(whole.Load())
	r.lost = f.crashes()
	return r
}

// resendPoison sends the request at alternating VMs until it is final, and then more often.
func (f *fleet) resendPoison(t *testing.T, prompt string) {
	vms := []string{"norte-1", "norte-2"}
	tries := 0
	send := func() answer {
		a, _ := f.chat(chatOptions{vm: vms[tries%2], key: keyOf("alpha"), model: "redator", prompt: prompt, maxTokens: 50})
		tries++
		return a
	}
	f.waitFor("final answer to the poisoned request", func() bool { return send().code == "poisoned" })
	f.waitFor("quarantine at both vms", func() bool {
		first, second := send(), send()
		return first.code == "poisoned" && second.code == "poisoned"
	})
	before := f.crashes()
	for range 10 {
		if a := send(); a.code != "poisoned" {
			t.Errorf("resend after the quarantine: code %q", a.code)
		}
	}
	if after := f.crashes(); after != before {
		t.Errorf("resends after the quarantine crashed %d upstreams", after-before)
	}
}

func (f *fleet) crashes() int {
	total := 0
	for _, e := range f.engines {
		total += e.Crashes()
	}
	return total
}

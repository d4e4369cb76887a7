package retry

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/fixedseed"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "1"})) }

// Guards against more retries than a tenth of the first attempts plus the saved retries, in any order of
// events.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New(1, []string{"norte", "sul"})
		now := start
		firsts, retries := map[string]int{}, map[string]int{}
		for range 400 {
			region := rapid.SampledFrom([]string{"norte", "sul"}).Draw(rt, "region")
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				b.RegionRecovered(now, region)
			case 1, 2, 3, 4:
				b.RecordFirst(now, region)
				firsts[region]++
			default:
				c := Call{Idempotent: true, Attempt: 1, Region: region, Kind: Kind(rapid.IntRange(0, 1).Draw(rt, "kind"))}
				if b.Allow(now, c) == Allowed {
					retries[region]++
				}
			}
			if float64(retries[region]) > maxSavedRetries+RetryRatio*float64(firsts[region])+1e-6 {
				rt.Fatalf("%d retries for %d first attempts", retries[region], firsts[region])
			}
		}
	})
}

// Guards against a retry storm when a region recovers and every first attempt fails.
func TestRetriesBoundedAfterRegionReturns(t *testing.T) {
	b := New(1, []string{"norte"})
	b.RegionRecovered(start, "norte")
	retries, early := 0, 0
	for i := range 6000 { // 200 requests a second for 30 s.
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		b.RecordFirst(now, "norte")
		for attempt := 1; attempt < 10; attempt++ {
			if b.Allow(now, Call{Idempotent: true, Attempt: attempt, Region: "norte"}) == Allowed {
				retries++
				if i < 600 {
					early++
				}
			}
		}
		if b.Allow(now, Call{Idempotent: true, Attempt: 1, Region: "norte", Kind: Hedge}) == Allowed {
			t.Fatal("hedge allowed during the ramp")
		}
	}
	if early > 12 {
		t.Errorf("%d retries in the first 3 s after 600 failures, want at most 12", early)
	}
	if retries > 331 {
		t.Errorf("%d retries of 6000 requests during the ramp, want at most 331", retries)
	}
}

// Guards against retries of calls that are not idempotent, and against unlimited attempts.
func TestAllowVerdicts(t *testing.T) {
	cases := []struct {
		call Call
		want Verdict
	}{
		{Call{Attempt: 1, Region: "norte"}, NotIdempotent},
		{Call{Idempotent: true, Attempt: MaxAttempts, Region: "norte"}, TooManyAttempts},
		{Call{Idempotent: true, Attempt: 1, Region: "unknown"}, NoBudget},
		{Call{Idempotent: true, Attempt: 1, Region: "norte"}, Allowed},
		{Call{Idempotent: true, Attempt: 1, Region: "norte", Kind: Hedge}, Allowed},
	}
	b := New(1, []string{"norte"})
	for _, c := range cases {
		if got := b.Allow(start, c.call); got != c.want {
			t.Errorf("%+v: got %v, want %v", c.call, got, c.want)
		}
	}
}

// Guards against callers that return at the same time, and against jitter that differs between runs with the
// same seed.
func TestAfterJitter(t *testing.T) {
	a, b := New(7, nil), New(7, nil)
	seen := map[time.Duration]bool{}
	for range 100 {
		x := a.RetryAfter(time.Second)
		if x != b.RetryAfter(time.Second) {
			t.Fatal("jitter differs between budgets with the same seed")
		}
		if x < time.Second || x > 1500*time.Millisecond {
			t.Fatalf("jitter out of range: %v", x)
		}
		seen[x] = true
	}
	if len(seen) < 90 {
		t.Errorf("%d different delays of 100", len(seen))
	}
}

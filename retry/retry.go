// Package retry limits retries and hedged calls to a share of the traffic.
package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// RetryRatio is the ratio of retries and hedges to first attempts that a region's budget earns.
	RetryRatio = 0.1
	// maxSavedRetries is the largest number of retries that a budget can save. It allows a VM with little
	// traffic to retry, and bounds the retries after a time without traffic.
	maxSavedRetries = 10
	// rampDuration is the time over which the ratio of a recovered region grows to RetryRatio. All its
	// callers return at the same time to cold caches, and retries of failed first attempts would double the
	// load.
	rampDuration = 30 * time.Second
	// minRampFactor is the factor of RetryRatio at the start of the ramp.
	minRampFactor = 0.1
	// maxJitterRatio is the largest jitter of a Retry-After, relative to its base. It keeps refused callers
	// from returning at the same time.
	maxJitterRatio = 0.5
)

// Kind is the kind of an additional call.
type Kind uint8

// Kinds of additional calls.
const (
	// Retry retries a call that failed.
	Retry Kind = iota
	// Hedge runs a second call in parallel with a slow one.
	Hedge
)

// Call describes an additional call.
type Call struct {
	// Idempotent is set if the call may be retried.
	Idempotent bool
	// Kind is Retry or Hedge.
	Kind Kind
	// Attempt is the number of calls that were already made for the request, at least 1.
	Attempt int
	// Region is the region in which the call would run.
	Region string
}

// Verdict is the result of Allow.
type Verdict uint8

// Verdicts of Allow.
const (
	Allowed Verdict = iota
	NotIdempotent
	TooManyAttempts
	NoBudget
)

// String returns the verdict's text.
func (v Verdict) String() string {
	return [...]string{"allowed", "call is not idempotent", "too many attempts", "retry budget used up"}[v]
}

// MaxAttempts is the largest number of calls for one request.
const MaxAttempts = 3

// hedgeReserve is the number of saved retries that hedges leave for retries of failed calls.
const hedgeReserve = maxSavedRetries / 2

// regionBudget is the retry budget of one region.
type regionBudget struct {
	tokens      float64
	recoveredAt time.Time
}

// Budget holds the retry budgets of a VM by region. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	regions map[string]*regionBudget
	random  *rand.Rand
}

// New returns a budget for the regions. A call to any other region is never retried. The seed determines the
// jitter.
func New(seed uint64, regions []string) *Budget {
	b := &Budget{regions: map[string]*regionBudget{}, random: rand.New(rand.NewPCG(seed, 0))}
	b.Configure(regions)
	return b
}

// Configure replaces the regions and keeps the state of those that remain.
func (b *Budget) Configure(regions []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[string]*regionBudget, len(regions))
	for _, r := range regions {
		a := b.regions[r]
		if a == nil {
			a = &regionBudget{tokens: maxSavedRetries}
		}
		kept[r] = a
	}
	b.regions = kept
}

// RecordFirst records a first attempt in the region, which earns a fraction of a retry.
func (b *Budget) RecordFirst(now time.Time, region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.regions[region]; a != nil {
		a.tokens = math.Min(maxSavedRetries, a.tokens+RetryRatio*a.rampFactor(now))
	}
}

// RegionRecovered records that a region is available again after an outage. Its saved retries are removed, and it
// earns new ones at a reduced rate at first.
func (b *Budget) RegionRecovered(now time.Time, region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.regions[region]; a != nil {
		a.tokens = math.Min(a.tokens, 1)
		a.recoveredAt = now
	}
}

// Allow decides whether an additional call may be made, and takes it from the budget if it is allowed.
func (b *Budget) Allow(now time.Time, c Call) Verdict {
	if !c.Idempotent {
		return NotIdempotent
	}
	if c.Attempt >= MaxAttempts {
		return TooManyAttempts
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.regions[c.Region]
	if a == nil {
		return NoBudget
	}
	required := 1.0
	if c.Kind == Hedge {
		// Hedges while a region ramps up would load cold caches twice.
		if a.rampFactor(now) < 1 {
			return NoBudget
		}
		required += hedgeReserve
	}
	if a.tokens < required {
		return NoBudget
	}
	a.tokens--
	return Allowed
}

// RetryAfter returns a Retry-After delay: base with added jitter.
func (b *Budget) RetryAfter(base time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return base + time.Duration(b.random.Float64()*maxJitterRatio*float64(base))
}

// rampFactor returns the factor of RetryRatio that the region earns, in [minRampFactor, 1].
func (a *regionBudget) rampFactor(now time.Time) float64 {
	if a.recoveredAt.IsZero() || now.Sub(a.recoveredAt) >= rampDuration {
		return 1
	}
	f := now.Sub(a.recoveredAt).Seconds() / rampDuration.Seconds()
	return minRampFactor + (1-minRampFactor)*math.Max(0, f)
}

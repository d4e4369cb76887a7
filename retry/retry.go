// Package retry bounds repeated and hedged calls to a share of the traffic.
package retry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// Share is the part of the first attempts that may be repeated or hedged.
	Share = 0.1
	// burst is the largest number of saved repeats. It lets a VM with little traffic retry at all,
	// and bounds what follows a quiet time.
	burst = 10
	// rampTime is the time over which a returned region's share grows to Share. All its callers
	// return at once to cold caches, and failed first attempts would double the load.
	rampTime = 30 * time.Second
	// rampFloor is the part of Share at the start of the ramp.
	rampFloor = 0.1
	// jitterShare is the largest part that is added to a Retry-After, so that refused callers do
	// not return together.
	jitterShare = 0.5
)

// Kind is the kind of an additional call.
type Kind uint8

// Kinds of additional calls.
const (
	// Again repeats a call that failed.
	Again Kind = iota
	// Hedge runs a second call beside a slow one.
	Hedge
)

// Call describes an additional call.
type Call struct {
	// Idempotent calls may be repeated.
	Idempotent bool
	// Kind is Again or Hedge.
	Kind Kind
	// Attempt is the number of calls already made for the request, at least 1.
	Attempt int
	// Region is where the call would run.
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

// hedgeReserve is the number of saved repeats that hedges leave for repeats of failed calls.
const hedgeReserve = burst / 2

// account is the budget of one region.
type account struct {
	level    float64
	returned time.Time
}

// Budget counts the traffic of a VM. It may be used from any goroutine.
type Budget struct {
	mu      sync.Mutex
	regions map[string]*account
	random  *rand.Rand
}

// New returns a budget for the regions. A call to any other region is never repeated. The seed
// fixes the jitter.
func New(seed uint64, regions []string) *Budget {
	b := &Budget{regions: map[string]*account{}, random: rand.New(rand.NewPCG(seed, 0))}
	b.Configure(regions)
	return b
}

// Configure replaces the regions and keeps the state of those that stay.
func (b *Budget) Configure(regions []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := make(map[string]*account, len(regions))
	for _, r := range regions {
		a := b.regions[r]
		if a == nil {
			a = &account{level: burst}
		}
		kept[r] = a
	}
	b.regions = kept
}

// First counts a first attempt in the region, which earns a share of a repeat.
func (b *Budget) First(now time.Time, region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.regions[region]; a != nil {
		a.level = math.Min(burst, a.level+Share*a.ramp(now))
	}
}

// Returned records that a region answers again after an outage: its saved repeats are dropped, and
// it earns new ones slowly at first.
func (b *Budget) Returned(now time.Time, region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.regions[region]; a != nil {
		a.level = math.Min(a.level, 1)
		a.returned = now
	}
}

// Allow decides on an additional call, and takes it from the budget if it is allowed.
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
	need := 1.0
	if c.Kind == Hedge {
		// Hedges while a region ramps up would load cold caches twice.
		if a.ramp(now) < 1 {
			return NoBudget
		}
		need += hedgeReserve
	}
	if a.level < need {
		return NoBudget
	}
	a.level--
	return Allowed
}

// After returns a time for Retry-After: at least base, with jitter.
func (b *Budget) After(base time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return base + time.Duration(b.random.Float64()*jitterShare*float64(base))
}

// ramp returns the part of Share that the region earns, in [rampFloor, 1].
func (a *account) ramp(now time.Time) float64 {
	if a.returned.IsZero() || now.Sub(a.returned) >= rampTime {
		return 1
	}
	f := now.Sub(a.returned).Seconds() / rampTime.Seconds()
	return rampFloor + (1-rampFloor)*math.Max(0, f)
}

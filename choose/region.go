package choose

import (
	"math"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// summaryTTL is the age of the last summary at which a region counts as unreachable.
	summaryTTL = 5 * time.Second
	// marginFactor and marginTime define how much slower the own region must be before a request
	// leaves it. Links have low bandwidth, and the estimates of other regions are old.
	marginFactor = 1.25
	marginTime   = 100 * time.Millisecond
	// linkBurst is the capacity of the link's token bucket, as a time at its rate.
	linkBurst = 500 * time.Millisecond
	// forwardingLinkShare is the share of the link that forwarded requests may use. The rest is left
	// for control messages, responses to other regions and model weights.
	forwardingLinkShare = 0.5
	// maxUtilisation keeps the estimated wait finite. Requests above the number of slots are added to
	// the estimate separately.
	maxUtilisation = 0.95
	// maxServers bounds the number of slots that are modelled as servers of one queue. Each replica
	// has its own queue, and load reports arrive late, so that requests in a large pool wait long
	// before all of its slots are taken.
	maxServers = 64
)

// Capacity is the state of the upstreams of one route in one region.
type Capacity struct {
	// Slots is the number of requests that can run at once, with ramps applied.
	Slots float64
	// Outstanding is the number of requests that run or wait at the upstreams.
	Outstanding float64
	Profile
}

// expectedFirstToken returns the expected time to first token of one more request after extra
// others, and false if no upstream can run it.
func (c Capacity) expectedFirstToken(extra float64) (time.Duration, bool) {
	if c.Slots < 0.5 {
		return 0, false
	}
	n := c.Outstanding + extra + 1
	wait := queueWait(math.Min(n/c.Slots, maxUtilisation), math.Min(c.Slots, maxServers)) + math.Max(0, n-c.Slots)/c.Slots
	return c.FirstToken + time.Duration(wait*float64(c.RunTime)), true
}

// queueWait approximates the mean wait in a queue with several servers as a multiple of the run
// time, by Sakasegawa's formula. The wait grows before all slots are taken: replicas are never
// filled evenly, and requests that may not leave the region need free slots.
func queueWait(utilisation, slots float64) float64 {
	return math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilisation))
}

// Capacity returns the state of the route's upstreams in the own region, for the summary that is
// sent to other regions.
func (v *View) Capacity(route string) Capacity {
	if p := v.pools[route]; p != nil {
		return p.capacity
	}
	return Capacity{}
}

// Link describes the network to another region.
type Link struct {
	// Region is the other region.
	Region string
	// OneWay is the delay in one direction.
	OneWay time.Duration
	// BytesPerSecond is the bandwidth in one direction.
	BytesPerSecond float64
	// VMs is the number of live VMs of the own region that share the link. It is at least 1.
	VMs int
}

// remoteRegion is another region with the budget of the link to it.
type remoteRegion struct {
	link      Link
	pools     map[string]Capacity // By route. Replaced as a whole, never modified.
	summaryAt time.Time
	budget    *tokenBucket
	// sentSinceSummary counts the requests sent since the last summary, by route.
	sentSinceSummary map[string]*atomic.Int64
}

// tokenBucket is a token bucket in bytes. Its rate is in bytes per second.
type tokenBucket struct {
	mu         sync.Mutex
	rate       float64
	level      float64
	refilledAt time.Time
}

func (b *tokenBucket) setRate(now time.Time, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.refilledAt.IsZero() {
		b.level = rate * linkBurst.Seconds()
		b.refilledAt = now
	}
	b.rate = rate
	b.level = math.Min(b.level, rate*linkBurst.Seconds())
}

func (b *tokenBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() || !now.After(b.refilledAt) {
		return
	}
	b.level = math.Min(b.level+now.Sub(b.refilledAt).Seconds()*b.rate, b.rate*linkBurst.Seconds())
	b.refilledAt = now
}

// take removes n bytes. If the bucket holds fewer, it removes nothing and returns false.
func (b *tokenBucket) take(now time.Time, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.level < float64(n) {
		return false
	}
	b.level -= float64(n)
	return true
}

// SetLink sets the link to another region.
func (t *Table) SetLink(now time.Time, l Link) {
	r := t.remotes[l.Region]
	if r == nil {
		r = &remoteRegion{budget: &tokenBucket{}}
		t.remotes[l.Region] = r
	}
	l.VMs = max(l.VMs, 1)
	r.link = l
	r.budget.setRate(now, r.rate())
}

// rate returns this VM's share of the link in bytes per second.
func (r *remoteRegion) rate() float64 {
	return forwardingLinkShare * r.link.BytesPerSecond / float64(r.link.VMs)
}

// RecordSummary records the state of another region at a time. A summary that is not newer than the last
// one is ignored.
func (t *Table) RecordSummary(summaryAt time.Time, region string, pools map[string]Capacity) {
	r := t.remotes[region]
	if r == nil || !summaryAt.After(r.summaryAt) {
		return
	}
	r.summaryAt = summaryAt
	r.pools = pools
	r.sentSinceSummary = make(map[string]*atomic.Int64, len(pools))
	for route := range pools {
		r.sentSinceSummary[route] = &atomic.Int64{}
	}
}

// reachableRegions returns copies of the regions that have a recent summary, and their sorted
// names.
func (t *Table) reachableRegions(now time.Time) (map[string]*remoteRegion, []string) {
	remotes := make(map[string]*remoteRegion, len(t.remotes))
	var names []string
	for name, r := range t.remotes {
		if r.summaryAt.IsZero() || now.Sub(r.summaryAt) >= summaryTTL {
			continue
		}
		c := *r
		remotes[name] = &c
		names = append(names, name)
	}
	sort.Strings(names)
	return remotes, names
}

// expectedFirstToken returns the expected time to first token of a request sent to the region. The
// count of requests sent since the summary is multiplied by the number of VMs in the own region,
// because they see the same summary and make similar decisions.
func (r *remoteRegion) expectedFirstToken(now time.Time, q *Request) (time.Duration, bool) {
	if now.Sub(r.summaryAt) >= summaryTTL {
		return 0, false
	}
	c, ok := r.pools[q.Route]
	if !ok {
		return 0, false
	}
	since := float64(r.sentSinceSummary[q.Route].Load()) * float64(r.link.VMs)
	d, ok := c.expectedFirstToken(since)
	if !ok {
		return 0, false
	}
	transfer := float64(q.BodyBytes) / math.Max(r.rate(), 1) * float64(time.Second)
	return d + 2*r.link.OneWay + time.Duration(transfer), true
}

// ChooseRegion chooses the region that runs a request, and takes the bytes from the link's budget if it
// is another region. An empty region means that the request must be refused for the returned
// reason.
func (v *View) ChooseRegion(now time.Time, r Request) (string, RegionReason) {
	allowed := slices.Contains(r.Allowed, v.region)
	if r.Forwarded {
		if !allowed {
			return "", OwnRegionNotAllowed
		}
		return v.region, ForwardedHere
	}
	var ownFirstToken time.Duration
	ownCanRun := false
	if p := v.pools[r.Route]; allowed && p != nil {
		ownFirstToken, ownCanRun = p.capacity.expectedFirstToken(0)
	}
	best, remoteFirstToken, found := v.fastestRemote(now, &r)
	if ownCanRun && (!found || float64(ownFirstToken) <= float64(remoteFirstToken)*marginFactor+float64(marginTime)) {
		return v.region, OwnRegion
	}
	if !found {
		return v.fallback(&r, allowed, NoRegionReachable)
	}
	if !best.budget.take(now, r.BodyBytes+r.ReplyBytes) {
		return v.fallback(&r, allowed, LinkBudgetExhausted)
	}
	best.sentSinceSummary[r.Route].Add(1)
	if ownCanRun {
		return best.link.Region, FasterRegion
	}
	return best.link.Region, OwnRegionCannotRun
}

// fallback returns the own region if it is allowed and able to run the request, else an empty
// region.
func (v *View) fallback(r *Request, allowed bool, reason RegionReason) (string, RegionReason) {
	if allowed && v.pools[r.Route] != nil {
		return v.region, reason
	}
	return "", reason
}

// fastestRemote returns the allowed region with the shortest expected time to first token.
func (v *View) fastestRemote(now time.Time, r *Request) (*remoteRegion, time.Duration, bool) {
	var best *remoteRegion
	var least time.Duration
	for _, name := range v.remoteNames {
		candidate := v.remotes[name]
		if !slices.Contains(r.Allowed, name) {
			continue
		}
		d, ok := candidate.expectedFirstToken(now, r)
		if ok && (best == nil || d < least) {
			best, least = candidate, d
		}
	}
	return best, least, best != nil
}

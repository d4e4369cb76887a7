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
	// summaryStale is the age at which a region counts as unreachable.
	summaryStale = 5 * time.Second
	// marginFactor and marginTime are how much slower the own region must be before a request
	// leaves it. Links have low bandwidth, and estimates of remote regions are old.
	marginFactor = 1.25
	marginTime   = 100 * time.Millisecond
	// burstTime is the link traffic that the bucket can hold.
	burstTime = 500 * time.Millisecond
	// linkShare is the part of the link that forwarded requests may use; the rest is left to
	// control messages, answers of other regions and weights.
	linkShare = 0.5
	// maxUtilisation keeps the estimated wait finite; beyond it the excess counts.
	maxUtilisation = 0.95
	// maxServers bounds the slots that count as one queue. Replicas have queues of their own and are
	// filled by late reports, so that a large pool has waits long before all its slots are taken.
	maxServers = 64
)

// Capacity is the state of the upstreams of one route in one region.
type Capacity struct {
	// Slots is the number of requests that run at once, with ramps applied.
	Slots float64
	// Outstanding is the number of requests running or waiting at the upstreams.
	Outstanding float64
	Profile
}

// expected returns the time to first token of one more request, or false if nothing can run it.
func (c Capacity) expected(extra float64) (time.Duration, bool) {
	if c.Slots < 0.5 {
		return 0, false
	}
	n := c.Outstanding + extra + 1
	wait := queueWait(math.Min(n/c.Slots, maxUtilisation), math.Min(c.Slots, maxServers)) + math.Max(0, n-c.Slots)/c.Slots
	return c.FirstToken + time.Duration(wait*float64(c.Run)), true
}

// queueWait approximates the mean wait of a queue with several servers, in run times (Sakasegawa). It
// rises before all slots are taken: replicas are never filled evenly, and requests that may not
// leave the region need room.
func queueWait(utilisation, slots float64) float64 {
	return math.Pow(utilisation, math.Sqrt(2*(slots+1))-1) / (slots * (1 - utilisation))
}

// Capacity returns the state of the route's upstreams in the own region, for the summary that
// other regions get.
func (v *View) Capacity(route string) Capacity {
	if p := v.pools[route]; p != nil {
		return p.local
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
	// VMs is the number of live VMs of the own region that share the link, above zero.
	VMs int
}

// remote is another region with its link budget.
type remote struct {
	link   Link
	pools  map[string]Capacity // Replaced as a whole, never changed.
	at     time.Time
	budget *bucket
	// counter holds the requests sent since the summary, by route.
	counter map[string]*atomic.Int64
}

// bucket is a token bucket in bytes.
type bucket struct {
	mu    sync.Mutex
	rate  float64
	level float64
	at    time.Time
}

func (b *bucket) set(now time.Time, rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.at.IsZero() {
		b.level = rate * burstTime.Seconds()
		b.at = now
	}
	b.rate = rate
	b.level = math.Min(b.level, rate*burstTime.Seconds())
}

func (b *bucket) fill(now time.Time) {
	if b.at.IsZero() || !now.After(b.at) {
		return
	}
	b.level = math.Min(b.level+now.Sub(b.at).Seconds()*b.rate, b.rate*burstTime.Seconds())
	b.at = now
}

// take removes n bytes, or reports false and removes nothing.
func (b *bucket) take(now time.Time, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
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
		r = &remote{budget: &bucket{}}
		t.remotes[l.Region] = r
	}
	l.VMs = max(l.VMs, 1)
	r.link = l
	r.budget.set(now, r.rate())
}

// rate is this VM's share of the link, in bytes a second.
func (r *remote) rate() float64 {
	return linkShare * r.link.BytesPerSecond / float64(r.link.VMs)
}

// Summary records the state of another region as of at. A summary older than the last is ignored.
func (t *Table) Summary(at time.Time, region string, pools map[string]Capacity) {
	r := t.remotes[region]
	if r == nil || !at.After(r.at) {
		return
	}
	r.at = at
	r.pools = pools
	r.counter = make(map[string]*atomic.Int64, len(pools))
	for route := range pools {
		r.counter[route] = &atomic.Int64{}
	}
}

// reachable returns copies of the regions with a link and a summary, and their names in order.
func (t *Table) reachable(now time.Time) (map[string]*remote, []string) {
	remotes := make(map[string]*remote, len(t.remotes))
	var order []string
	for name, r := range t.remotes {
		if r.at.IsZero() || now.Sub(r.at) >= summaryStale {
			continue
		}
		c := *r
		remotes[name] = &c
		order = append(order, name)
	}
	sort.Strings(order)
	return remotes, order
}

// expected returns the time to first token of a request sent to the region. Requests sent since the
// summary are added for all VMs of the own region, which see the same summary and decide alike.
func (r *remote) expected(now time.Time, q *Request) (time.Duration, bool) {
	if now.Sub(r.at) >= summaryStale {
		return 0, false
	}
	c, ok := r.pools[q.Route]
	if !ok {
		return 0, false
	}
	since := float64(r.counter[q.Route].Load()) * float64(r.link.VMs)
	d, ok := c.expected(since)
	if !ok {
		return 0, false
	}
	transfer := float64(q.BodyBytes) / math.Max(r.rate(), 1) * float64(time.Second)
	return d + 2*r.link.OneWay + time.Duration(transfer), true
}

// Region chooses the region that runs a request, and takes the bytes from the link's budget if it
// is another one. An empty region means that the request must be refused for the reason.
func (v *View) Region(now time.Time, r Request) (string, Reason) {
	allowed := slices.Contains(r.Allowed, v.region)
	if r.Forwarded {
		if !allowed {
			return "", NotAllowed
		}
		return v.region, ForwardedHere
	}
	var own time.Duration
	ownServes := false
	if p := v.pools[r.Route]; allowed && p != nil {
		own, ownServes = p.local.expected(0)
	}
	best, remote, found := v.fastest(now, &r)
	if ownServes && (!found || float64(own) <= float64(remote)*marginFactor+float64(marginTime)) {
		return v.region, OwnRegion
	}
	if !found {
		return v.fallback(&r, allowed, Unreachable)
	}
	if !best.budget.take(now, r.BodyBytes+r.ReplyBytes) {
		return v.fallback(&r, allowed, LinkBudget)
	}
	best.counter[r.Route].Add(1)
	if ownServes {
		return best.link.Region, FasterRegion
	}
	return best.link.Region, OnlyRegion
}

// fallback returns the own region if it may and can run the request.
func (v *View) fallback(r *Request, allowed bool, why Reason) (string, Reason) {
	if allowed && v.pools[r.Route] != nil {
		return v.region, why
	}
	return "", why
}

func (v *View) fastest(now time.Time, r *Request) (*remote, time.Duration, bool) {
	var best *remote
	var least time.Duration
	for _, name := range v.order {
		c := v.remotes[name]
		if !slices.Contains(r.Allowed, name) {
			continue
		}
		d, ok := c.expected(now, r)
		if ok && (best == nil || d < least) {
			best, least = c, d
		}
	}
	return best, least, best != nil
}

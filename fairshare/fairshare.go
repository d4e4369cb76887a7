// Package fairshare says which requests are within the share of their workspace when a service of a region is short of capacity. The VMs
// of the region report to each other what workspaces have asked of services and what was served; what the region served in about
// the last 2 s is divided between the workspaces by max-min fairness. The package does not refuse requests itself.
package fairshare

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// refreshInterval is the shortest time between two computations of the levels, so that a request costs a look-up.
	refreshInterval = 100 * time.Millisecond
	// bucketLength is the size of a token bucket, in time at its rate.
	bucketLength = time.Second
	// maxDebt bounds the debt of a bucket after a request that costs more than it holds, in time at its rate.
	maxDebt = 10 * time.Second
	// reportDuration is the time for which a count is reported after its last change, so that the latest one arrives even if some
	// reports are lost.
	reportDuration = 5 * time.Second
	// retention is the time after its last change for which a count is kept.
	retention = time.Minute
	// maxCost bounds the cost of a request, in tokens, since callers state it.
	maxCost = 1 << 22
	// maxEntries bounds the pairs of a service and a workspace that are counted. Requests of others count as within their share.
	maxEntries = 8192
	// maxReportEntries bounds the entries of a report.
	maxReportEntries = 1024
)

// Key identifies the use of one service by one workspace.
type Key struct{ Service, Workspace string }

// Usage holds the tokens that one workspace has asked of a service at a VM since the VM's start, and those of them that were served.
type Usage struct {
	Service, Workspace string
	Asked, Served      int64
}

// Table holds the usage of workspaces that the VMs of a region have counted, and the shares computed from it. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	entries  map[Key]*entry
	services map[string]*service
	peers    map[string]*peer
	// window holds the times at which the own totals were sampled.
	window      window
	refreshedAt time.Time
	// firstTotal is the total at which new entries start. It is at least that of all removed entries: the totals that a VM reports
	// never decrease.
	firstTotal int64
}

// entry holds the usage of one service by one workspace.
type entry struct {
	asked, served int64
	// changedAt is the time at which this VM last counted something, zero if only other VMs did.
	changedAt time.Time
	samples   samples
	// own holds the rates of this VM, others the sum of those of the other VMs, and reporters their number.
	own, others rates
	reporters   int
	// above is set while the workspace asks for more than the level.
	above  bool
	bucket bucket
}

// bucket is a token bucket. Its tokens may become negative, since the cost of a request may exceed its size.
type bucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// New returns an empty table.
func New(now time.Time) *Table {
	return &Table{
		entries: map[Key]*entry{}, services: map[string]*service{}, peers: map[string]*peer{},
		window: window{base: now, middle: now, latest: now}, refreshedAt: now,
	}
}

// Ask counts a request, whose cost is in tokens, and reports whether it is within the share of its workspace.
func (t *Table) Ask(now time.Time, k Key, cost int64) (withinShare bool) {
	cost = boundCost(cost)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	e := t.entry(k)
	if e == nil {
		return true
	}
	e.asked += cost
	e.changedAt = now
	return !e.above || e.bucket.take(now, cost)
}

// IsWithin reports whether a request would be within the share of its workspace now, without counting it.
func (t *Table) IsWithin(now time.Time, k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	e := t.entries[k]
	return e == nil || !e.above || e.bucket.tokensAt(now) > 0
}

// tokensAt returns the tokens that the bucket has at a time.
func (b *bucket) tokensAt(now time.Time) float64 {
	return min(b.rate*bucketLength.Seconds(), b.tokens+b.rate*max(0, now.Sub(b.refilledAt)).Seconds())
}

// Serve counts a request that was sent to an upstream.
func (t *Table) Serve(now time.Time, k Key, cost int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entry(k); e != nil {
		e.served += boundCost(cost)
		e.changedAt = now
	}
}

func boundCost(cost int64) int64 { return min(max(cost, 1), maxCost) }

// take takes the cost of a request from the bucket, unless the bucket is empty.
func (b *bucket) take(now time.Time, cost int64) bool {
	if now.After(b.refilledAt) {
		b.tokens, b.refilledAt = b.tokensAt(now), now
	}
	if b.tokens <= 0 {
		return false
	}
	b.tokens = max(b.tokens-float64(cost), -maxDebt.Seconds()*b.rate)
	return true
}

// entry returns the entry of a key. It is nil if the table is full.
func (t *Table) entry(k Key) *entry {
	e := t.entries[k]
	if e != nil || len(t.entries) >= maxEntries {
		return e
	}
	e = &entry{asked: t.firstTotal, served: t.firstTotal}
	e.samples.begin(totals{asked: t.firstTotal, served: t.firstTotal})
	t.entries[k] = e
	s := t.services[k.Service]
	if s == nil {
		s = &service{}
		t.services[k.Service] = s
	}
	s.entries = append(s.entries, e)
	return e
}

// Report returns the totals of this VM for the other VMs of its region: those that changed recently at services of which this VM serves
// less than is asked, or all. While nothing is short, shares decide nothing and need no messages.
func (t *Table) Report(now time.Time, all bool) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var report []Usage
	for k, e := range t.entries {
		short := now.Sub(t.services[k.Service].shortAt) <= reportDuration
		if e.changedAt.IsZero() || !all && (!short || now.Sub(e.changedAt) > reportDuration) {
			continue
		}
		report = append(report, Usage{Service: k.Service, Workspace: k.Workspace, Asked: e.asked, Served: e.served})
	}
	if len(report) > maxReportEntries {
		slices.SortFunc(report, func(a, b Usage) int { return cmp.Compare(b.Asked, a.Asked) })
		report = report[:maxReportEntries]
	}
	return report
}

// refresh samples the own totals, drops expired peers and entries and computes the levels, at most once in refreshInterval.
func (t *Table) refresh(now time.Time) {
	if now.Sub(t.refreshedAt) < refreshInterval {
		return
	}
	t.refreshedAt = now
	t.removeExpiredPeers(now)
	rotated := t.window.advance(now)
	span := t.window.span()
	for k, e := range t.entries {
		if e.reporters == 0 && now.Sub(e.changedAt) > retention {
			t.remove(k, e)
			continue
		}
		e.samples.add(totals{asked: e.asked, served: e.served}, rotated)
		e.own = e.samples.rates(span)
	}
	for _, s := range t.services {
		s.recordShort(now)
		s.divide()
	}
}

// remove removes an entry, and its service with the last one.
func (t *Table) remove(k Key, e *entry) {
	t.firstTotal = max(t.firstTotal, e.asked, e.served)
	delete(t.entries, k)
	s := t.services[k.Service]
	s.entries = slices.DeleteFunc(s.entries, func(other *entry) bool { return other == e })
	if len(s.entries) == 0 {
		delete(t.services, k.Service)
	}
}

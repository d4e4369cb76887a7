// Package quota enforces the rate of each workspace over all VMs without a coordinator. Each VM keeps the
// complete token bucket of a workspace and charges it with its own requests and with the reports of other
// VMs. The share of the refill that belongs to VMs without recent reports is reserved for them.
package quota

import (
	"sync"
	"time"

	"parsleyhatch/route"
)

const (
	// reportTimeout is the time without a report after which a VM counts as silent, or reportIntervals intervals of its
	// reports if that is longer.
	reportTimeout   = 1600 * time.Millisecond
	reportIntervals = 3.2
	// peerTTL is the time after which a silent VM is removed.
	peerTTL = 60 * time.Second
	// reportDuration is the time for which a workspace is reported after its count has changed, so that the
	// latest count arrives even if some reports are lost.
	reportDuration = 5 * time.Second
	// minReportInterval is the shortest time between two reports from which a charge rate is computed.
	minReportInterval = 50 * time.Millisecond
	// settleDelay is the time after the start from which a VM knows the levels of the buckets.
	settleDelay = 5 * time.Second
	// seedDelay is the time within which a starting VM receives a report of a settled VM, if there is one.
	// Otherwise all VMs have just started, and the bucket counts as full: no VM ran for about the time in
	// which it fills.
	seedDelay = 700 * time.Millisecond
	// assumedVMs is the number of VMs that is assumed until the first report of another VM.
	assumedVMs = 16
)

// Table holds the token buckets of all workspaces. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	started time.Time
	// peerSeen is set once a report of another VM was received.
	peerSeen bool
	// seeded is set once the initial levels are known.
	seeded  bool
	buckets map[string]*bucket
	peers   map[string]*peer
	// regions holds the counts that VMs of other regions report, by the sender's name.
	regions map[string]*regionCounts
	// peerVMs is the number of VMs that the peers stand for, and silentVMs the part of it that is silent.
	peerVMs, silentVMs int
	// nextCheck is a time before which no peer becomes silent or is removed.
	nextCheck time.Time
}

// bucket is the token bucket of one workspace.
type bucket struct {
	rate, burst float64
	// maxLevel is the highest level: the share of the burst that belongs to the VMs whose reports are
	// received.
	maxLevel float64
	// level may be negative after reports of other VMs.
	level      float64
	refilledAt time.Time
	// spent is the amount that this VM has charged since its start, and changedAt the time of its latest
	// change.
	spent     int64
	changedAt time.Time
	// chargeRate is the sum of the charge rates of all peers that are not silent.
	chargeRate float64
	// vmRefill is the refill of one VM's share since the start. The share of a silent VM is reserved for it.
	vmRefill float64
	// peerSpent is the amount that the other VMs of the region have charged since this VM knows them, and peerChangedAt the time
	// of its latest change. It goes on when one of them restarts.
	peerSpent     int64
	peerChangedAt time.Time
}

// New returns an empty table. Its buckets start empty, so that a restarted VM does not grant a second burst.
func New(now time.Time) *Table {
	return &Table{started: now, buckets: map[string]*bucket{}, peers: map[string]*peer{}, regions: map[string]*regionCounts{}}
}

// Configure sets the rates of all workspaces. A new bucket starts with the refill since the start of the VM.
func (t *Table) Configure(now time.Time, workspaces []route.Workspace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.buckets
	t.buckets = make(map[string]*bucket, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		if w.Rate <= 0 {
			continue
		}
		b := old[w.Name]
		if b == nil {
			b = &bucket{refilledAt: t.started}
		} else {
			t.refill(now, b)
		}
		b.rate, b.burst = w.Rate, w.Burst
		b.maxLevel = b.burst
		b.level = min(b.level, b.burst)
		t.buckets[w.Name] = b
	}
	t.sumPeers()
}

// Charge takes the amount from the workspace's bucket. If the level is too low, it takes nothing and returns
// the expected time until the level is sufficient. A full bucket allows any amount, and its level may become
// negative.
func (t *Table) Charge(now time.Time, workspace string, amount int64) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[workspace]
	if b == nil {
		return true, 0
	}
	if wait, ok = t.room(now, b, amount); !ok {
		return false, wait
	}
	b.level -= float64(amount)
	b.spent += amount
	b.changedAt = now
	return true, 0
}

// Room returns what Charge would return now, and takes nothing.
func (t *Table) Room(now time.Time, workspace string, amount int64) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[workspace]
	if b == nil {
		return true, 0
	}
	wait, ok = t.room(now, b, amount)
	return ok, wait
}

// room reports whether a bucket has room for an amount, and otherwise the expected time until it has.
func (t *Table) room(now time.Time, b *bucket, amount int64) (wait time.Duration, ok bool) {
	t.refill(now, b)
	t.seedLevels(now)
	if missing := float64(amount) - b.level; missing > 0 && b.level < b.maxLevel {
		return time.Duration(missing / b.rate * float64(time.Second)), false
	}
	return 0, true
}

// seedLevels sets the initial levels of a VM that has only received reports of VMs that have just started
// too.
func (t *Table) seedLevels(now time.Time) {
	if t.seeded || !t.peerSeen || now.Sub(t.started) < seedDelay {
		return
	}
	t.seeded = true
	for _, b := range t.buckets {
		b.level = max(b.level, b.burst)
	}
}

// Settled reports whether this VM knows the levels of the buckets.
func (t *Table) Settled(now time.Time) bool { return now.Sub(t.started) > settleDelay }

// Report is the state of one workspace that a VM reports to others.
type Report struct {
	// Spent is the amount that the VM has charged since its start, and Level the amount that it would still
	// grant.
	Spent int64
	Level int64
}

// adoptLevels sets the initial levels to those of a settled VM, once.
func (t *Table) adoptLevels(reports map[string]Report) {
	if t.seeded {
		return
	}
	t.seeded = true
	for workspace, r := range reports {
		if b := t.buckets[workspace]; b != nil {
			b.level = max(b.level, min(b.burst, float64(r.Level)))
		}
	}
}

// Refund returns the charge of a request that has not run.
func (t *Table) Refund(now time.Time, workspace string, amount int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[workspace]; b != nil {
		b.level = min(b.burst, b.level+float64(amount))
		b.spent -= amount
		b.changedAt = now
	}
}

// refill adds the refill since the previous call, without the share of silent VMs and without what the other VMs are
// expected to have charged.
func (t *Table) refill(now time.Time, b *bucket) {
	t.checkPeers(now)
	t.refillChecked(now, b)
}

// refillChecked is refill without a check for silent peers.
func (t *Table) refillChecked(now time.Time, b *bucket) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	known := t.knownVMs(now)
	refillAmount := b.rate * elapsed.Seconds()
	vmRefill := refillAmount / float64(known)
	b.vmRefill += vmRefill
	refillAmount -= b.chargeRate * elapsed.Seconds()
	silentVMs := t.silentVMs + max(0, known-1-t.peerVMs)
	// VMs that do not receive each other's reports have the same level, so each side of a partition is
	// limited to its share of the burst.
	b.maxLevel = b.burst * float64(known-silentVMs) / float64(known)
	b.level = min(b.maxLevel, b.level+refillAmount-vmRefill*float64(silentVMs))
}

// knownVMs returns the number of VMs including this one.
func (t *Table) knownVMs(now time.Time) int {
	known := t.peerVMs + 1
	if !t.peerSeen && now.Sub(t.started) < peerTTL {
		known = max(known, assumedVMs)
	}
	return known
}

// VMs returns the number of VMs that are known, including this one.
func (t *Table) VMs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerVMs + 1
}

// Reports returns the reports of this VM for other VMs of its region: the workspaces that it charged
// recently, or all.
func (t *Table) Reports(now time.Time, all bool) map[string]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := map[string]Report{}
	for name, b := range t.buckets {
		if !all && now.Sub(b.changedAt) > reportDuration {
			continue
		}
		t.refill(now, b)
		reports[name] = Report{Spent: b.spent, Level: int64(b.level)}
	}
	return reports
}

// RegionReports returns the reports of this region's VMs for other regions: the workspaces that one of the
// VMs charged recently, or all.
func (t *Table) RegionReports(now time.Time, all bool) map[string]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := map[string]Report{}
	for name, b := range t.buckets {
		changed := all || now.Sub(b.changedAt) <= reportDuration || now.Sub(b.peerChangedAt) <= reportDuration
		r := Report{Spent: b.spent + b.peerSpent}
		if !changed {
			continue
		}
		t.refill(now, b)
		r.Level = int64(b.level)
		reports[name] = r
	}
	return reports
}

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
	// reportTimeout is the time without a report after which a VM counts as silent.
	reportTimeout = 1600 * time.Millisecond
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
}

// Sender is the sender of a report: another VM of the region, or another region as a whole.
type Sender struct {
	Name string
	// Incarnation changes when the sender's count of spent amounts is reset.
	Incarnation uint64
	// VMs is the number of VMs that the report covers. It is above one only for another region.
	VMs         int
	OtherRegion bool
	// Settled is set if the sender knows the levels of the buckets.
	Settled bool
}

// peer is another VM or another region.
type peer struct {
	incarnation  uint64
	peerVMs      int
	remoteRegion bool
	lastReportAt time.Time
	spent        map[string]int64
	// chargeRate is the amount that the VM charged per second between its latest reports, by workspace.
	chargeRate map[string]float64
	// advanceCharges is the amount that was charged in advance since the VM's latest report, by workspace:
	// according to its charge rate while reports are received, and its share of the refill while it is
	// silent.
	advanceCharges map[string]float64
}

// New returns an empty table. Its buckets start empty, so that a restarted VM does not grant a second burst.
func New(now time.Time) *Table {
	return &Table{started: now, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
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
			t.refill(now, w.Name, b)
		}
		b.rate, b.burst = w.Rate, w.Burst
		b.maxLevel = b.burst
		b.level = min(b.level, b.burst)
		t.buckets[w.Name] = b
	}
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
	t.refill(now, workspace, b)
	t.seedLevels(now)
	if missing := float64(amount) - b.level; missing > 0 && b.level < b.maxLevel {
		return false, time.Duration(missing / b.rate * float64(time.Second))
	}
	b.level -= float64(amount)
	b.spent += amount
	b.changedAt = now
	return true, 0
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

// refill adds the refill since the previous call, without the share of silent VMs.
func (t *Table) refill(now time.Time, workspace string, b *bucket) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	refillAmount := b.rate * elapsed.Seconds()
	known, silent := t.countVMs(now)
	vmRefill := refillAmount / float64(known)
	silentVMs := 0
	for _, p := range silent {
		p.advanceCharges[workspace] += vmRefill * float64(p.peerVMs)
		silentVMs += p.peerVMs
	}
	for _, p := range t.peers {
		if now.Sub(p.lastReportAt) <= reportTimeout {
			spent := p.chargeRate[workspace] * elapsed.Seconds()
			p.advanceCharges[workspace] += spent
			refillAmount -= spent
		}
	}
	silentVMs += max(0, known-1-t.peerVMs())
	// VMs that do not receive each other's reports have the same level, so each side of a partition is
	// limited to its share of the burst.
	b.maxLevel = b.burst * float64(known-silentVMs) / float64(known)
	b.level = min(b.maxLevel, b.level+refillAmount-vmRefill*float64(silentVMs))
}

// peerVMs returns the number of other VMs that are known.
func (t *Table) peerVMs() int {
	n := 0
	for _, p := range t.peers {
		n += p.peerVMs
	}
	return n
}

// countVMs returns the number of VMs including this one, and the peers that are silent.
func (t *Table) countVMs(now time.Time) (int, []*peer) {
	var silent []*peer
	for name, p := range t.peers {
		switch age := now.Sub(p.lastReportAt); {
		case age > peerTTL:
			delete(t.peers, name)
		case age > reportTimeout:
			silent = append(silent, p)
		}
	}
	known := t.peerVMs() + 1
	if !t.peerSeen && now.Sub(t.started) < peerTTL {
		known = max(known, assumedVMs)
	}
	return known, silent
}

// ApplyReports charges the amounts that another VM or region reports, by workspace.
func (t *Table) ApplyReports(now time.Time, origin Sender, reports map[string]Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerSeen = true
	p := t.peers[origin.Name]
	known := p != nil && p.incarnation == origin.Incarnation
	if !known {
		p = &peer{
			incarnation: origin.Incarnation, lastReportAt: now,
			spent: map[string]int64{}, chargeRate: map[string]float64{}, advanceCharges: map[string]float64{},
		}
		t.peers[origin.Name] = p
	}
	p.peerVMs, p.remoteRegion = max(1, origin.VMs), origin.OtherRegion
	for workspace, report := range reports {
		t.applyReport(now, p, workspace, report.Spent, known)
	}
	for workspace := range p.chargeRate {
		if _, ok := reports[workspace]; !ok {
			// Reports omit workspaces whose count has not changed recently.
			t.applyReport(now, p, workspace, p.spent[workspace], known)
			delete(p.chargeRate, workspace)
		}
	}
	p.lastReportAt = now
	clear(p.advanceCharges)
	if origin.Settled && len(t.buckets) > 0 {
		t.adoptLevels(reports)
	}
}

// applyReport charges the amount that was spent since the previous report.
func (t *Table) applyReport(now time.Time, p *peer, workspace string, spent int64, known bool) {
	b := t.buckets[workspace]
	if b == nil {
		return
	}
	t.refill(now, workspace, b)
	if known {
		t.chargeExcess(now, b, p, workspace, float64(spent-p.spent[workspace]))
	}
	p.spent[workspace] = spent
}

// chargeExcess charges the amount above the advance charges. The refill share that was reserved for a silent
// VM is not returned to the bucket.
func (t *Table) chargeExcess(now time.Time, b *bucket, p *peer, workspace string, amount float64) {
	if p.remoteRegion {
		amount = max(0, amount) // The count of a region decreases when one of its VMs restarts.
	}
	since := now.Sub(p.lastReportAt)
	if since >= minReportInterval {
		p.chargeRate[workspace] = amount / since.Seconds()
	}
	amount -= p.advanceCharges[workspace]
	if since > reportTimeout {
		amount = max(0, amount)
	}
	b.level = min(b.maxLevel, b.level-amount)
}

// VMs returns the number of VMs that are known, including this one.
func (t *Table) VMs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peerVMs() + 1
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
		t.refill(now, name, b)
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
		changed := all || now.Sub(b.changedAt) <= reportDuration
		r := Report{Spent: b.spent}
		for _, p := range t.peers {
			if !p.remoteRegion {
				r.Spent += p.spent[name]
				changed = changed || p.chargeRate[name] != 0
			}
		}
		if !changed {
			continue
		}
		t.refill(now, name, b)
		r.Level = int64(b.level)
		reports[name] = r
	}
	return reports
}

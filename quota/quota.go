// Package quota keeps the rate of each workspace over all VMs without asking anybody. Each VM keeps the
// whole bucket of a workspace and charges it with its own requests and with what the other VMs report. The
// part of the refill that belongs to VMs from which nothing is heard is left to them.
package quota

import (
	"sync"
	"time"

	"parsleyhatch/route"
)

const (
	// silence is the time without a report after which a VM counts as silent.
	silence = 1600 * time.Millisecond
	// memory is the time after which a silent VM is forgotten.
	memory = 60 * time.Second
	// reportFor is the time for which a workspace is reported after its count has changed, so that the
	// latest count arrives even if some reports are lost.
	reportFor = 5 * time.Second
	// minReport is the shortest time between two reports from which a pace is computed.
	minReport = 50 * time.Millisecond
	// settleTime is the time after its start from which a VM knows the levels of the buckets.
	settleTime = 5 * time.Second
	// seedTime is the time in which a VM that starts hears from a settled VM, if there is any. Without
	// one, all VMs have started anew, and the bucket counts as full: no VM ran for about the time in which
	// it fills.
	seedTime = 700 * time.Millisecond
	// unknownVMs is the number of VMs that a VM assumes until it has heard from others.
	unknownVMs = 16
)

// Table holds the buckets of all workspaces. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	started time.Time
	// met says that another VM was heard of.
	met bool
	// seeded says that the first levels are set.
	seeded  bool
	buckets map[string]*bucket
	peers   map[string]*peer
}

// bucket is the level of one workspace.
type bucket struct {
	rate, burst float64
	// limit is the highest level, the part of the burst that belongs to the VMs that are heard.
	limit float64
	// level may be negative after reports of other VMs.
	level float64
	at    time.Time
	// spent is what this VM has charged since its start, and changedAt when it last changed.
	spent     int64
	changedAt time.Time
}

// Origin is what reports: another VM of the region, or a whole other region.
type Origin struct {
	Name string
	// Incarnation changes when the count of what was spent starts anew.
	Incarnation uint64
	// VMs is the number of VMs that the report is of. More than one are another region.
	VMs int
	Far bool
	// Settled says that the sender knows the levels.
	Settled bool
}

// peer is another VM or another region.
type peer struct {
	incarnation uint64
	vms         int
	far         bool
	heardAt     time.Time
	spent       map[string]int64
	// pace is what the VM charged a second between its latest reports, by workspace.
	pace map[string]float64
	// left is what was charged in advance since the VM's latest report, by workspace: at its pace while it
	// is heard, and its part of the refill while it is silent.
	left map[string]float64
}

// New returns an empty table. Its buckets start empty, so that a restarted VM does not give a second burst.
func New(now time.Time) *Table {
	return &Table{started: now, buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// Configure sets the rates of all workspaces. A bucket that is new starts with the refill since the start
// of the VM.
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
			b = &bucket{at: t.started}
		} else {
			t.refill(now, w.Name, b)
		}
		b.rate, b.burst = w.Rate, w.Burst
		b.limit = b.burst
		b.level = min(b.level, b.burst)
		t.buckets[w.Name] = b
	}
}

// Charge takes the amount from the workspace's bucket. If the bucket has less, it takes nothing and
// returns the time after which there should be enough. A full bucket lets any amount pass, and is in debt
// afterwards.
func (t *Table) Charge(now time.Time, workspace string, amount int64) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[workspace]
	if b == nil {
		return true, 0
	}
	t.refill(now, workspace, b)
	t.seed(now)
	if missing := float64(amount) - b.level; missing > 0 && b.level < b.limit {
		return false, time.Duration(missing / b.rate * float64(time.Second))
	}
	b.level -= float64(amount)
	b.spent += amount
	b.changedAt = now
	return true, 0
}

// seed sets the first levels of a VM that has met only VMs that started anew like itself.
func (t *Table) seed(now time.Time) {
	if t.seeded || !t.met || now.Sub(t.started) < seedTime {
		return
	}
	t.seeded = true
	for _, b := range t.buckets {
		b.level = max(b.level, b.burst)
	}
}

// Settled reports whether this VM knows the levels of the buckets.
func (t *Table) Settled(now time.Time) bool { return now.Sub(t.started) > settleTime }

// Report is what a VM tells about one workspace.
type Report struct {
	// Spent is what the VM has charged since its start, and Level what it would still grant.
	Spent int64
	Level int64
}

// adopt takes over the level of a settled VM, once.
func (t *Table) adopt(reports map[string]Report) {
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

// Refund gives back the charge of a request that has not run.
func (t *Table) Refund(now time.Time, workspace string, amount int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[workspace]; b != nil {
		b.level = min(b.burst, b.level+float64(amount))
		b.spent -= amount
		b.changedAt = now
	}
}

// refill adds the refill since the last one, less the part of silent VMs.
func (t *Table) refill(now time.Time, workspace string, b *bucket) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	gain := b.rate * elapsed.Seconds()
	known, silent := t.count(now)
	part := gain / float64(known)
	unheard := 0
	for _, p := range silent {
		p.left[workspace] += part * float64(p.vms)
		unheard += p.vms
	}
	for _, p := range t.peers {
		if now.Sub(p.heardAt) <= silence {
			spent := p.pace[workspace] * elapsed.Seconds()
			p.left[workspace] += spent
			gain -= spent
		}
	}
	unheard += max(0, known-1-t.vms())
	// VMs that do not hear each other have the same level, so each side keeps only its part of a burst.
	b.limit = b.burst * float64(known-unheard) / float64(known)
	b.level = min(b.limit, b.level+gain-part*float64(unheard))
}

// vms returns the number of other VMs that are known.
func (t *Table) vms() int {
	n := 0
	for _, p := range t.peers {
		n += p.vms
	}
	return n
}

// count returns the number of VMs including this one, and those that are silent.
func (t *Table) count(now time.Time) (int, []*peer) {
	var silent []*peer
	for name, p := range t.peers {
		switch age := now.Sub(p.heardAt); {
		case age > memory:
			delete(t.peers, name)
		case age > silence:
			silent = append(silent, p)
		}
	}
	known := t.vms() + 1
	if !t.met && now.Sub(t.started) < memory {
		known = max(known, unknownVMs)
	}
	return known, silent
}

// Heard charges what another VM or region reports, by workspace.
func (t *Table) Heard(now time.Time, o Origin, reports map[string]Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.met = true
	p := t.peers[o.Name]
	known := p != nil && p.incarnation == o.Incarnation
	if !known {
		p = &peer{
			incarnation: o.Incarnation, heardAt: now,
			spent: map[string]int64{}, pace: map[string]float64{}, left: map[string]float64{},
		}
		t.peers[o.Name] = p
	}
	p.vms, p.far = max(1, o.VMs), o.Far
	for workspace, report := range reports {
		t.takeReport(now, p, workspace, report.Spent, known)
	}
	for workspace := range p.pace {
		if _, ok := reports[workspace]; !ok {
			// Workspaces whose count has not changed for a while are left out of reports.
			t.takeReport(now, p, workspace, p.spent[workspace], known)
			delete(p.pace, workspace)
		}
	}
	p.heardAt = now
	clear(p.left)
	if o.Settled && len(t.buckets) > 0 {
		t.adopt(reports)
	}
}

// takeReport charges what was spent since the report before.
func (t *Table) takeReport(now time.Time, p *peer, workspace string, spent int64, known bool) {
	b := t.buckets[workspace]
	if b == nil {
		return
	}
	t.refill(now, workspace, b)
	if known {
		t.chargeReport(now, b, p, workspace, float64(spent-p.spent[workspace]))
	}
	p.spent[workspace] = spent
}

// chargeReport charges what exceeds the charge in advance. What was left to a silent VM is not taken back.
func (t *Table) chargeReport(now time.Time, b *bucket, p *peer, workspace string, amount float64) {
	if p.far {
		amount = max(0, amount) // The count of a region falls when one of its VMs starts anew.
	}
	since := now.Sub(p.heardAt)
	if since >= minReport {
		p.pace[workspace] = amount / since.Seconds()
	}
	amount -= p.left[workspace]
	if since > silence {
		amount = max(0, amount)
	}
	b.level = min(b.limit, b.level-amount)
}

// VMs returns the number of VMs that are known, this one included.
func (t *Table) VMs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vms() + 1
}

// Reports returns what this VM tells the others of its region: the workspaces that it charged lately, or all
// of them.
func (t *Table) Reports(now time.Time, all bool) map[string]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := map[string]Report{}
	for name, b := range t.buckets {
		if !all && now.Sub(b.changedAt) > reportFor {
			continue
		}
		t.refill(now, name, b)
		reports[name] = Report{Spent: b.spent, Level: int64(b.level)}
	}
	return reports
}

// RegionReports returns what the VMs of this region tell other regions: the workspaces that one of them
// charged lately, or all.
func (t *Table) RegionReports(now time.Time, all bool) map[string]Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	reports := map[string]Report{}
	for name, b := range t.buckets {
		changed := all || now.Sub(b.changedAt) <= reportFor
		r := Report{Spent: b.spent}
		for _, p := range t.peers {
			if !p.far {
				r.Spent += p.spent[name]
				changed = changed || p.pace[name] != 0
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

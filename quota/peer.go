package quota

import "time"

// Sender is the sender of a report: another VM of the region, or another region as a whole.
type Sender struct {
	Name string
	// Incarnation changes when the sender's count of spent amounts is reset.
	Incarnation uint64
	// Reporter is the name of the VM that reports for another region, and Incarnation that of its process. Standby is set while the
	// report of another VM of that region counts.
	Reporter string
	Standby  bool
	// VMs is the number of VMs that the report covers. It is above one only for another region.
	VMs         int
	OtherRegion bool
	// Interval is the interval of the sender's reports, zero if it is short.
	Interval time.Duration
	// Settled is set if the sender knows the levels of the buckets. Its report then names all workspaces.
	Settled bool
}

// peer is another VM or another region.
type peer struct {
	incarnation  uint64
	vms          int
	remoteRegion bool
	lastReportAt time.Time
	// complete is set once a report has named all workspaces. A workspace that appears later has spent nothing before.
	complete bool
	// timeout is the time without a report after which the peer counts as silent.
	timeout time.Duration
	usage   map[string]*usage
	// silent is set while no reports arrive. reservations holds the state of each bucket when that was found.
	silent       bool
	reservations map[string]reservation
}

// reservation is the state of a bucket since which the share of a silent peer is reserved for it.
type reservation struct {
	vmRefill   float64
	refilledAt time.Time
}

// usage is what a peer has charged to one workspace.
type usage struct {
	spent int64
	// chargeRate is the amount that the peer charged per second between its latest reports. Until the next one, it is
	// charged to the bucket in advance.
	chargeRate float64
}

// advanceCharge returns the amount that was charged to a bucket in advance since the peer's latest report: according to its
// charge rate while reports are received, and its share of the refill while it is silent.
func (p *peer) advanceCharge(now time.Time, workspace string, b *bucket, u *usage) float64 {
	if !p.silent {
		return u.chargeRate * now.Sub(p.lastReportAt).Seconds()
	}
	from := p.reservations[workspace]
	reporting := max(0, from.refilledAt.Sub(p.lastReportAt))
	reserved := max(0, b.vmRefill-from.vmRefill) // A bucket that was configured again starts at zero.
	return u.chargeRate*reporting.Seconds() + reserved*float64(p.vms)
}

// hasChanged reports whether a report of an amount spent changes a bucket. Most workspaces are idle at most VMs.
func (p *peer) hasChanged(workspace string, spent int64) bool {
	u := p.usage[workspace]
	return p.silent || u == nil || u.spent != spent || u.chargeRate != 0
}

// ApplyReports charges the amounts that another VM or region reports, by workspace.
func (t *Table) ApplyReports(now time.Time, origin Sender, reports map[string]Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkPeers(now)
	levels := reports
	if origin.OtherRegion {
		var changed bool
		if reports, changed = t.continueCounts(now, origin, reports); !changed {
			return
		}
		origin.Incarnation = 0 // The counts go on when another process reports them.
	}
	t.peerSeen = true
	p := t.peers[origin.Name]
	known := p != nil && p.incarnation == origin.Incarnation
	if !known {
		t.removePeer(origin.Name)
		p = &peer{incarnation: origin.Incarnation, lastReportAt: now, usage: map[string]*usage{}}
		t.peers[origin.Name] = p
	}
	t.describePeer(now, p, origin)
	for workspace, report := range reports {
		if p.hasChanged(workspace, report.Spent) {
			t.applyReport(now, p, workspace, report.Spent, known)
		}
	}
	for workspace, u := range p.usage {
		if _, ok := reports[workspace]; !ok && u.chargeRate != 0 {
			// Reports omit workspaces whose count has not changed recently.
			t.applyReport(now, p, workspace, u.spent, known)
			t.setChargeRate(p, workspace, u, 0)
		}
	}
	p.lastReportAt, p.complete = now, p.complete || origin.Settled
	if p.silent {
		t.endSilence(p)
	}
	if origin.Settled && len(t.buckets) > 0 {
		t.adoptLevels(levels)
	}
}

// describePeer applies what a report says of its sender.
func (t *Table) describePeer(now time.Time, p *peer, origin Sender) {
	added := max(1, origin.VMs) - p.vms
	t.peerVMs += added
	if p.silent {
		t.silentVMs += added
	}
	p.vms, p.remoteRegion = max(1, origin.VMs), origin.OtherRegion
	p.timeout = max(reportTimeout, time.Duration(reportIntervals*float64(origin.Interval)))
	t.nextCheck = earlier(t.nextCheck, now.Add(p.timeout))
}

// applyReport charges the amount that was spent since the previous report.
func (t *Table) applyReport(now time.Time, p *peer, workspace string, spent int64, known bool) {
	u := p.usage[workspace]
	if u == nil {
		u = &usage{}
		p.usage[workspace] = u
		known = known && (p.complete || p.remoteRegion)
	}
	b := t.buckets[workspace]
	if b == nil {
		u.spent = spent // The configuration is not known yet.
		return
	}
	t.refillChecked(now, b)
	if known {
		t.chargeExcess(now, b, p, workspace, u, float64(spent-u.spent))
	}
	if known && !p.remoteRegion && spent != u.spent {
		b.peerSpent += spent - u.spent
		b.peerChangedAt = now
	}
	u.spent = spent
}

// chargeExcess charges the amount above the advance charges. The refill share that was reserved for a silent
// VM is not returned to the bucket.
func (t *Table) chargeExcess(now time.Time, b *bucket, p *peer, workspace string, u *usage, amount float64) {
	if p.remoteRegion {
		amount = max(0, amount) // A refund in another region is not passed on.
	}
	advance := p.advanceCharge(now, workspace, b, u)
	since := now.Sub(p.lastReportAt)
	if since >= minReportInterval {
		t.setChargeRate(p, workspace, u, amount/since.Seconds())
	}
	amount -= advance
	if since > p.timeout {
		amount = max(0, amount)
	}
	b.level = min(b.maxLevel, b.level-amount)
}

// setChargeRate changes the charge rate of a peer.
func (t *Table) setChargeRate(p *peer, workspace string, u *usage, rate float64) {
	if b := t.buckets[workspace]; b != nil && !p.silent {
		b.chargeRate += rate - u.chargeRate
	}
	u.chargeRate = rate
}

// checkPeers finds the peers that have become silent, and removes those that have been so for long.
func (t *Table) checkPeers(now time.Time) {
	if now.Before(t.nextCheck) {
		return
	}
	t.nextCheck = now.Add(peerTTL)
	for name, p := range t.peers {
		age := now.Sub(p.lastReportAt)
		switch {
		case age > peerTTL:
			t.removePeer(name)
			continue
		case age > p.timeout && !p.silent:
			t.beginSilence(p)
		}
		limit := p.timeout
		if p.silent {
			limit = peerTTL
		}
		t.nextCheck = earlier(t.nextCheck, p.lastReportAt.Add(limit+1))
	}
}

// beginSilence stops the advance charges of a peer and reserves its share of the refill since each bucket was last
// refilled.
func (t *Table) beginSilence(p *peer) {
	p.silent = true
	p.reservations = make(map[string]reservation, len(t.buckets))
	for workspace, b := range t.buckets {
		p.reservations[workspace] = reservation{vmRefill: b.vmRefill, refilledAt: b.refilledAt}
		if u := p.usage[workspace]; u != nil {
			b.chargeRate -= u.chargeRate
		}
	}
	t.silentVMs += p.vms
}

// endSilence resumes the advance charges of a peer.
func (t *Table) endSilence(p *peer) {
	p.silent, p.reservations = false, nil
	t.silentVMs -= p.vms
	for workspace, u := range p.usage {
		if b := t.buckets[workspace]; b != nil {
			b.chargeRate += u.chargeRate
		}
	}
}

// removePeer forgets a peer, if it is known.
func (t *Table) removePeer(name string) {
	if t.peers[name] == nil {
		return
	}
	delete(t.peers, name)
	t.sumPeers()
}

// sumPeers computes the sums over all peers.
func (t *Table) sumPeers() {
	t.peerVMs, t.silentVMs = 0, 0
	for _, b := range t.buckets {
		b.chargeRate = 0
	}
	for _, p := range t.peers {
		t.peerVMs += p.vms
		if p.silent {
			t.silentVMs += p.vms
		}
		for workspace, u := range p.usage {
			t.addUsage(p, t.buckets[workspace], u)
		}
	}
}

// addUsage adds the usage of a peer to the sums of a bucket, if there is one.
func (t *Table) addUsage(p *peer, b *bucket, u *usage) {
	if b == nil {
		return
	}
	if !p.silent {
		b.chargeRate += u.chargeRate
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

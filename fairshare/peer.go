package fairshare

import "time"

const (
	// reportTTL is the age up to which the reports of a VM count.
	reportTTL = 3 * time.Second
	// countTTL is the time without an entry in the reports of a VM after which its count is dropped. It exceeds reportDuration.
	countTTL = 10 * time.Second
	// maxPeers bounds the other VMs whose reports are kept. A region has up to about 100 VMs.
	maxPeers = 256
	// maxVMRate bounds the rate at which one VM asks or serves, in tokens per second. A VM of the design target serves 30,000, and callers
	// may ask for many times as much.
	maxVMRate = 50_000_000
)

// peer is another VM of the region.
type peer struct {
	incarnation uint64
	window      window
	counts      map[Key]*count
}

// count holds the usage of one service by one workspace that a peer reports.
type count struct {
	entry      *entry
	samples    samples
	rates      rates
	reportedAt time.Time
}

// ApplyReport applies the totals that another VM of the region reports. Entries that a report omits have not changed.
func (t *Table) ApplyReport(now time.Time, vm string, incarnation uint64, usages []Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpiredPeers(now)
	p := t.peer(now, vm, incarnation)
	if p == nil {
		return
	}
	sinceLatest := now.Sub(p.window.latest)
	if sinceLatest < 0 {
		return
	}
	rotated := p.window.advance(now)
	for _, c := range p.counts {
		c.samples.add(c.samples.latest, rotated)
	}
	for _, u := range usages[:min(len(usages), maxReportEntries)] {
		t.applyUsage(now, p, u, sinceLatest)
	}
	span := p.window.span()
	for k, c := range p.counts {
		if now.Sub(c.reportedAt) > countTTL {
			c.setRates(rates{})
			c.entry.reporters--
			delete(p.counts, k)
			continue
		}
		c.setRates(c.samples.rates(span))
	}
}

// peer returns a peer, without the totals of its earlier incarnations. It is nil if there are too many.
func (t *Table) peer(now time.Time, vm string, incarnation uint64) *peer {
	if p := t.peers[vm]; p != nil {
		if p.incarnation == incarnation {
			return p
		}
		t.removePeer(vm, p)
	}
	if len(t.peers) >= maxPeers {
		return nil
	}
	p := &peer{incarnation: incarnation, window: window{base: now, middle: now, latest: now}, counts: map[Key]*count{}}
	t.peers[vm] = p
	return p
}

// applyUsage applies one entry of a report, unless its values are impossible.
func (t *Table) applyUsage(now time.Time, p *peer, u Usage, sinceLatest time.Duration) {
	v := totals{asked: u.Asked, served: u.Served}
	if min(v.asked, v.served) < 0 {
		return
	}
	k := Key{Service: u.Service, Workspace: u.Workspace}
	c := p.counts[k]
	if c == nil {
		t.addCount(now, p, k, v)
		return
	}
	// The previous report may have been delayed longer than this one, so that they arrive closer together than they were sent.
	limit := int64(maxVMRate * (sinceLatest + reportTTL).Seconds())
	for _, growth := range []int64{v.asked - c.samples.latest.asked, v.served - c.samples.latest.served} {
		if growth < 0 || growth > limit {
			return
		}
	}
	c.samples.latest, c.reportedAt = v, now
}

// addCount adds the count of a workspace that a peer reports for the first time.
func (t *Table) addCount(now time.Time, p *peer, k Key, v totals) {
	e := t.entry(k)
	if e == nil || len(p.counts) >= maxEntries {
		return
	}
	c := &count{entry: e, reportedAt: now}
	c.samples.begin(v)
	e.reporters++
	p.counts[k] = c
}

// setRates replaces the rates of a count in the sums of its entry.
func (c *count) setRates(r rates) {
	c.entry.others.asked += r.asked - c.rates.asked
	c.entry.others.served += r.served - c.rates.served
	c.rates = r
}

// removeExpiredPeers removes the peers whose latest report is older than reportTTL.
func (t *Table) removeExpiredPeers(now time.Time) {
	for vm, p := range t.peers {
		if now.Sub(p.window.latest) > reportTTL {
			t.removePeer(vm, p)
		}
	}
}

func (t *Table) removePeer(vm string, p *peer) {
	for _, c := range p.counts {
		c.setRates(rates{})
		c.entry.reporters--
	}
	delete(t.peers, vm)
}

package quota

import "time"

// regionCounts joins the counts of several VMs of another region into one. Each VM counts what its region has spent since the VM's start,
// so the counts differ by constants, and only their differences say what is new.
type regionCounts struct {
	// reports is the number of reports that have counted.
	reports   uint64
	reporters map[string]*reporter
	// spent is the joined count, by workspace.
	spent map[string]int64
}

// reporter holds the counts of one process of another region's VM.
type reporter struct {
	incarnation  uint64
	lastReportAt time.Time
	// counts holds the counts, without those that are zero once it is complete.
	counts map[string]reporterCount
	// complete is set once a report has named all workspaces. A workspace that appears later has spent nothing before.
	complete bool
}

// reporterCount is the count of a reporter for one workspace.
type reporterCount struct {
	latest int64
	// base is the count at the latest report of the region that counted, if reports is the number of that report. Otherwise latest is.
	base    int64
	reports uint64
}

// add records the next count, and returns the amount that was spent since the latest report that counted.
func (c *reporterCount) add(reports uint64, count int64) int64 {
	if c.reports != reports {
		c.base, c.reports = c.latest, reports
	}
	c.latest = count
	return max(0, c.latest-c.base)
}

// pending returns the amount that was spent since the latest report that counted, if that was the report with the number.
func (c *reporterCount) pending(reports uint64) int64 {
	if c.reports != reports {
		return 0
	}
	return max(0, c.latest-c.base)
}

// continueCounts records the counts of a VM of another region, and returns the joined counts of the region. It reports false if these
// don't change.
func (t *Table) continueCounts(now time.Time, origin Sender, reports map[string]Report) (joined map[string]Report, changed bool) {
	g := t.regions[origin.Name]
	if g == nil {
		g = &regionCounts{reporters: map[string]*reporter{}, spent: map[string]int64{}}
		t.regions[origin.Name] = g
	}
	r := g.reporters[origin.Reporter]
	if r == nil || r.incarnation != origin.Incarnation || t.isBehind(now, origin.Name, r) {
		return t.addReporter(now, g, origin, reports)
	}
	r.lastReportAt = now
	if !origin.Standby {
		joined = make(map[string]Report, len(reports))
	}
	for workspace, report := range reports {
		c, found := r.counts[workspace]
		switch {
		case !found && report.Spent == 0 && (r.complete || origin.Settled):
			continue
		case !found && !r.complete:
			c.latest = report.Spent
		}
		spent := c.add(g.reports, report.Spent)
		r.counts[workspace] = c
		if !origin.Standby {
			g.spent[workspace] += spent
			joined[workspace] = Report{Spent: g.spent[workspace]}
		}
	}
	r.complete = r.complete || origin.Settled
	if origin.Standby {
		return nil, false
	}
	g.reports++
	return joined, true
}

// isBehind reports whether nothing has come from a reporter for so long that its next counts include what others have reported meanwhile.
func (t *Table) isBehind(now time.Time, region string, r *reporter) bool {
	if p := t.peers[region]; p != nil && p.lastReportAt.Sub(r.lastReportAt) > reportTimeout {
		return true
	}
	return now.Sub(r.lastReportAt) > peerTTL
}

// addReporter records the first counts of a process, or the first ones after a gap. They only show from where it counts. If it is the
// reporter whose counts are to be used, the region has spent what another reporter has seen since the latest report that counted. Without
// one, what was charged in advance since then stays charged.
func (t *Table) addReporter(now time.Time, g *regionCounts, origin Sender, reports map[string]Report) (joined map[string]Report, changed bool) {
	g.forget(now)
	r := g.reporters[origin.Reporter]
	delete(g.reporters, origin.Reporter)
	p := t.peers[origin.Name]
	if p == nil {
		clear(g.spent)
	}
	joined = map[string]Report{}
	if !origin.Standby && p != nil {
		changed = g.countPending(p.lastReportAt, joined)
	}
	if r == nil || r.incarnation != origin.Incarnation {
		r = &reporter{incarnation: origin.Incarnation, counts: map[string]reporterCount{}}
	}
	r.lastReportAt, r.complete = now, r.complete || origin.Settled
	for workspace, report := range reports {
		if report.Spent != 0 || !r.complete {
			r.counts[workspace] = reporterCount{latest: report.Spent}
		}
		if p == nil {
			joined[workspace] = Report{Spent: g.spent[workspace]}
		}
	}
	g.reporters[origin.Reporter] = r
	if origin.Standby {
		return nil, false
	}
	g.reports++
	if p != nil && !changed {
		t.keepAdvance(now, p)
	}
	return joined, changed || p == nil
}

// countPending adds what the reporters have seen since the latest report that counted, at the given time. It reports whether one has
// reported since.
func (g *regionCounts) countPending(since time.Time, joined map[string]Report) bool {
	found := false
	for _, r := range g.reporters {
		if !r.lastReportAt.After(since) {
			continue
		}
		found = true
		for workspace, c := range r.counts {
			if spent := c.pending(g.reports); spent > 0 {
				joined[workspace] = Report{Spent: max(joined[workspace].Spent, g.spent[workspace]+spent)}
			}
		}
	}
	for workspace, report := range joined {
		g.spent[workspace] = report.Spent
	}
	return found
}

// keepAdvance ends the interval since the latest report of a peer without the amount that was spent in it.
func (t *Table) keepAdvance(now time.Time, p *peer) {
	p.lastReportAt = now
	if p.silent {
		t.endSilence(p)
	}
}

// forget removes the reporters that have been silent for long.
func (g *regionCounts) forget(now time.Time) {
	for name, r := range g.reporters {
		if now.Sub(r.lastReportAt) > peerTTL {
			delete(g.reporters, name)
		}
	}
}

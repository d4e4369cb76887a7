package member

import (
	"slices"
	"time"
)

// Targets returns the sorted slots to which this VM sends heartbeats now.
//
// In a region of up to MaxFullMeshVMs VMs these are all other VMs of the region. In a larger region
// they are the VMs of the own failure domain and one VM of each other failure domain. That VM
// differs by sender, so that the failure of one VM hides few others. Until the announcement is
// complete, the targets are all VMs of the region. In one of crossRegionRounds rounds a
// representative also sends to other regions.
func (t *Table) Targets(now time.Time) []string {
	own := t.rows[t.self]
	if own == nil {
		return nil
	}
	targets := t.peers()
	if len(targets) >= MaxFullMeshVMs && t.announcementComplete(now) {
		targets = t.partialMeshTargets(now, own, targets)
	}
	if t.sequence%crossRegionRounds == 0 || t.crossRegionRequested || t.aloneInRegion(now) {
		targets = append(targets, t.CrossRegionTargets(now)...)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// partialMeshTargets returns the targets within a large region.
func (t *Table) partialMeshTargets(now time.Time, own *Row, peers []string) []string {
	targets := t.inFailureDomain(peers, own.FailureDomain)
	domains := map[string][]string{}
	for _, slot := range peers {
		if d := t.rows[slot].FailureDomain; d != own.FailureDomain {
			domains[d] = append(domains[d], slot)
		}
	}
	for _, slots := range domains {
		targets = append(targets, t.preferLive(now, "mesh/"+t.self, slots, 1)...)
	}
	return targets
}

// CrossRegionTargets returns the targets in those other regions for which this VM is a
// representative.
func (t *Table) CrossRegionTargets(now time.Time) []string {
	home := t.region()
	regions := map[string][]string{}
	for _, slot := range t.slots {
		if r := t.rows[slot].Region; r != home {
			regions[r] = append(regions[r], slot)
		}
	}
	wanted := maxRepresentatives
	if len(regions)+1 >= manyRegions {
		wanted = 1
	}
	var targets []string
	for region, slots := range regions {
		if !slices.Contains(t.Representatives(now, home, region), t.self) {
			continue
		}
		live := t.Representatives(now, region, home)
		targets = append(targets, live...)
		if len(live) < wanted {
			targets = append(targets, probe(now, pairKey(region, home), slots))
		}
	}
	return targets
}

// preferLive returns up to n live slots. If fewer than n are live, it adds one slot to probe.
func (t *Table) preferLive(now time.Time, key string, slots []string, n int) []string {
	var live []string
	for _, slot := range Rank(key, slots) {
		if t.Alive(now, slot) && len(live) < n {
			live = append(live, slot)
		}
	}
	if len(live) < n {
		live = append(live, probe(now, key, slots))
	}
	return live
}

// probe returns another one of the slots after each HeartbeatTimeout, so that all are tried in turn
// and each gets several heartbeats.
func probe(now time.Time, key string, slots []string) string {
	turn := uint64(now.UnixNano()) / uint64(HeartbeatTimeout)
	return Rank(key, slots)[turn%uint64(len(slots))]
}

// Heartbeat returns the heartbeat to a target with the sequence number of a round. It carries views
// only within the region: all of them in a full mesh, otherwise those that shouldRelay selects.
func (t *Table) Heartbeat(now time.Time, target string, sequence uint64) Heartbeat {
	h := Heartbeat{Slot: t.self, Incarnation: t.incarnation, Sequence: sequence, Leaving: t.leaving, Ready: t.ready}
	own, targetRow := t.rows[t.self], t.rows[target]
	if own == nil || targetRow == nil || own.Region != targetRow.Region {
		return h
	}
	large := len(t.peers()) >= MaxFullMeshVMs
	for _, slot := range t.peers() {
		r := t.rows[slot]
		if slot == target || r.Incarnation.Number == 0 || (large && !shouldRelay(own, targetRow, r)) {
			continue
		}
		h.Views = append(h.Views, r.view(now))
	}
	return h
}

// shouldRelay reports whether own sends a view of r to the target in a large region. VMs of its own
// failure domain get views of the other domains, and VMs of other domains get views of its own one.
// They receive all other heartbeats directly or views of them from others.
func shouldRelay(own, target, r *Row) bool {
	if target.FailureDomain == own.FailureDomain {
		return r.FailureDomain != own.FailureDomain
	}
	return r.FailureDomain == own.FailureDomain
}

// view returns the view of a row that heartbeats carry.
func (r *Row) view(now time.Time) View {
	last := r.lastHeartbeat
	if r.lastRelayed.After(last) {
		last = r.lastRelayed
	}
	return View{Slot: r.Slot, Incarnation: r.Incarnation, Age: now.Sub(last), Leaving: r.Leaving, Ready: r.Ready}
}

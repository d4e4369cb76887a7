package member

import (
	"slices"
	"time"
)

// Targets returns the sorted slots to which this VM sends heartbeats now.
//
// In a region of up to FullMesh VMs these are all its other VMs. In a larger one they are the VMs
// of the own failure domain and one VM of each other failure domain, which differs by sender so
// that the failure of one VM hides few others. Until the announcement is complete they are all VMs
// of the region. In one of abroadRounds rounds a representative also sends to those of other regions.
func (t *Table) Targets(now time.Time) []string {
	own := t.rows[t.self]
	if own == nil {
		return nil
	}
	targets := t.peers()
	if len(targets) >= FullMesh && t.announcedBy(now) {
		targets = t.sparse(now, own, targets)
	}
	if t.sequence%abroadRounds == 0 || t.hurry || t.alone(now) {
		targets = append(targets, t.Abroad(now)...)
	}
	slices.Sort(targets)
	return slices.Compact(targets)
}

// sparse picks the targets within a large region.
func (t *Table) sparse(now time.Time, own *Row, peers []string) []string {
	targets := t.within(peers, own.FailureDomain)
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

// Abroad returns the representatives of the other regions for which this VM speaks.
func (t *Table) Abroad(now time.Time) []string {
	home := t.region()
	regions := map[string][]string{}
	for _, slot := range t.slots {
		if r := t.rows[slot].Region; r != home {
			regions[r] = append(regions[r], slot)
		}
	}
	n := maxRepresentatives
	if len(regions)+1 >= manyRegions {
		n = 1
	}
	var targets []string
	for region, slots := range regions {
		if !slices.Contains(t.Representatives(now, home, region), t.self) {
			continue
		}
		live := t.Representatives(now, region, home)
		targets = append(targets, live...)
		if len(live) < n {
			targets = append(targets, probe(now, pairKey(region, home), slots))
		}
	}
	return targets
}

// preferLive picks n slots, live ones first. If too few live, one is probed in turn.
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

// probe picks one of the slots for each DeadAfter, so that all are tried in turn and each gets
// several heartbeats.
func probe(now time.Time, key string, slots []string) string {
	turn := uint64(now.UnixNano()) / uint64(DeadAfter)
	return Rank(key, slots)[turn%uint64(len(slots))]
}

// Heartbeat returns the heartbeat of the round sequence to a target. It carries views only within
// the region: all of them in a full mesh, otherwise those that relays selects.
func (t *Table) Heartbeat(now time.Time, target string, sequence uint64) Heartbeat {
	h := Heartbeat{Slot: t.self, Incarnation: t.incarnation, Sequence: sequence, Leaving: t.leaving, Ready: t.ready}
	own, to := t.rows[t.self], t.rows[target]
	if own == nil || to == nil || own.Region != to.Region {
		return h
	}
	large := len(t.peers()) >= FullMesh
	for _, slot := range t.peers() {
		r := t.rows[slot]
		if slot == target || r.Incarnation.Number == 0 || (large && !relays(own, to, r)) {
			continue
		}
		h.Views = append(h.Views, r.view(now))
	}
	return h
}

// relays reports whether own tells the target to about r in a large region: its failure domain
// about the others, and the others about its own. The rest is heard directly or from others.
func relays(own, to, r *Row) bool {
	if to.FailureDomain == own.FailureDomain {
		return r.FailureDomain != own.FailureDomain
	}
	return r.FailureDomain == own.FailureDomain
}

// view returns what this VM tells others about a row.
func (r *Row) view(now time.Time) View {
	last := r.heard
	if r.relayed.After(last) {
		last = r.relayed
	}
	return View{Slot: r.Slot, Incarnation: r.Incarnation, Age: now.Sub(last), Leaving: r.Leaving, Ready: r.Ready}
}

package member

import "time"

const (
	// maxReaders is the number of VMs of a region that read the configuration service.
	maxReaders = 2
	// maxRepresentatives is the number of VMs of a region that talk to other regions.
	maxRepresentatives = 2
	// manyRegions is the number of regions from which one representative of each suffices, to
	// keep heartbeats within the control budget.
	manyRegions = 9
	// FullMesh is the largest region in which each VM sends heartbeats to each other one.
	FullMesh = 8
)

// Readers returns the VMs that read the configuration service for a region, the first one first.
// VMs with equal views of the region agree on it, as on all roles below.
func (t *Table) Readers(now time.Time, region string) []string {
	return t.spread(now, "config/"+region, region, maxReaders)
}

// Representatives returns the VMs that speak for a region towards another one. They differ between
// the other regions, so that the messages are spread over the VMs of the region.
func (t *Table) Representatives(now time.Time, region, other string) []string {
	n := maxRepresentatives
	if t.regionCount() >= manyRegions {
		n = 1
	}
	return t.spread(now, pairKey(region, other), region, n)
}

func pairKey(region, other string) string { return "region/" + region + "/" + other }

// Watcher returns the VM that polls an upstream: one of its failure domain, or one of its region
// if the failure domain has none. It returns nothing if the region has no live VM.
func (t *Table) Watcher(now time.Time, upstream, region, failureDomain string) string {
	all := t.serving(now, region)
	near := t.within(all, failureDomain)
	if len(near) == 0 {
		near = all
	}
	if len(near) == 0 {
		return ""
	}
	return Rank("watch/"+upstream, near)[0]
}

// spread picks at most n live VMs of a region, in different failure domains as far as possible.
func (t *Table) spread(now time.Time, key, region string, n int) []string {
	ranked := Rank(key, t.serving(now, region))
	var first, rest []string
	used := map[string]bool{}
	for _, slot := range ranked {
		domain := t.rows[slot].FailureDomain
		if used[domain] {
			rest = append(rest, slot)
			continue
		}
		used[domain] = true
		first = append(first, slot)
	}
	first = append(first, rest...)
	return first[:min(n, len(first))]
}

// serving returns the live VMs of a region that do not leave, or all live ones if all leave.
func (t *Table) serving(now time.Time, region string) []string {
	live := t.Live(now, region)
	var staying []string
	for _, slot := range live {
		if !t.rows[slot].Leaving {
			staying = append(staying, slot)
		}
	}
	if len(staying) == 0 {
		return live
	}
	return staying
}

// within keeps the slots of a failure domain.
func (t *Table) within(slots []string, failureDomain string) []string {
	var kept []string
	for _, slot := range slots {
		if t.rows[slot].FailureDomain == failureDomain {
			kept = append(kept, slot)
		}
	}
	return kept
}

// regionCount returns the number of regions of the roster.
func (t *Table) regionCount() int {
	regions := map[string]bool{}
	for _, r := range t.rows {
		regions[r.Region] = true
	}
	return len(regions)
}

package member

import "time"

const (
	// maxReaders is the number of VMs of a region that read the configuration service.
	maxReaders = 2
	// maxRepresentatives is the number of VMs of a region that exchange messages with another region.
	maxRepresentatives = 2
	// manyRegions is the number of regions from which each region has one representative, to keep
	// heartbeats within the budget for control traffic.
	manyRegions = 9
	// MaxFullMeshVMs is the size of the largest region in which each VM sends heartbeats to every
	// other one.
	MaxFullMeshVMs = 8
)

// ConfigReaders returns the VMs that read the configuration service for a region, in order of preference.
// VMs with equal views of the region compute the same result, as for all roles below.
func (t *Table) ConfigReaders(now time.Time, region string) []string {
	return t.selectAcrossDomains(now, "config/"+region, region, maxReaders)
}

// Representatives returns the VMs that exchange messages with another region on behalf of a region.
// They differ between the other regions, which spreads the messages over the VMs of the region.
func (t *Table) Representatives(now time.Time, region, other string) []string {
	n := maxRepresentatives
	if t.regionCount() >= manyRegions {
		n = 1
	}
	return t.selectAcrossDomains(now, pairKey(region, other), region, n)
}

func pairKey(region, other string) string { return "region/" + region + "/" + other }

// Watcher returns the VM that polls an upstream: one in its failure domain, or one in its region if
// the failure domain has none. It returns an empty string if the region has no live VM.
func (t *Table) Watcher(now time.Time, upstream, region, failureDomain string) string {
	candidates := t.roleCandidates(now, region)
	sameDomain := t.inFailureDomain(candidates, failureDomain)
	if len(sameDomain) == 0 {
		sameDomain = candidates
	}
	if len(sameDomain) == 0 {
		return ""
	}
	return Rank("watch/"+upstream, sameDomain)[0]
}

// selectAcrossDomains selects at most n live VMs of a region, in different failure domains as far
// as possible.
func (t *Table) selectAcrossDomains(now time.Time, key, region string, n int) []string {
	ranked := Rank(key, t.roleCandidates(now, region))
	var picked, repeated []string
	usedDomains := map[string]bool{}
	for _, slot := range ranked {
		domain := t.rows[slot].FailureDomain
		if usedDomains[domain] {
			repeated = append(repeated, slot)
			continue
		}
		usedDomains[domain] = true
		picked = append(picked, slot)
	}
	picked = append(picked, repeated...)
	return picked[:min(n, len(picked))]
}

// roleCandidates returns the live VMs of a region that are not leaving, or all live ones if all are
// leaving.
func (t *Table) roleCandidates(now time.Time, region string) []string {
	live := t.LiveSlots(now, region)
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

// inFailureDomain returns those of the slots that are in a failure domain.
func (t *Table) inFailureDomain(slots []string, failureDomain string) []string {
	var kept []string
	for _, slot := range slots {
		if t.rows[slot].FailureDomain == failureDomain {
			kept = append(kept, slot)
		}
	}
	return kept
}

// regionCount returns the number of regions in the roster.
func (t *Table) regionCount() int {
	regions := map[string]bool{}
	for _, r := range t.rows {
		regions[r.Region] = true
	}
	return len(regions)
}

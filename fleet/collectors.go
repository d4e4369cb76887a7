package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// collectorCount is the number of VMs of a region that collect load reports. The first one sends the sums, and
	// the second one replaces it if it is lost.
	collectorCount = 2
	// collectorsInterval is the interval at which the collectors are chosen.
	collectorsInterval = 500 * time.Millisecond
)

// collectors returns the VMs of this region that collect load reports, the one that sends the sums first. They are the
// ready VMs with the largest weight, in different failure domains if there are several. All VMs compute the same list from
// the presences that they have received.
func (f *Fleet) collectors(now time.Time) []string {
	candidates := f.ReadyMembers(now, f.Endpoint.Self.Region)
	if own, ready := f.ownMember(); ready {
		candidates = append(candidates, own)
	}
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Slot, b.Slot))
	})
	var chosen []Member
	for len(chosen) < collectorCount && len(chosen) < len(candidates) {
		chosen = append(chosen, nextCollector(candidates, chosen))
	}
	names := make([]string, len(chosen))
	for i, m := range chosen {
		names[i] = m.Slot
	}
	return names
}

// nextCollector returns the first candidate that is not chosen yet, in a failure domain without a chosen one if possible.
func nextCollector(candidates, chosen []Member) Member {
	var next *Member
	for i := range candidates {
		c := &candidates[i]
		if slices.ContainsFunc(chosen, func(m Member) bool { return m.Slot == c.Slot }) {
			continue
		}
		sameDomain := slices.ContainsFunc(chosen, func(m Member) bool { return m.FailureDomain == c.FailureDomain })
		if !sameDomain {
			return *c
		}
		if next == nil {
			next = c
		}
	}
	return *next
}

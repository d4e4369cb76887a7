package edge

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"parsleyhatch/route"
)

// noRegion returns the detail of a refusal because no region is left: why the upstreams of this region and the other regions are excluded.
func (e *Edge) noRegion(now time.Time, r *request) string {
	reasons := []string{"no region that may run the request has a usable upstream"}
	if route.Allowed(r.route, r.workspace, e.Settings.Region) {
		reasons = append(reasons, "upstreams here: "+joinCounts(e.Replicas.Exclusions(now, e.replicaRequest(r))))
	}
	if !r.forwarded {
		reasons = append(reasons, "other regions: "+joinCounts(e.excludedRegions(now, r)))
	}
	return strings.Join(reasons, "; ")
}

// excludedRegions returns the number of other regions in which the request may run that are excluded for each reason.
func (e *Edge) excludedRegions(now time.Time, r *request) map[string]int {
	ready := e.Fleet.Regions(now)
	counts := map[string]int{}
	for _, region := range e.regionNames() {
		if e.isRemoteTarget(r, region) {
			counts[e.regionExclusion(r, region, ready)]++
		}
	}
	return counts
}

// regionNames returns the names of all regions, sorted.
func (e *Edge) regionNames() []string {
	return slices.Compact(slices.Sorted(maps.Values(e.Settings.Regions)))
}

// regionExclusion returns the reason why another region, in which the request may run, is no candidate. ready lists the regions with a
// ready VM.
func (e *Edge) regionExclusion(r *request, region string, ready []string) string {
	switch {
	case !slices.Contains(ready, region):
		return "without a ready vm"
	case slices.Contains(r.triedRegions, region):
		return "already tried"
	case !e.hasBoundVersion(r, region):
		return "without the version"
	default:
		return "without a reported usable upstream"
	}
}

// joinCounts returns counts by reason as text.
func joinCounts[R ~string](counts map[R]int) string {
	if len(counts) == 0 {
		return "none"
	}
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%d %s", counts[reason], reason))
	}
	return strings.Join(list, ", ")
}

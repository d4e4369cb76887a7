package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"parsleyhatch/place"
	"parsleyhatch/route"
)

// choose returns the region that is expected to answer first, or no region and a refusal.
func (e *Edge) choose(now time.Time, r *request) (string, Outcome) {
	best, ok := e.bestRegion(now, r)
	if !ok && r.held != nil {
		r.lastResort = true
		best, ok = e.bestRegion(now, r)
	}
	if !ok {
		return "", refuse(NoUpstream, "no region that may run the request has a usable upstream", refusalPause)
	}
	r.cost = best.Wait
	// A stream that has begun goes on wherever it is soonest; the VM that its caller is connected to knows.
	if limit := r.limit(); best.Wait > limit && (!r.headSent || r.forwarded) {
		return "", refuse(Overloaded, "the first answer is expected too late", place.ComeBack(best.Wait-limit, rand.Float64()))
	}
	return best.Region, Outcome{}
}

// bestRegion compares the regions that may run the request. A forwarded request stays.
func (e *Edge) bestRegion(now time.Time, r *request) (place.Choice, bool) {
	var regions []place.Region
	if here, ok := e.regionHere(now, r); ok {
		regions = append(regions, here)
	}
	if !r.forwarded {
		regions = append(regions, e.otherRegions(now, r, false)...)
	}
	if len(regions) == 0 && len(r.triedRegions) > 0 {
		regions = e.otherRegions(now, r, true)
	}
	return place.Best(regions, place.Request{Home: e.homeOf(r), Tokens: r.prompt.Tokens, SharedTokens: r.prompt.SharedTokens()})
}

func (e *Edge) regionHere(now time.Time, r *request) (place.Region, bool) {
	if !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return place.Region{}, false
	}
	pick, ok := e.Replicas.Estimate(now, r.choice())
	r.inputs = pick.Inputs
	return place.Region{
		Name: e.Settings.Region, Here: true, Wait: pick.FirstToken, Penalty: pick.Wait - pick.FirstToken,
	}, ok
}

// otherRegions returns the other regions of which there is recent news: those that did not get the request yet, or
// those that did.
func (e *Edge) otherRegions(now time.Time, r *request, tried bool) []place.Region {
	var regions []place.Region
	for _, region := range e.Fleet.Regions(now) {
		if region == e.Settings.Region || !route.Allowed(r.route, r.workspace, region) {
			continue
		}
		if slices.Contains(r.triedRegions, region) != tried {
			continue
		}
		wait, heardAt, ok := e.Fleet.WaitIn(now, region, r.service.Name, r.rank())
		if !ok {
			continue
		}
		key := place.Key{Service: r.service.Name, Region: region}
		report := place.Report{Wait: wait, HeardAt: heardAt, Replicas: e.Source.Replicated(key.Service, region)}
		regions = append(regions, place.Region{
			Name: region, Wait: wait, Queued: e.sent.Queued(now, key, report, e.Fleet.Sharers(now)),
		})
	}
	return regions
}

// homeOf returns the region at which requests with the same shared parts are brought together, or "".
func (e *Edge) homeOf(r *request) string {
	key, ok := r.prompt.AffinityPart(func(uint64) bool { return true })
	if !ok {
		return ""
	}
	capacity := map[string]int{}
	for region, slots := range e.Source.Capacity(r.service.Name) {
		if route.Allowed(r.route, r.workspace, region) {
			capacity[region] = slots
		}
	}
	return place.Home(key, capacity)
}

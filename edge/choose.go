package edge

import (
	"sync"
	"time"

	"parsleyhatch/place"
	"parsleyhatch/replica"
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
	if limit := r.limit(); best.Wait > limit && !r.headSent {
		return "", refuse(Overloaded, "the first answer is expected too late", place.ComeBack(best.Wait-limit))
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
		regions = e.otherRegions(now, r, regions)
	}
	return place.Best(regions, place.Request{Home: e.homeOf(r), Tokens: r.prompt.Tokens, SharedTokens: r.prompt.SharedTokens()})
}

func (e *Edge) regionHere(now time.Time, r *request) (place.Region, bool) {
	if !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return place.Region{}, false
	}
	pick, ok := e.Replicas.Estimate(now, r.choice())
	return place.Region{
		Name: e.Settings.Region, Here: true, Wait: pick.FirstToken, Penalty: pick.Wait - pick.FirstToken,
	}, ok
}

// otherRegions adds the other regions of which there is recent news.
func (e *Edge) otherRegions(now time.Time, r *request, regions []place.Region) []place.Region {
	for _, region := range e.Fleet.Regions(now) {
		if region == e.Settings.Region || !route.Allowed(r.route, r.workspace, region) {
			continue
		}
		wait, ok := e.Fleet.CostIn(now, region, r.service.Name)
		if !ok {
			continue
		}
		regions = append(regions, place.Region{Name: region, Wait: wait, Queued: e.queuedAway(r.service.Name, region)})
	}
	return regions
}

// awayKey names a service in another region.
type awayKey struct{ service, region string }

// awayLoad counts the prompt tokens of forwarded requests that have no first event yet. The other region's
// reports show them only later, and then all VMs at once.
type awayLoad struct {
	mu     sync.Mutex
	tokens map[awayKey]int64
}

func (l *awayLoad) add(k awayKey, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[k] += tokens
	if l.tokens[k] == 0 {
		delete(l.tokens, k)
	}
}

// queuedAway is the time that reading the prompts takes which the VMs of this region have sent to a service
// of another region, if each has sent as much as this one.
func (e *Edge) queuedAway(service, region string) time.Duration {
	e.away.mu.Lock()
	tokens := e.away.tokens[awayKey{service, region}]
	e.away.mu.Unlock()
	replicas := e.Source.Replicated(service, region)
	if tokens == 0 || replicas == 0 {
		return 0
	}
	return replica.ReadTime(tokens*int64(e.Fleet.Sharers(e.Now()))) / time.Duration(replicas)
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

package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/place"
	"parsleyhatch/route"
)

// chooseRegion returns the region with the lowest cost, or an empty name and a refusal. If no region has an
// untried upstream but an upstream has answered with a failure, upstreams that were tried before are allowed.
func (e *Edge) chooseRegion(now time.Time, r *request) (string, Outcome) {
	best, ok := e.bestRegion(now, r)
	if !ok && r.failedAnswer != nil {
		r.allowTried = true
		best, ok = e.bestRegion(now, r)
	}
	if !ok {
		return "", refuse(NoUpstream, e.noRegion(now, r), defaultRetryAfter)
	}
	r.expectedWait = best.Wait
	// A stream that has started is not refused here: it resumes at the region with the shortest wait. If it was
	// forwarded, the limit applies, since the VM that the caller is connected to can choose another region.
	if maxExpectedWait := e.maxExpectedWait(now, r); best.Wait > maxExpectedWait && (!r.headSent || r.forwarded) {
		return "", refuse(Overloaded, "the first answer is expected too late", place.RetryAfter(best.Wait-maxExpectedWait, rand.Float64()))
	}
	if best.Full && !r.headSent {
		return "", refuse(Overloaded, fullDetail(r.limit), place.RetryAfter(0, rand.Float64()))
	}
	return best.Region, Outcome{}
}

// fullDetail explains a refusal for lack of room. Without a limit, this region may not run the request, and the others have no room.
func fullDetail(limit contention.Limit) string {
	if limit == contention.None {
		return "no region has room"
	}
	return "no upstream has room: " + string(limit)
}

// delayReturn names the time from which an upstream may want requests again in a refusal, if none does before that.
func (e *Edge) delayReturn(now time.Time, r *request, out Outcome) Outcome {
	noUpstream := out.Reason == NoUpstream || out.Reason == UpstreamRefused
	if !noUpstream || out.Ran != NotRun || !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return out
	}
	if !r.forwarded && len(e.remoteRegions(now, r, false)) > 0 {
		return out
	}
	held := e.Replicas.HeldBackFor(now, r.service.Name)
	if after, ok := place.ReturnAfter(held, r.remaining(time.Now()), rand.Float64()); ok {
		out.RetryAfter = after
	}
	return out
}

// bestRegion compares the regions that may run the request. A forwarded request stays in this region.
func (e *Edge) bestRegion(now time.Time, r *request) (place.Choice, bool) {
	e.settleVersion(now, r)
	return place.Best(e.candidateRegions(now, r), e.placeRequest(r))
}

// placeRequest returns the properties of the request that determine the choice of a region.
func (e *Edge) placeRequest(r *request) place.Request {
	return place.Request{
		HomeRegion: e.affinityRegion(r), Tokens: r.prompt.Tokens, SharedTokens: r.prompt.SharedTokens(), Speed: e.Replicas.Speed(r.service.Name),
	}
}

// candidateRegions returns the regions that may run the request now.
func (e *Edge) candidateRegions(now time.Time, r *request) []place.Region {
	var regions []place.Region
	if here, ok := e.localRegion(now, r); ok {
		regions = append(regions, here)
	}
	if !r.forwarded {
		regions = append(regions, e.remoteRegions(now, r, false)...)
	}
	if len(regions) == 0 && len(r.triedRegions) > 0 {
		regions = e.remoteRegions(now, r, true)
	}
	return regions
}

// localRegion returns this region, if its upstreams can run the request. A VM that cannot reach them sends the request through
// another VM of the region.
func (e *Edge) localRegion(now time.Time, r *request) (place.Region, bool) {
	if !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return place.Region{}, false
	}
	q := e.replicaRequest(r)
	pick, ok := e.Replicas.Estimate(now, q)
	r.throughOthers, r.limit = false, contention.None
	// Without an eligible upstream, another VM helps only if it may reach more of them than this one.
	if cut := e.Replicas.IsCut(r.service.Name); cut || !ok && e.Replicas.IsImpaired(now, r.service) {
		if r.forwarded || !e.Fleet.HasLocalRunner(now, r.service.Name, r.failedVMs) {
			return place.Region{}, false
		}
		q.ThroughOthers, r.throughOthers = true, true
		pick, ok = e.Replicas.Estimate(now, q)
	}
	r.inputs, r.limit = pick.LoadInputs, pick.Limit
	return place.Region{
		Name: e.Settings.Region, Local: true, Wait: pick.FirstToken, Penalty: pick.Wait - pick.FirstToken, Full: pick.Limit != contention.None,
	}, ok
}

// remoteRegions returns the other regions with a recent report. If tried is set, it returns only those that the
// request was already sent to, otherwise only those that it was not.
func (e *Edge) remoteRegions(now time.Time, r *request, tried bool) []place.Region {
	var regions []place.Region
	speed, needsRoom := e.Replicas.Speed(r.service.Name), e.streamOf(r).Events > 0
	expectedWait := e.waitReports(now, r.service.Name)
	for _, region := range e.Fleet.Regions(now) {
		if !e.isRemoteTarget(r, region) || slices.Contains(r.triedRegions, region) != tried || !e.hasBoundVersion(r, region) {
			continue
		}
		wait, presenceAt, ok := expectedWait(now, region, r.service.Name, r.rank())
		if !ok {
			continue
		}
		key := place.ServiceKey{Service: r.service.Name, Region: region}
		report := place.Report{Wait: wait, ReceivedAt: presenceAt, Replicas: e.Watcher.UpstreamCount(key.Service, region), Speed: speed}
		regions = append(regions, place.Region{
			Name: region, Wait: wait, Queued: e.forwards.Queued(now, key, report, float64(e.othersLoad.Load())/hundredth),
			Full: needsRoom && !e.Fleet.HasRoom(now, region, r.service.Name, routeRank(r.route)),
		})
	}
	return regions
}

// waitReports returns the function that looks up the expected time to the first token that another region has reported for a service and a
// rank, and the time of the report.
func (e *Edge) waitReports(now time.Time, service string) func(time.Time, string, string, int) (time.Duration, time.Time, bool) {
	if e.isRegionCut(now, service) {
		return e.Fleet.ExpectedWaitOnceRoom
	}
	return e.Fleet.ExpectedWait
}

// isRegionCut reports whether this VM and at least half of the VMs of its region are cut from the upstreams of a service. Another region
// whose upstreams are full is then a destination: its own callers find room there now and then, too.
func (e *Edge) isRegionCut(now time.Time, service string) bool {
	if !e.Replicas.IsCut(service) {
		return false
	}
	cut, reaching := 1, 0
	for _, m := range e.Fleet.ReadyMembers(now, e.Settings.Region) {
		if slices.Contains(m.CutServices, service) {
			cut++
		} else {
			reaching++
		}
	}
	return cut >= reaching
}

// isRemoteTarget reports whether a region is another one in which the request may run.
func (e *Edge) isRemoteTarget(r *request, region string) bool {
	return region != e.Settings.Region && route.Allowed(r.route, r.workspace, region)
}

// hasBoundVersion reports whether a region may have an upstream of the version to which the request is bound, if it is.
func (e *Edge) hasBoundVersion(r *request, region string) bool {
	return !r.streamVersion.bound || e.Watcher.HasVersion(r.service.Name, region, r.streamVersion.version)
}

// affinityRegion returns the region to which requests with the same shared prompt parts are routed, or "".
func (e *Edge) affinityRegion(r *request) string {
	key, ok := r.prompt.AffinityPart(func(uint64) bool { return true })
	if !ok {
		return ""
	}
	capacity := map[string]int{}
	for region, slots := range e.Watcher.Capacity(r.service.Name) {
		if route.Allowed(r.route, r.workspace, region) {
			capacity[region] = slots
		}
	}
	return place.HomeRegion(key, capacity)
}

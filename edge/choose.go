package edge

import (
	"math"
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/route"
)

const (
	// linkCost is the time that a request and the first event of its answer take between two regions, and
	// awayMargin the advantage that another region must have, since what is known of it is older.
	linkCost   = 120 * time.Millisecond
	awayMargin = 150 * time.Millisecond
	// sharedTokenCost is what counts for each shared token of a prompt that is read outside the region at
	// which requests with this beginning are brought together. It is about three times the time that
	// reading it takes, since a token that is read twice costs capacity in two regions.
	sharedTokenCost = 50 * time.Microsecond
)

// choose returns the region that is expected to answer first, or no region and a refusal.
func (e *Edge) choose(now time.Time, r *request) (string, Outcome) {
	best, cost := "", time.Duration(0)
	home := e.affineRegion(r)
	if route.Allowed(r.route, r.workspace, e.Settings.Region) {
		if pick, ok := e.Replicas.Estimate(now, r.choice()); ok {
			best, cost = e.Settings.Region, pick.Wait+r.sharedCost(e.Settings.Region, home)
		}
	}
	if !r.forwarded {
		best, cost = e.chooseAway(now, r, home, best, cost)
	}
	if best == "" {
		return "", refuse(NoUpstream, "no region that may run the request has a usable upstream", refusalPause)
	}
	r.cost = cost
	if limit := r.patience(); cost > limit && !r.headSent {
		return "", refuse(Overloaded, "the first answer is expected too late", cost-limit/2)
	}
	return best, Outcome{}
}

// chooseAway compares the other regions with the best one so far.
func (e *Edge) chooseAway(now time.Time, r *request, home, best string, cost time.Duration) (string, time.Duration) {
	for _, region := range e.Fleet.Regions(now) {
		if region == e.Settings.Region || !route.Allowed(r.route, r.workspace, region) {
			continue
		}
		away, ok := e.Fleet.CostIn(now, region, r.service.Name)
		if !ok {
			continue
		}
		away += linkCost + r.sharedCost(region, home)
		if best == e.Settings.Region && region != home {
			away += awayMargin
		}
		if best == "" || away < cost {
			best, cost = region, away
		}
	}
	return best, cost
}

// sharedCost is what counts for reading the shared parts of the prompt outside their region.
func (r *request) sharedCost(region, home string) time.Duration {
	if home == "" || region == home {
		return 0
	}
	return time.Duration(r.prompt.SharedTokens()) * sharedTokenCost
}

// affineRegion returns the region at which requests with the same shared parts are brought together, by
// rendezvous hashing weighted by capacity, so that all VMs agree without a message.
func (e *Edge) affineRegion(r *request) string {
	key, ok := r.prompt.AffinityPart(func(uint64) bool { return true })
	if !ok {
		return ""
	}
	best, highest := "", math.Inf(-1)
	for region, slots := range e.Source.Capacity(r.service.Name) {
		if slots == 0 || !route.Allowed(r.route, r.workspace, region) {
			continue
		}
		// The logarithm of a uniform number, divided by the weight, is highest with a probability
		// in proportion to the weight.
		uniform := (float64(replica.Rendezvous(key, region)>>11) + 0.5) / (1 << 53)
		if score := math.Log(uniform) / float64(slots); score > highest {
			best, highest = region, score
		}
	}
	return best
}

package edge

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/route"
)

const (
	// linkCost is the time that a request and the first event of its answer take between two regions: two
	// crossings of 55 ms, and some processing. awayMargin is the advantage that another region
	// must have, since what is known of it is older.
	linkCost   = 120 * time.Millisecond
	awayMargin = 150 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller that was refused for load may come back.
	minRetryAfter = 400 * time.Millisecond
	// sharedTokenCost is what counts for each shared token of a prompt that is read outside the region at
	// which requests with this beginning are brought together. It is about six times the time that
	// reading it takes, since a token that is read twice costs capacity in two regions.
	sharedTokenCost = 100 * time.Microsecond
)

// place is a region that may answer a request.
type place struct {
	region string
	// wait is the expected time to the first answer, and cost the same with what reading the shared parts
	// of the prompt there takes from others.
	wait time.Duration
	cost time.Duration
}

// choose returns the region that is expected to answer first, or no region and a refusal.
func (e *Edge) choose(now time.Time, r *request) (string, Outcome) {
	best := e.bestPlace(now, r)
	if best.region == "" && r.held != nil {
		r.lastResort = true
		best = e.bestPlace(now, r)
	}
	if best.region == "" {
		return "", refuse(NoUpstream, "no region that may run the request has a usable upstream", refusalPause)
	}
	r.cost = best.wait
	if limit := r.limit(); best.wait > limit && !r.headSent {
		return "", refuse(Overloaded, "the first answer is expected too late", comeBack(best.wait-limit))
	}
	return best.region, Outcome{}
}

// comeBack returns the time after which a refused caller should come back: when the queue has shrunk, spread
// so that those who were refused together do not return together.
func comeBack(excess time.Duration) time.Duration {
	after := max(minRetryAfter, 2*excess)
	return after + rand.N(after)
}

func (e *Edge) bestPlace(now time.Time, r *request) place {
	home := e.affineRegion(r)
	best := e.placeHere(now, r, home)
	if r.forwarded {
		return best
	}
	return e.placeAway(now, r, home, best)
}

func (e *Edge) placeHere(now time.Time, r *request, home string) place {
	if !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return place{}
	}
	pick, ok := e.Replicas.Estimate(now, r.choice())
	if !ok {
		return place{}
	}
	here := e.Settings.Region
	return place{region: here, wait: pick.FirstToken, cost: pick.Wait + r.sharedCost(here, home)}
}

// placeAway compares the other regions with the best one so far.
func (e *Edge) placeAway(now time.Time, r *request, home string, best place) place {
	for _, region := range e.Fleet.Regions(now) {
		if region == e.Settings.Region || !route.Allowed(r.route, r.workspace, region) {
			continue
		}
		wait, ok := e.Fleet.CostIn(now, region, r.service.Name)
		if !ok {
			continue
		}
		p := place{region: region, wait: wait + linkCost + e.queuedAway(r.service.Name, region)}
		p.cost = p.wait + r.sharedCost(region, home)
		if best.region == e.Settings.Region && region != home {
			p.cost += awayMargin
		}
		if best.region == "" || p.cost < best.cost {
			best = p
		}
	}
	return best
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

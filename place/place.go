// Package place decides which region answers a request, and when a request is refused because no region
// can answer it in time. It keeps no state and does no input or output.
package place

import (
	"math"
	"time"

	"parsleyhatch/replica"
)

const (
	// LinkCost is the time that a request and the first event of its answer take between two regions: two
	// crossings of 55 ms, and some processing.
	LinkCost = 120 * time.Millisecond
	// awayMargin is the advantage that another region must have, since what is known of it is older.
	awayMargin = 30 * time.Millisecond
	// sharedTokenCost is what counts for each shared token of a prompt that is read outside the region at
	// which requests with this beginning are brought together. It is about six times the time that
	// reading it takes, since a token that is read twice costs capacity in two regions.
	sharedTokenCost = 100 * time.Microsecond
	// admitShare is the expected time to the first event, in multiples of the latency objective, beyond
	// which a stream is refused: it would take the place of one that can be in time.
	admitShare = 1.0
	// minRetryAfter is the shortest time after which a caller that was refused for load may come back.
	minRetryAfter = 400 * time.Millisecond
)

// Region is what is known of a region that may run a request.
type Region struct {
	Name string
	// Here says that the deciding VM is in the region.
	Here bool
	// Wait is the expected time to the first answer there: that of the request here, that of an empty prompt in
	// another region, without the way.
	Wait time.Duration
	// Penalty is what counts beside it, such as for failures.
	Penalty time.Duration
	// Queued is the time for the work that was sent there and that Wait does not include yet.
	Queued time.Duration
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Home is the region at which requests with the same shared parts are brought together, or empty.
	Home string
	// Tokens is the length of the prompt, and SharedTokens the part that other requests have, too.
	Tokens       int64
	SharedTokens int64
}

// Choice is a region with the expected time to the first answer.
type Choice struct {
	Region string
	Wait   time.Duration
	// Cost is Wait with what the choice takes from other requests.
	Cost time.Duration
}

// Best returns the region with the lowest cost. It reports false if there is none.
func Best(regions []Region, q Request) (Choice, bool) {
	var best Choice
	found, foundHere := false, false
	for _, g := range regions {
		c := choice(g, q)
		if foundHere && g.Name != q.Home {
			c.Cost += awayMargin
		}
		if !found || c.Cost < best.Cost {
			best, found = c, true
			foundHere = g.Here
		}
	}
	return best, found
}

func choice(g Region, q Request) Choice {
	c := Choice{Region: g.Name, Wait: g.Wait}
	if !g.Here {
		c.Wait += LinkCost + g.Queued + readTime(g, q)
	}
	c.Cost = c.Wait + g.Penalty
	if q.Home != "" && g.Name != q.Home {
		c.Cost += time.Duration(q.SharedTokens) * sharedTokenCost
	}
	return c
}

// readTime is the time for reading the prompt in another region, which has its shared parts if it is their home.
func readTime(g Region, q Request) time.Duration {
	if g.Name == q.Home {
		return replica.ReadTime(q.Tokens - q.SharedTokens)
	}
	return replica.ReadTime(q.Tokens)
}

// Home returns the region at which requests with the same shared parts are brought together, by
// rendezvous hashing weighted by capacity, so that all VMs agree without a message. capacity is the number
// of slots of each region that may run them; the result is empty if there is none.
func Home(key uint64, capacity map[string]int) string {
	best, highest := "", math.Inf(-1)
	for region, slots := range capacity {
		if slots <= 0 {
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

// Limit returns the expected time to the first answer beyond which a request is refused. left is the time
// until the deadline, target the latency objective of a stream, or zero, and alone the expected time on an idle
// upstream. A request that can't meet its objective even there is answered late where little is ahead of it.
func Limit(left, target, alone time.Duration) time.Duration {
	if target <= 0 {
		return left
	}
	limit := time.Duration(admitShare * float64(target))
	if alone > limit {
		limit += alone
	}
	return min(left, limit)
}

// ComeBack returns the time after which a refused caller should come back: when the queue has shrunk, spread
// so that those who were refused together do not return together. excess is the expected time beyond the limit,
// and spread a random number from 0 to 1.
func ComeBack(excess time.Duration, spread float64) time.Duration {
	after := max(minRetryAfter, 2*excess)
	return after + time.Duration(spread*float64(after))
}

// Package place decides which region answers a request, and when a request is refused because no region can
// answer it in time. It has no state and performs no input or output.
package place

import (
	"math"
	"time"

	"parsleyhatch/replica"
)

const (
	// LinkDelay is the time that a request and the first event of its answer take between two regions: two
	// one-way delays of 55 ms, and processing.
	LinkDelay = 120 * time.Millisecond
	// remoteMargin is the advantage that another region must have, since its reported state is older than the
	// local one.
	remoteMargin = 30 * time.Millisecond
	// sharedTokenCost is the penalty for each shared token of a prompt that is processed outside its home
	// region. It is about six times the time for processing the token, since a token that is processed twice
	// takes capacity in two regions.
	sharedTokenCost = 100 * time.Microsecond
	// maxLatencyFactor is the expected time to the first event, in multiples of the latency objective, above
	// which a stream is refused: it would displace one that can meet its objective. Of the streams at the limit
	// about half take longer than expected.
	maxLatencyFactor = 0.85
	// fullCost is the penalty of a region without room. It exceeds all other costs, so that such a region is chosen only if no other has room.
	fullCost = time.Hour
	// minRetryAfter is the shortest retry delay of a caller that was refused because of load.
	minRetryAfter = 400 * time.Millisecond
)

// Region is the known state of a region that may run a request.
type Region struct {
	Name string
	// Local is set if the deciding VM is in the region.
	Local bool
	// Wait is the expected time to the first answer, without the network delay. It is that of the request
	// itself in the local region, and that of an empty prompt in another one.
	Wait time.Duration
	// Penalty is added to the cost of the region, for example for failures.
	Penalty time.Duration
	// Queued is the time for work that was sent to the region and is not included in Wait yet.
	Queued time.Duration
	// Full is set if no upstream of the region has room for the request now. It is chosen only if no other region has.
	Full bool
}

// Request holds the properties of a request that determine the choice of a region.
type Request struct {
	// HomeRegion is the region to which requests with the same shared parts are sent, or empty.
	HomeRegion string
	// Tokens is the length of the prompt, and SharedTokens the number of its tokens that other requests
	// share.
	Tokens       int64
	SharedTokens int64
	// Speed is the number of prompt tokens that an upstream processes in a millisecond, above zero.
	Speed float64
}

// Choice is a region with its expected time to the first answer.
type Choice struct {
	Region string
	Wait   time.Duration
	// Cost is Wait plus the penalties of the region and for the capacity taken from other requests.
	Cost time.Duration
	// Full is that of the region.
	Full bool
}

// Best returns the region with the lowest cost. It returns false if there is no region.
func Best(regions []Region, q Request) (Choice, bool) {
	var best Choice
	found, foundLocal := false, false
	for _, g := range regions {
		c := Weigh(g, q)
		if foundLocal && g.Name != q.HomeRegion {
			c.Cost += remoteMargin
		}
		if !found || c.Cost < best.Cost {
			best, found = c, true
			foundLocal = g.Local
		}
	}
	return best, found
}

// Weigh returns the expected time and the cost of a region for a request, without remoteMargin, which Best adds to other
// regions than the own one.
func Weigh(g Region, q Request) Choice {
	c := Choice{Region: g.Name, Wait: g.Wait, Full: g.Full}
	if !g.Local {
		c.Wait += LinkDelay + g.Queued + remoteReadTime(g, q)
	}
	c.Cost = c.Wait + g.Penalty
	if g.Full {
		c.Cost += fullCost
	}
	if q.HomeRegion != "" && g.Name != q.HomeRegion {
		c.Cost += time.Duration(q.SharedTokens) * sharedTokenCost
	}
	return c
}

// remoteReadTime returns the time for processing the prompt in another region. The shared parts are cached
// there if the region is their home.
func remoteReadTime(g Region, q Request) time.Duration {
	if g.Name == q.HomeRegion {
		return replica.PrefillTime(q.Tokens-q.SharedTokens, q.Speed)
	}
	return replica.PrefillTime(q.Tokens, q.Speed)
}

// HomeRegion returns the region to which requests with the same shared parts are sent. It uses rendezvous
// hashing weighted by capacity, so that all VMs agree without exchanging messages. capacity is the number of slots of
// each region that may run the requests. The result is empty if there is no capacity.
func HomeRegion(key uint64, capacity map[string]int) string {
	best, highest := "", math.Inf(-1)
	for region, slots := range capacity {
		if slots <= 0 {
			continue
		}
		// The logarithm of a uniform random number, divided by the weight, is highest with a probability
		// proportional to the weight.
		uniform := (float64(replica.RendezvousWeight(key, region)>>11) + 0.5) / (1 << 53)
		if score := math.Log(uniform) / float64(slots); score > highest {
			best, highest = region, score
		}
	}
	return best
}

// MaxWait returns the expected time to the first answer above which a request is refused. left is the time
// until the deadline, target the latency objective of a stream, or zero, and alone the expected time on an
// idle upstream. A request that can't meet its objective even on an idle upstream is accepted, and answered
// late, if the load ahead of it is low.
func MaxWait(left, target, alone time.Duration) time.Duration {
	if target <= 0 {
		return left
	}
	limit := time.Duration(maxLatencyFactor * float64(target))
	if alone > limit {
		limit += alone
	}
	return min(left, limit)
}

// ReturnAfter returns the retry delay of a caller that is refused because no upstream wants requests for the time held. It has jitter
// over half of the time in which VMs fill such upstreams again. It returns false if the caller's deadline, remaining from now, passes
// before. spread is a random number from 0 to 1.
func ReturnAfter(held, remaining time.Duration, spread float64) (time.Duration, bool) {
	if held <= 0 || held >= remaining {
		return 0, false
	}
	return held + time.Duration(spread*float64(min(replica.ReturnTime/2, remaining-held))), true
}

// RetryAfter returns the retry delay of a refused caller. It covers the time in which the queue shrinks, with
// jitter so that callers refused at the same time do not return together. excess is the expected time above
// the limit, and spread a random number from 0 to 1.
func RetryAfter(excess time.Duration, spread float64) time.Duration {
	after := max(minRetryAfter, 2*excess)
	return after + time.Duration(spread*float64(after))
}

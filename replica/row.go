// Package replica keeps the upstreams of a region as a table of entities, and chooses the one that
// answers a request soonest.
package replica

import (
	"math"
	"time"
)

// Entry is the registration of an upstream.
type Entry struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	Slots         int
	Draining      bool
	// ColdFor is the time for which the upstream stays cold, as of the registration.
	ColdFor time.Duration
	// Born is the start of the upstream in Unix milliseconds; another value is another lifetime.
	Born int64
}

// Ranks is the number of urgencies that are told apart; the last one is for all that are less urgent.
const Ranks = 3

// Rank returns the urgency of a priority, from 0, the most urgent, to Ranks-1.
func Rank(priority int) int { return min(max(priority, 0), Ranks-1) }

// Use is what one VM has running at an upstream.
type Use struct {
	Running int
	// Prefill is the number of prompt tokens of requests that have no first token yet, by rank.
	Prefill [Ranks]int64
	// Held is the number of tokens of all its requests in the upstream's memory, beside shared parts.
	Held int64
}

// add adds the use of another VM.
func (u *Use) add(o Use) {
	u.Running += o.Running
	u.Held += o.Held
	for i := range u.Prefill {
		u.Prefill[i] += o.Prefill[i]
	}
}

// ahead returns the prompt tokens that are read before those of a request of the rank.
func (u *Use) ahead(rank int) int64 {
	var tokens int64
	for _, n := range u.Prefill[:rank+1] {
		tokens += n
	}
	return tokens
}

const (
	// useLife is the time for which the use reported by another VM counts: two whole reports may be missed.
	useLife = 3 * time.Second
	// partLife is the time for which a part that was sent counts as cached.
	partLife = 30 * time.Second
	// maxParts bounds the parts remembered for one upstream.
	maxParts = 4096
	// coldWindow is the span in which requests to a cold upstream are counted. It exceeds a second,
	// the span of the upstream's bound, by what two requests may differ in their time on the way.
	coldWindow = 1100 * time.Millisecond
	// failureWeight is the weight of the latest result in the failure share.
	failureWeight = 0.2
	// failureHalfLife is the time in which a failure share fades to its half.
	failureHalfLife = 2 * time.Second
	// slowWeight is the weight of the latest first token in the slowness.
	slowWeight = 0.2
	// firstBackoff and maxBackoff bound the time without new requests after a failed connection.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// row is one upstream.
type row struct {
	Entry
	own   Use
	peers map[string]peerUse
	// coldUntil is the end of the warm-up, and coldSends are the latest requests during it.
	coldUntil time.Time
	coldSends []time.Time
	// failures is the share of failed requests at judgedAt, from 0 to 1, the latest ones weighing most.
	failures float64
	judgedAt time.Time
	// slowness is the ratio of measured to expected times to the first token.
	slowness float64
	// downUntil is the end of the backoff after failed connections, and backoff its length.
	downUntil time.Time
	backoff   time.Duration
	// parts are the prompt parts that were sent, with the time of their latest use.
	parts map[uint64]time.Time
}

type peerUse struct {
	Use
	at time.Time
}

func newRow(e Entry) *row {
	return &row{Entry: e, peers: map[string]peerUse{}, parts: map[uint64]time.Time{}, slowness: 1}
}

// load adds up the use of all VMs.
func (r *row) load(now time.Time) Use {
	sum := r.own
	for vm, use := range r.peers {
		if now.Sub(use.at) > useLife {
			delete(r.peers, vm)
			continue
		}
		sum.add(use.Use)
	}
	return sum
}

func (r *row) cold(now time.Time) bool { return now.Before(r.coldUntil) }

// coldRoom reports whether this VM may send one more request to the cold upstream now.
func (r *row) coldRoom(now time.Time, quota int) bool {
	kept := r.coldSends[:0]
	for _, at := range r.coldSends {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	r.coldSends = kept
	return len(kept) < quota
}

// cached returns the tokens at the start of the prompt that the upstream holds because this VM sent them.
func (r *row) cached(now time.Time, parts []Part) int64 {
	var tokens int64
	for _, p := range parts {
		used, ok := r.parts[p.ID]
		if !ok || now.Sub(used) > partLife {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

func (r *row) remember(now time.Time, parts []Part) {
	if len(r.parts) > maxParts {
		for id, used := range r.parts {
			if now.Sub(used) > partLife {
				delete(r.parts, id)
			}
		}
	}
	if len(r.parts) > maxParts {
		r.parts = map[uint64]time.Time{}
	}
	for _, p := range parts {
		r.parts[p.ID] = now
	}
}

// failureShare is the share of failed requests. It fades, so that an upstream that gets no requests
// because of it is tried again.
func (r *row) failureShare(now time.Time) float64 {
	return r.failures * math.Exp2(-float64(now.Sub(r.judgedAt))/float64(failureHalfLife))
}

func (r *row) setFailures(now time.Time, share float64) {
	r.failures, r.judgedAt = share, now
}

// backOff keeps new requests away after a failed connection, each time for twice as long.
func (r *row) backOff(now time.Time) {
	r.backoff = min(max(firstBackoff, 2*r.backoff), maxBackoff)
	r.downUntil = now.Add(r.backoff)
}

package replica

import (
	"hash/fnv"
	"time"

	"parsleyhatch/route"
)

const (
	// popularShare is the share of requests, in multiples of an even share of one upstream, above which
	// requests with the same part are spread.
	popularShare = 0.5
	// coldShare is the part of a cold upstream's bound that is used where VMs outnumber its requests.
	coldShare = 0.7
	// usualFailures is the share of failures that services may have without being at fault.
	usualFailures = 0.35
)

// Request is what a choice needs to know of a request.
type Request struct {
	Service *route.Service
	Prompt  Prompt
	// Rank is the urgency, see Rank.
	Rank int
	// Tried are the ids of upstreams that had the request. They get it again only if Again is set and
	// there is no other one.
	Tried []string
	Again bool
}

// Pick is a chosen upstream.
type Pick struct {
	ID      string
	Address string
	// Uncached is the number of prompt tokens that the upstream has to read.
	Uncached int64
	// FirstToken is the expected time to the first token, without penalties.
	FirstToken time.Duration
	// Cost is the expected time with penalties for failures and memory. Wait is the same without the
	// failures that every upstream of a service may have.
	Cost time.Duration
	Wait time.Duration
	// Inputs are what the choice was based on.
	Inputs  Inputs
	begunAt time.Time
	rank    int
	// held is the memory that the request takes, in tokens.
	held int64
}

// Waited is the time since the choice.
func (p *Pick) Waited(now time.Time) time.Duration { return now.Sub(p.begunAt) }

// Pick chooses an upstream and counts the request there until Done. It reports false if none may get the
// request.
func (t *Table) Pick(now time.Time, q Request) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, pick := t.best(now, q)
	if r == nil {
		return Pick{}, false
	}
	if r.cold(now) {
		r.coldSends = append(r.coldSends, now)
	}
	pick.begunAt = now
	pick.rank = q.Rank
	pick.held = pick.Uncached + q.Prompt.MaxAnswer
	t.used[r.ID] = true
	r.own.Running++
	r.own.Prefill[q.Rank] += pick.Uncached
	r.own.Held += pick.held
	r.remember(now, q.Prompt.Parts)
	t.popular.add(now, q.Prompt.Parts)
	return pick, true
}

// Estimate returns the choice that Pick would make, without counting it.
func (t *Table) Estimate(now time.Time, q Request) (Pick, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, pick := t.best(now, q)
	return pick, r != nil
}

func (t *Table) best(now time.Time, q Request) (*row, Pick) {
	r, pick := t.bestOf(now, q)
	if r == nil && q.Again && len(q.Tried) > 0 {
		q.Tried = nil
		return t.bestOf(now, q)
	}
	return r, pick
}

func (t *Table) bestOf(now time.Time, q Request) (*row, Pick) {
	t.index()
	candidates := t.byService[q.Service.Name]
	preferred := t.preferred(now, candidates, q)
	var best *row
	var found estimate
	for _, r := range candidates {
		if !t.usable(now, r, q) {
			continue
		}
		if x := r.estimate(now, q, r == preferred); best == nil || x.cost < found.cost {
			best, found = r, x
		}
	}
	if best == nil {
		return nil, Pick{}
	}
	return best, best.pick(found)
}

// pick returns the choice of an upstream.
func (r *row) pick(x estimate) Pick {
	usual := failureCost * min(x.failures, usualFailures)
	return Pick{
		ID: r.ID, Address: r.Address, Uncached: x.uncached,
		FirstToken: fromMillis(x.first), Cost: fromMillis(x.cost), Wait: fromMillis(x.cost - usual),
		Inputs: Inputs{
			Running: x.load.Running, Uncached: x.uncached, Ahead: x.ahead, Held: x.load.Held, Slowness: r.slowness, Failures: x.failures,
		},
	}
}

// usable reports whether an upstream may get the request now.
func (t *Table) usable(now time.Time, r *row, q Request) bool {
	if r.Draining || t.evacuated[r.FailureDomain] || now.Before(r.downUntil) {
		return false
	}
	for _, id := range q.Tried {
		if id == r.ID {
			return false
		}
	}
	if q.Service.WarmUpRate > 0 && r.cold(now) {
		return r.coldRoom(now, t.coldQuota(r, q.Service))
	}
	return true
}

// coldQuota is this VM's share of the requests that a cold upstream may get in a second. Where there are more
// VMs than requests, some VMs get one and the others none; rendezvous hashing tells which, and a part is held
// back since VMs may know of different ones.
func (t *Table) coldQuota(r *row, s *route.Service) int {
	bound := int(t.ColdBound(s))
	if t.vms <= bound {
		return bound / t.vms
	}
	key := hashName(r.ID)
	own, above := Rendezvous(key, t.self), 0
	for _, name := range t.names {
		if Rendezvous(key, name) > own {
			above++
		}
	}
	// VMs that are not known yet may be above this one, too.
	above += t.vms - len(t.names)
	if above < int(coldShare*float64(bound)) {
		return 1
	}
	return 0
}

func hashName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// preferred returns the upstream at which requests with the same shared parts are brought together, by
// rendezvous hashing, so that all VMs of the region agree without a message.
func (t *Table) preferred(now time.Time, candidates []*row, q Request) *row {
	key, ok := q.Prompt.AffinityPart(func(id uint64) bool {
		return t.popular.share(id) > popularShare/float64(max(1, len(candidates)))
	})
	if !ok {
		return nil
	}
	var best *row
	var highest uint64
	for _, r := range candidates {
		if r.Draining || t.evacuated[r.FailureDomain] || now.Before(r.downUntil) || r.cold(now) && q.Service.WarmUpRate > 0 {
			continue
		}
		if weight := Rendezvous(key, r.ID); best == nil || weight > highest {
			best, highest = r, weight
		}
	}
	return best
}

// Rendezvous returns the weight of a place for a key; the place with the highest weight is preferred.
func Rendezvous(key uint64, id string) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for i := range b {
		b[i] = byte(key >> (8 * i))
	}
	_, _ = h.Write(b[:])
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	// The last bytes hardly change the high bits of FNV; a finalizer spreads them.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

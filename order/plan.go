// Package order decides which orders are sent to which engines. Orders set the model, version,
// adapters and role of an engine.
package order

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"parsleyhatch/selector"
)

// State is the configuration that an engine runs.
type State struct {
	Model   string
	Version string
	// Adapters are sorted.
	Adapters []string
	Role     string
}

// Equal reports whether both states are the same.
func (s State) Equal(o State) bool {
	return s.Model == o.Model && s.Version == o.Version && s.Role == o.Role && slices.Equal(s.Adapters, o.Adapters)
}

// loads reports whether the change to want reads from the weight store.
func (s State) loads(want State) bool {
	if s.Model != want.Model || s.Version != want.Version {
		return true
	}
	for _, a := range want.Adapters {
		if !slices.Contains(s.Adapters, a) {
			return true
		}
	}
	return false
}

// Pool is the plan for the replicas of one model in the region.
type Pool struct {
	// Desired is the desired state of each replica. Desired.Model is unique among the pools.
	Desired State
	// Allowed selects the upstreams that may run the model by their labels.
	Allowed selector.Selector
	// MinReplicas is the number of replicas that placement leaves to the model.
	MinReplicas int
}

// Plan is the desired state of a region. Upstreams without a planned model go to the pool that is
// shortest of replicas, and to the first one of equally short pools.
type Plan struct {
	Pools []Pool
}

// pool returns the pool of a model, and false if the plan has none.
func (p Plan) pool(model string) (Pool, bool) {
	for _, pool := range p.Pools {
		if pool.Desired.Model == model {
			return pool, true
		}
	}
	return Pool{}, false
}

// desired returns the state that an upstream should have, and false if no pool allows the upstream.
// The upstream keeps its model while the plan contains it and the labels allow it, since only Rebalance
// moves replicas between models.
func (p Plan) desired(u Upstream, current State, count map[string]int) (State, bool) {
	if pool, ok := p.pool(current.Model); ok && pool.Allowed.Matches(u.Labels) {
		return pool.Desired, true
	}
	var best Pool
	found := false
	for _, pool := range p.Pools {
		if !pool.Allowed.Matches(u.Labels) {
			continue
		}
		if !found || count[pool.Desired.Model]-pool.MinReplicas < count[best.Desired.Model]-best.MinReplicas {
			best, found = pool, true
		}
	}
	return best.Desired, found
}

// Upstream is an engine of the region.
type Upstream struct {
	// Name is unique.
	Name   string
	Labels map[string]string
	// ChecksFencing reports that the upstream refuses an order whose fencing number is not above that
	// of its last order.
	ChecksFencing bool
	Draining      bool
}

// IssuingVM returns the VM that issues the orders of an upstream, chosen by rendezvous hashing. It
// returns an empty string if no VM is live.
func IssuingVM(live []string, upstream string) string {
	var best string
	var bestScore uint64
	for _, slot := range live {
		score := holderScore(slot, upstream)
		if best == "" || score > bestScore || score == bestScore && slot < best {
			best, bestScore = slot, score
		}
	}
	return best
}

// holderScore hashes the slot and the upstream. FNV alone hardly spreads similar names, so a
// finaliser mixes the bits.
func holderScore(slot, upstream string) uint64 {
	h := fnv.New64a()
	h.Write(binary.AppendUvarint(nil, uint64(len(slot))))
	h.Write([]byte(slot))
	h.Write([]byte(upstream))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// tokenBucket limits the load orders of this VM, so that all VMs together stay within the rate of
// the weight store.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *tokenBucket) take(now time.Time, perSecond, burst float64) bool {
	b.refill(now, perSecond, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *tokenBucket) refill(now time.Time, perSecond, burst float64) {
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else if d := now.Sub(b.refilledAt).Seconds(); d > 0 {
		b.tokens = min(burst, b.tokens+d*perSecond)
	}
	b.refilledAt = now
}

// Package order decides which orders go to which engines: models, versions, adapters and roles.
package order

import (
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"parsleyhatch/selector"
)

// State is what an engine runs.
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

// loads reports whether the change reads from the weight store.
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
	// Want is the state of each replica; Want.Model is unique over the pools.
	Want State
	// Allowed selects by labels the upstreams that may run the model.
	Allowed selector.Selector
	// Min is the number of replicas below which placement takes none away.
	Min int
}

// Plan is the desired state of a region. Pools are in the order in which empty upstreams are filled.
type Plan struct {
	Pools []Pool
}

// pool returns the pool of a model.
func (p Plan) pool(model string) (Pool, bool) {
	for _, pool := range p.Pools {
		if pool.Want.Model == model {
			return pool, true
		}
	}
	return Pool{}, false
}

// desired returns what an upstream should run, and false if the plan says nothing. The model stays as
// it is while the plan has it and the labels allow it, since only Place moves replicas between models.
func (p Plan) desired(u Upstream, current State, count map[string]int) (State, bool) {
	if pool, ok := p.pool(current.Model); ok && pool.Allowed.Matches(u.Labels) {
		return pool.Want, true
	}
	var best Pool
	found := false
	for _, pool := range p.Pools {
		if !pool.Allowed.Matches(u.Labels) {
			continue
		}
		if !found || count[pool.Want.Model]-pool.Min < count[best.Want.Model]-best.Min {
			best, found = pool, true
		}
	}
	return best.Want, found
}

// Upstream is an engine of the region.
type Upstream struct {
	// Name is unique.
	Name   string
	Labels map[string]string
	// ChecksFencing says that the upstream refuses an order whose number is not above its last one.
	ChecksFencing bool
	Draining      bool
}

// Holder returns the VM that issues the orders of an upstream by rendezvous hashing, or "" without VMs.
func Holder(live []string, upstream string) string {
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

// holderScore hashes the pair and mixes the bits, since FNV alone hardly spreads similar names.
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

// bucket limits the load orders of this VM, so that the weight store's rate suffices for all.
type bucket struct {
	level    float64
	filledAt time.Time
}

func (b *bucket) take(now time.Time, perSecond, burst float64) bool {
	b.fill(now, perSecond, burst)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func (b *bucket) fill(now time.Time, perSecond, burst float64) {
	if b.filledAt.IsZero() {
		b.level = burst
	} else if d := now.Sub(b.filledAt).Seconds(); d > 0 {
		b.level = min(burst, b.level+d*perSecond)
	}
	b.filledAt = now
}

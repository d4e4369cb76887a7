package replica

import (
	"time"
)

// SetPeerUse replaces the use of another VM, by upstream id.
func (t *Table) SetPeerUse(now time.Time, vm string, uses map[string]Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.upstreams {
		use, ok := uses[id]
		if !ok {
			delete(r.peerUses, vm)
			continue
		}
		r.peerUses[vm] = peerUse{Use: use, reportedAt: now}
	}
}

// UpdatePeerUse updates the use of another VM at the given upstreams only.
func (t *Table) UpdatePeerUse(now time.Time, vm string, uses map[string]Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, use := range uses {
		if r := t.upstreams[id]; r != nil {
			r.peerUses[vm] = peerUse{Use: use, reportedAt: now}
		}
	}
}

// Uses returns the use of this VM at all upstreams, by upstream id.
func (t *Table) Uses() map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := map[string]Use{}
	for id, r := range t.upstreams {
		if r.localUse != (Use{}) {
			uses[id] = r.localUse
		}
	}
	clear(t.changedUses)
	return uses
}

// ChangedUses returns the use of this VM at the upstreams where it has changed since the last call of
// ChangedUses or Uses.
func (t *Table) ChangedUses() map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make(map[string]Use, len(t.changedUses))
	for id := range t.changedUses {
		if r := t.upstreams[id]; r != nil {
			uses[id] = r.localUse
		}
	}
	clear(t.changedUses)
	return uses
}

// UseSums is the use of all upstreams by the VMs of the region, as one VM collected it.
type UseSums struct {
	// IDs are the ids of the upstreams, and Total the use of each by all VMs.
	IDs   []string
	Total []Use
	byVM  map[string][]upstreamUse
}

// upstreamUse is the use of the upstream with an index by one VM.
type upstreamUse struct {
	index int
	Use
}

// Except returns the use of each upstream by all VMs but one.
func (s *UseSums) Except(vm string) []Use {
	uses := append([]Use(nil), s.Total...)
	for _, own := range s.byVM[vm] {
		uses[own.index].subtract(own.Use)
	}
	return uses
}

// CollectUses returns the sums of this VM's use and of the use that other VMs reported to it.
func (t *Table) CollectUses(now time.Time) *UseSums {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &UseSums{byVM: map[string][]upstreamUse{}}
	for id, r := range t.upstreams {
		s.IDs = append(s.IDs, id)
		s.Total = append(s.Total, r.totalUse(now, false))
		for vm, use := range r.peerUses {
			if use.Use != (Use{}) {
				s.byVM[vm] = append(s.byVM[vm], upstreamUse{index: len(s.IDs) - 1, Use: use.Use})
			}
		}
	}
	return s
}

// ApplySums replaces the sum of the other VMs' use of each upstream. use returns it for an upstream id.
func (t *Table) ApplySums(now time.Time, use func(id string) Use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sumsAt = now
	for id, r := range t.upstreams {
		r.othersUse = use(id)
	}
}

// DropSums removes the sums of a collector. A VM that collects itself knows the use of each VM.
func (t *Table) DropSums() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sumsAt = time.Time{}
}

// collected reports whether the sums of a collector are recent enough to use.
func (t *Table) collected(now time.Time) bool {
	return !t.sumsAt.IsZero() && now.Sub(t.sumsAt) <= peerUseTTL
}

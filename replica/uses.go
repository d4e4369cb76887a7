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
func (t *Table) Uses(now time.Time) map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := map[string]Use{}
	for id, r := range t.upstreams {
		if use := r.reportedUse(now); use != (Use{}) {
			uses[id] = use
		}
	}
	clear(t.changedUses)
	return uses
}

// reportedUse returns this VM's use with its recent measurements.
func (r *upstreamState) reportedUse(now time.Time) Use {
	use := r.localUse
	use.Pace = r.pace.Report(now).WithoutNegligible()
	return use
}

// ChangedUses returns the use of this VM at the upstreams where it has changed since the last call of
// ChangedUses or Uses.
func (t *Table) ChangedUses(now time.Time) map[string]Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	uses := make(map[string]Use, len(t.changedUses))
	for id := range t.changedUses {
		if r := t.upstreams[id]; r != nil {
			uses[id] = r.reportedUse(now)
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

// Except returns the use of each upstream by all VMs but one, with the pace that all VMs have measured.
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
		total := r.totalUse(now, false)
		total.Pace = r.pace.Report(now)
		for _, use := range r.peerUses {
			total.Pace.Merge(use.Pace, now.Sub(use.reportedAt))
		}
		s.Total = append(s.Total, total)
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
		r.othersPace, r.othersAt = r.othersUse.Pace, now
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

package replica

import (
	"math"
	"slices"
	"time"
)

const (
	// rateLimitShare is the fraction of an announced rate limit that the VMs use together. The rest covers requests that
	// arrive closer together than they were sent.
	rateLimitShare = 0.9
	// minLimitedRate is the rate of requests to an upstream with a lower limit, in requests per second. Only answers show
	// that a limit has ended.
	minLimitedRate = 0.1
	// minLimitHolders is the number of VMs that share the lowest limit. VMs that have just started assume more VMs than there
	// are, and one of these might be the only holder.
	minLimitHolders = 3
	// limitBurst is the time whose requests a VM may send to an upstream with a rate limit at once.
	limitBurst = 500 * time.Millisecond
	// limitConfirmation is the time without an answer of the upstream to any known VM after which a rate limit may have
	// ended. A VM without a share then sends a request at minLimitedRate; limitConfirmationStep is the time between two VMs.
	limitConfirmation     = 30 * time.Second
	limitConfirmationStep = time.Second
	// limitReportInterval is the interval at which the VMs repeat what an upstream announces, since a message may be lost.
	limitReportInterval = time.Second
	// brittleShare is the fraction of the refusals that a brittle upstream bears which the VMs use together.
	brittleShare = 0.5
	// limitRetention is the time for which the end of a limit is repeated, and the limit of an upstream kept that is not
	// registered.
	limitRetention = time.Minute
)

// Limits is what the latest known answer of an upstream says about the requests that it accepts.
type Limits struct {
	// Upstream and Born identify a lifetime of an upstream, see Registration.
	Upstream string
	Born     int64
	// Limited is set if the upstream has a rate limit, and PerSecond is the number of requests per second that it accepts from
	// all VMs together.
	Limited   bool
	PerSecond float64
	// Brittle is set if the upstream crashes when it has to refuse more than MaxRefusals requests in a second for want of room.
	Brittle     bool
	MaxRefusals float64
	// Leaving is set if the upstream leaves and wants no new requests. It stays set to the end of the lifetime, since an answer
	// that began before may arrive later.
	Leaving bool
	// AnnouncedAt is the time at which the answer arrived at a VM.
	AnnouncedAt time.Time
}

// restricts reports whether the upstream announces any limit.
func (l *Limits) restricts() bool { return l.Limited || l.Brittle || l.Leaving }

// equal reports whether two announcements of a lifetime are equal but for their time.
func (l *Limits) equal(other Limits) bool {
	other.AnnouncedAt = l.AnnouncedAt
	return *l == other
}

// announcedLimits are Limits with this VM's share of the rate limit as a token bucket.
type announcedLimits struct {
	Limits
	// tokens is the number of requests that this VM may send at refilledAt.
	tokens     float64
	refilledAt time.Time
	// endedAt is the time of the first answer after the latest limit.
	endedAt time.Time
	// reportedAt is the time of the latest message between this VM and others about the limit.
	reportedAt time.Time
}

// RecordLimits records what an upstream announced in an answer to this VM. It reports whether it differs from the previous
// announcement, and whether the other VMs of the region must learn of it now.
func (t *Table) RecordLimits(l Limits) (changed, report bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.recordLimits(l.AnnouncedAt, l)
	s := t.limits[l.Upstream]
	if s == nil || !changed && l.AnnouncedAt.Sub(s.reportedAt) < limitReportInterval {
		return changed, false
	}
	s.reportedAt = l.AnnouncedAt
	return changed, true
}

// MergeLimits records what an upstream announced to another VM. Only Leaving counts if a later announcement is known. It reports
// whether the result differs from the previous announcement.
func (t *Table) MergeLimits(now time.Time, l Limits) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limits[l.Upstream]; s != nil {
		if l.Born < s.Born {
			return false
		}
		if l.Born == s.Born && !l.AnnouncedAt.After(s.AnnouncedAt) {
			if s.Leaving || !l.Leaving {
				return false
			}
			l = s.Limits
			l.Leaving = true
		}
	}
	changed = t.recordLimits(now, l)
	if s := t.limits[l.Upstream]; s != nil {
		s.reportedAt = now
	}
	return changed
}

// recordLimits replaces the announcement of an upstream. Ended limits are forgotten after limitRetention.
func (t *Table) recordLimits(now time.Time, l Limits) (changed bool) {
	changed = t.replaceLimits(now, l)
	if r := t.upstreams[l.Upstream]; r != nil {
		r.announced = t.limitsOf(r.Registration)
	}
	return changed
}

// limitsOf returns the announcement of a lifetime of an upstream, or nil.
func (t *Table) limitsOf(e Registration) *announcedLimits {
	if s := t.limits[e.ID]; s != nil && s.Born == e.Born {
		return s
	}
	return nil
}

// replaceLimits is recordLimits for the announcements alone.
func (t *Table) replaceLimits(now time.Time, l Limits) (changed bool) {
	s := t.limits[l.Upstream]
	if s != nil && l.Born < s.Born {
		return false // A late answer of an earlier lifetime.
	}
	if s != nil && s.Born == l.Born {
		l.Leaving = l.Leaving || s.Leaving
	}
	switch {
	case s == nil || s.Born != l.Born:
		delete(t.limits, l.Upstream)
		if !l.restricts() {
			return false
		}
		t.forgetLimits(l.AnnouncedAt)
		// The bucket starts empty, since all VMs learn of the limit at about the same time, and an earlier process of this VM may
		// have sent requests just before.
		t.limits[l.Upstream] = &announcedLimits{Limits: l, refilledAt: now}
		return true
	case !s.restricts() && !l.restricts():
		if l.AnnouncedAt.Sub(s.endedAt) > limitRetention {
			delete(t.limits, l.Upstream)
		}
		s.AnnouncedAt = l.AnnouncedAt
		return false
	case s.restricts() && !l.restricts():
		s.endedAt = l.AnnouncedAt
	}
	changed = !s.equal(l)
	s.Limits = l
	return changed
}

// forgetLimits drops the limits of upstreams that are not registered any more. A registration may lapse for a while.
func (t *Table) forgetLimits(now time.Time) {
	for id, s := range t.limits {
		if t.upstreams[id] == nil && now.Sub(s.AnnouncedAt) > limitRetention {
			delete(t.limits, id)
		}
	}
}

// KnownLimits returns the known announcements.
func (t *Table) KnownLimits() []Limits {
	t.mu.Lock()
	defer t.mu.Unlock()
	limits := make([]Limits, 0, len(t.limits))
	for _, s := range t.limits {
		limits = append(limits, s.Limits)
	}
	return limits
}

// IsRateLimited reports whether an upstream has announced a limit.
func (t *Table) IsRateLimited(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	return r != nil && r.rateLimit() != nil
}

// IsLeaving reports whether an upstream leaves, or is not registered any more.
func (t *Table) IsLeaving(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	return r == nil || r.Draining || r.isLeaving()
}

// rateLimit returns the rate limit that holds for the upstream, or nil if there is none.
func (r *upstreamState) rateLimit() *announcedLimits {
	if r.announced != nil && r.announced.Limited {
		return r.announced
	}
	return nil
}

// brittleness returns the limits of a brittle upstream, or nil if it is not brittle.
func (r *upstreamState) brittleness() *announcedLimits {
	if r.announced != nil && r.announced.Brittle {
		return r.announced
	}
	return nil
}

// isLeaving reports whether the upstream has announced that it leaves.
func (r *upstreamState) isLeaving() bool { return r.announced != nil && r.announced.Leaving }

// hasRoom reports whether this VM may have another request at an upstream. The VMs divide the slots of a brittle one: what each of
// them knows of the load of the others is too old to see the last free slot, which all of them would use.
// Requests that another VM began while its share was larger take from the share of this one.
func (t *Table) hasRoom(now time.Time, r *upstreamState) bool {
	if r.brittleness() == nil {
		return true
	}
	running, share := r.localUse.Running, t.slotShare(now, r)
	if running >= share {
		return false
	}
	if t.collected(now) || t.vmCount > len(t.vmNames) {
		// The use or the share of each other VM is not known.
		use := r.totalUse(now, t.collected(now))
		return use.Running < r.Slots
	}
	return running < share-t.slotsAboveShares(now, r)
}

// slotsAboveShares returns the number of requests that other VMs have at an upstream above their shares of its slots.
func (t *Table) slotsAboveShares(now time.Time, r *upstreamState) int {
	above, smallest := 0, r.Slots/t.sharers(r.Service)
	for name, use := range r.peerUses {
		if now.Sub(use.reportedAt) > peerUseTTL {
			continue
		}
		switch {
		case slices.Contains(t.cutVMs[r.Service], name):
			above += use.Running
		case use.Running > smallest:
			above += max(0, use.Running-t.slotShareOf(r, name))
		}
	}
	return above
}

// slotShare returns the number of slots of an upstream that fall to this VM.
func (t *Table) slotShare(now time.Time, r *upstreamState) int {
	if t.hasLent(now, r.Service) {
		return 0
	}
	return t.slotShareOf(r, t.localVM)
}

// slotShareOf returns the number of slots of an upstream that fall to a VM. Rendezvous hashing divides the rest.
func (t *Table) slotShareOf(r *upstreamState, name string) int {
	vms := t.sharers(r.Service)
	share, rest := r.Slots/vms, r.Slots%vms
	if t.rankOf(r, name, t.cutVMs[r.Service]) < rest {
		share++
	}
	return share
}

// refusalPause returns the time without new requests of this VM after an upstream refused one because it was full. All VMs
// together get at most half of the refusals that a brittle one bears.
func (t *Table) refusalPause(r *upstreamState) time.Duration {
	s := r.brittleness()
	if s == nil {
		return shedPause
	}
	perVM := max(brittleShare*s.MaxRefusals/float64(t.sharers(r.Service)), 1/maxBackoff.Seconds())
	return max(shedPause, time.Duration(float64(time.Second)/perVM))
}

// hasLimitCapacity reports whether this VM's share of an upstream's rate limit, if there is one, allows a request now.
func (t *Table) hasLimitCapacity(now time.Time, r *upstreamState) bool {
	s := r.rateLimit()
	if s == nil {
		return true
	}
	rate, burst := t.limitShare(now, r, s)
	from := s.refilledAt
	if p := t.paths[r.Service]; p != nil && p.lentUntil.After(from) {
		from = p.lentUntil // The tokens of a lent share were for other VMs.
	}
	s.tokens = min(burst, s.tokens+rate*max(0, now.Sub(from).Seconds()))
	s.refilledAt = now
	return s.tokens >= 1
}

// takeLimitCapacity counts a request against this VM's share of an upstream's rate limit.
func (t *Table) takeLimitCapacity(r *upstreamState) {
	if s := r.rateLimit(); s != nil {
		s.tokens--
	}
}

// limitShare returns this VM's share of a rate limit: requests per second, and how many at once. Each VM may send one at
// once, so a low limit is divided among the few VMs that rendezvous hashing selects.
func (t *Table) limitShare(now time.Time, r *upstreamState, s *announcedLimits) (rate, burst float64) {
	if t.hasLent(now, r.Service) {
		return 0, 0
	}
	total := max(rateLimitShare*s.PerSecond, minLimitedRate)
	holders := min(float64(t.sharers(r.Service)), minLimitHolders+math.Floor(total))
	rank := t.rankOf(r, t.localVM, t.cutVMs[r.Service])
	if float64(rank) < holders {
		rate = total / holders
		return rate, max(1, rate*limitBurst.Seconds())
	}
	if now.Sub(s.AnnouncedAt) > limitConfirmation+time.Duration(rank)*limitConfirmationStep {
		return minLimitedRate, 1
	}
	return 0, 0
}

package replica

import (
	"math"
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
	// limitRetention is the time for which the end of a limit is repeated, and the limit of an upstream kept that is not
	// registered.
	limitRetention = time.Minute
)

// RateLimit is what the latest known answer of an upstream says about the requests that it accepts.
type RateLimit struct {
	// Upstream and Born identify a lifetime of an upstream, see Registration.
	Upstream string
	Born     int64
	// Limited is false if the answer announces no limit.
	Limited bool
	// PerSecond is the number of requests per second that the upstream accepts from all VMs together.
	PerSecond float64
	// AnnouncedAt is the time at which the answer arrived at a VM.
	AnnouncedAt time.Time
}

// sameLimit reports whether two announcements of a lifetime are equal but for their time.
func (l *RateLimit) sameLimit(other RateLimit) bool {
	return l.Born == other.Born && l.Limited == other.Limited && (!l.Limited || l.PerSecond == other.PerSecond)
}

// rateLimit is a RateLimit with this VM's share of it as a token bucket.
type rateLimit struct {
	RateLimit
	// tokens is the number of requests that this VM may send at refilledAt.
	tokens     float64
	refilledAt time.Time
	// endedAt is the time of the first answer after the latest limit.
	endedAt time.Time
	// reportedAt is the time of the latest message between this VM and others about the limit.
	reportedAt time.Time
}

// RecordRateLimit records what an upstream announced in an answer to this VM. It reports whether it differs from the previous
// announcement, and whether the other VMs of the region must learn of it now.
func (t *Table) RecordRateLimit(l RateLimit) (changed, report bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.recordRateLimit(l)
	s := t.rateLimits[l.Upstream]
	if s == nil || !changed && l.AnnouncedAt.Sub(s.reportedAt) < limitReportInterval {
		return changed, false
	}
	s.reportedAt = l.AnnouncedAt
	return changed, true
}

// MergeRateLimit records what an upstream announced to another VM, unless a later announcement is known. It reports whether it
// differs from the previous one.
func (t *Table) MergeRateLimit(now time.Time, l RateLimit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.rateLimits[l.Upstream]; s != nil {
		if l.Born < s.Born || l.Born == s.Born && !l.AnnouncedAt.After(s.AnnouncedAt) {
			return false
		}
	}
	changed = t.recordRateLimit(l)
	if s := t.rateLimits[l.Upstream]; s != nil {
		s.reportedAt = now
	}
	return changed
}

// recordRateLimit replaces the announcement of an upstream. Ended limits are forgotten after limitRetention.
func (t *Table) recordRateLimit(l RateLimit) (changed bool) {
	s := t.rateLimits[l.Upstream]
	switch {
	case s == nil || s.Born != l.Born:
		delete(t.rateLimits, l.Upstream)
		if !l.Limited {
			return false
		}
		t.forgetRateLimits(l.AnnouncedAt)
		// The bucket starts empty, since all VMs learn of the limit at about the same time.
		t.rateLimits[l.Upstream] = &rateLimit{RateLimit: l, refilledAt: l.AnnouncedAt}
		return true
	case !s.Limited && !l.Limited:
		if l.AnnouncedAt.Sub(s.endedAt) > limitRetention {
			delete(t.rateLimits, l.Upstream)
		}
		s.AnnouncedAt = l.AnnouncedAt
		return false
	case s.Limited && !l.Limited:
		s.endedAt = l.AnnouncedAt
	}
	changed = !s.sameLimit(l)
	s.RateLimit = l
	return changed
}

// forgetRateLimits drops the limits of upstreams that are not registered any more. A registration may lapse for a while.
func (t *Table) forgetRateLimits(now time.Time) {
	for id, s := range t.rateLimits {
		if t.upstreams[id] == nil && now.Sub(s.AnnouncedAt) > limitRetention {
			delete(t.rateLimits, id)
		}
	}
}

// RateLimits returns the known announcements.
func (t *Table) RateLimits() []RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	limits := make([]RateLimit, 0, len(t.rateLimits))
	for _, s := range t.rateLimits {
		limits = append(limits, s.RateLimit)
	}
	return limits
}

// IsRateLimited reports whether an upstream has announced a limit.
func (t *Table) IsRateLimited(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isRateLimited(t.upstreams[id])
}

func (t *Table) isRateLimited(r *upstreamState) bool { return r != nil && t.rateLimitOf(r) != nil }

// rateLimitOf returns the rate limit that holds for an upstream, or nil if there is none.
func (t *Table) rateLimitOf(r *upstreamState) *rateLimit {
	s := t.rateLimits[r.ID]
	if s == nil || s.Born != r.Born || !s.Limited {
		return nil
	}
	return s
}

// hasLimitCapacity reports whether this VM's share of an upstream's rate limit, if there is one, allows a request now.
func (t *Table) hasLimitCapacity(now time.Time, r *upstreamState) bool {
	s := t.rateLimitOf(r)
	if s == nil {
		return true
	}
	rate, burst := t.limitShare(now, s)
	s.tokens = min(burst, s.tokens+rate*max(0, now.Sub(s.refilledAt).Seconds()))
	s.refilledAt = now
	return s.tokens >= 1
}

// takeLimitCapacity counts a request against this VM's share of an upstream's rate limit.
func (t *Table) takeLimitCapacity(r *upstreamState) {
	if s := t.rateLimitOf(r); s != nil {
		s.tokens--
	}
}

// limitShare returns this VM's share of a rate limit: requests per second, and how many at once. Each VM may send one at
// once, so a low limit is divided among the few VMs that rendezvous hashing selects.
func (t *Table) limitShare(now time.Time, s *rateLimit) (rate, burst float64) {
	total := max(rateLimitShare*s.PerSecond, minLimitedRate)
	holders := min(float64(t.vmCount), minLimitHolders+math.Floor(total))
	rank := t.rank(s.Upstream)
	if float64(rank) < holders {
		rate = total / holders
		return rate, max(1, rate*limitBurst.Seconds())
	}
	if now.Sub(s.AnnouncedAt) > limitConfirmation+time.Duration(rank)*limitConfirmationStep {
		return minLimitedRate, 1
	}
	return 0, 0
}

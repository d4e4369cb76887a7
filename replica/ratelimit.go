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
}

// RecordRateLimit records an announcement. It reports whether it differs from the previous one.
func (t *Table) RecordRateLimit(l RateLimit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recordRateLimit(l)
}

func (t *Table) recordRateLimit(l RateLimit) (changed bool) {
	s := t.rateLimits[l.Upstream]
	if s == nil || s.Born != l.Born {
		if !l.Limited {
			return false
		}
		// The bucket starts empty, since all VMs learn of the limit at about the same time.
		t.rateLimits[l.Upstream] = &rateLimit{RateLimit: l, refilledAt: l.AnnouncedAt}
		return true
	}
	changed = !s.sameLimit(l)
	s.RateLimit = l
	return changed
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

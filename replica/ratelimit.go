package replica

import "time"

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

// RecordRateLimit records an announcement. It reports whether it differs from the previous one.
func (t *Table) RecordRateLimit(l RateLimit) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.rateLimits[l.Upstream]
	if old == nil && !l.Limited {
		return false
	}
	t.rateLimits[l.Upstream] = &l
	return old == nil || !old.sameLimit(l)
}

// IsRateLimited reports whether an upstream has announced a limit.
func (t *Table) IsRateLimited(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.rateLimits[id]
	return l != nil && l.Limited
}

package replica

import "time"

// RecordUnreachable records that no connection to an upstream could be opened. It reports whether a connection could be opened
// before.
func (t *Table) RecordUnreachable(now time.Time, id string) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil || !r.unreachableSince.IsZero() {
		return false
	}
	r.unreachableSince = now
	return true
}

// RecordReachable records that a connection to an upstream is open. It returns for how long none could be opened before, zero if
// the upstream was reachable.
func (t *Table) RecordReachable(now time.Time, id string) (away time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil || r.unreachableSince.IsZero() {
		return 0
	}
	away = now.Sub(r.unreachableSince)
	r.unreachableSince = time.Time{}
	return away
}

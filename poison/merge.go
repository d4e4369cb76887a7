package poison

import (
	"time"

	"parsleyhatch/vmwire"
)

// Merge applies a message from another VM of the region and reports whether the entry changed. The
// result does not depend on the order or repetition of messages.
func (t *Table) Merge(now time.Time, s vmwire.SuspectRequest) bool {
	if len(s.Fingerprint) != len(Fingerprint{}) {
		return false
	}
	remaining := time.Duration(max(0, min(s.TTLMillis, t.limits.Lifetime.Milliseconds()))) * time.Millisecond
	at := now.Add(remaining - t.limits.Lifetime)
	f := Fingerprint(s.Fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[f]
	merged := t.discardBeforeCompletion(mergeEntries(old, entryFromMessage(at, s)))
	if merged == old || now.Sub(merged.lastChange()) >= t.limits.Lifetime {
		return false
	}
	t.store(f, merged)
	return true
}

// entryFromMessage converts a message about an event at the given time.
func entryFromMessage(at time.Time, s vmwire.SuspectRequest) entry {
	switch {
	case s.Cleared:
		return entry{clearedAt: at}
	case s.Quarantined:
		return entry{suspectedAt: at, crashes: s.Crashes, quarantinedAt: at}
	}
	return entry{suspectedAt: at, crashes: s.Crashes}
}

// mergeEntries takes the latest time of each field. Of two crash counts with the same time it takes
// the larger one.
func mergeEntries(a, b entry) entry {
	if b.suspectedAt.After(a.suspectedAt) || b.suspectedAt.Equal(a.suspectedAt) && b.crashes > a.crashes {
		a.suspectedAt, a.crashes = b.suspectedAt, b.crashes
	}
	if b.quarantinedAt.After(a.quarantinedAt) {
		a.quarantinedAt = b.quarantinedAt
	}
	if b.clearedAt.After(a.clearedAt) {
		a.clearedAt = b.clearedAt
	}
	return a
}

// Messages returns the messages to send to the VMs of the region after RecordCrash or
// RecordCompletion. A VM does not forward what it received by Merge, because each transfer
// lengthens the life of an entry a little.
func (t *Table) Messages(now time.Time, f Fingerprint) []vmwire.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.appendMessages(now, nil, f, t.entries[f])
}

// Export returns messages for all entries, to be sent to a VM that joins the region.
func (t *Table) Export(now time.Time) []vmwire.SuspectRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []vmwire.SuspectRequest
	for f, e := range t.entries {
		list = t.appendMessages(now, list, f, e)
	}
	return list
}

// appendMessages appends up to three messages: for the last completion, the last crash and the
// quarantine.
func (t *Table) appendMessages(now time.Time, list []vmwire.SuspectRequest, f Fingerprint, e entry) []vmwire.SuspectRequest {
	if t.unexpired(now, e.clearedAt) {
		list = append(list, vmwire.SuspectRequest{Fingerprint: f[:], Cleared: true, TTLMillis: t.remainingMillis(now, e.clearedAt)})
	}
	if t.unexpired(now, e.quarantinedAt) {
		list = append(list, vmwire.SuspectRequest{Fingerprint: f[:], Quarantined: true, Crashes: e.crashes, TTLMillis: t.remainingMillis(now, e.quarantinedAt)})
	}
	if t.unexpired(now, e.suspectedAt) && !e.suspectedAt.Equal(e.quarantinedAt) {
		list = append(list, vmwire.SuspectRequest{Fingerprint: f[:], Crashes: e.crashes, TTLMillis: t.remainingMillis(now, e.suspectedAt)})
	}
	return list
}

// remainingMillis returns the remaining lifetime of an event at a time, in milliseconds.
func (t *Table) remainingMillis(now, at time.Time) int64 {
	return (t.limits.Lifetime - now.Sub(at)).Milliseconds()
}

package poison

import (
	"time"

	"parsleyhatch/vmwire"
)

// Merge takes over what another VM of the region knows. It reports whether the entry changed. The
// result does not depend on the order or repetition of messages.
func (t *Table) Merge(now time.Time, s vmwire.Suspect) bool {
	if len(s.Fingerprint) != len(Fingerprint{}) {
		return false
	}
	at := now.Add(time.Duration(s.TTLMillis)*time.Millisecond - t.limits.Lifetime)
	if at.After(now) {
		at = now // A longer life than the lifetime is not accepted.
	}
	f := Fingerprint(s.Fingerprint)
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries[f]
	merged := t.settle(join(old, received(at, s)))
	if merged == old || now.Sub(merged.latest()) >= t.limits.Lifetime {
		return false
	}
	t.store(f, merged)
	return true
}

// received converts a message about something that happened at the given time.
func received(at time.Time, s vmwire.Suspect) entry {
	switch {
	case s.Cleared:
		return entry{clearedAt: at}
	case s.Quarantined:
		return entry{suspectedAt: at, crashes: s.Crashes, quarantinedAt: at}
	}
	return entry{suspectedAt: at, crashes: s.Crashes}
}

// join takes the latest of each field. Of two counts with the same time the larger one is taken.
func join(a, b entry) entry {
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

// Messages returns what is to be sent to the VMs of the region after Crash or Cleared. What was learned
// by Merge is not sent on: each transfer makes an entry a little younger.
func (t *Table) Messages(now time.Time, f Fingerprint) []vmwire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.messages(now, nil, f, t.entries[f])
}

// Export returns all entries, for a VM that joins the region.
func (t *Table) Export(now time.Time) []vmwire.Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []vmwire.Suspect
	for f, e := range t.entries {
		list = t.messages(now, list, f, e)
	}
	return list
}

// messages appends up to three messages: the last completion, crash and quarantine.
func (t *Table) messages(now time.Time, list []vmwire.Suspect, f Fingerprint, e entry) []vmwire.Suspect {
	if t.live(now, e.clearedAt) {
		list = append(list, vmwire.Suspect{Fingerprint: f[:], Cleared: true, TTLMillis: t.ttl(now, e.clearedAt)})
	}
	if t.live(now, e.quarantinedAt) {
		list = append(list, vmwire.Suspect{Fingerprint: f[:], Quarantined: true, Crashes: e.crashes, TTLMillis: t.ttl(now, e.quarantinedAt)})
	}
	if t.live(now, e.suspectedAt) && !e.suspectedAt.Equal(e.quarantinedAt) {
		list = append(list, vmwire.Suspect{Fingerprint: f[:], Crashes: e.crashes, TTLMillis: t.ttl(now, e.suspectedAt)})
	}
	return list
}

func (t *Table) ttl(now, at time.Time) int64 {
	return (t.limits.Lifetime - now.Sub(at)).Milliseconds()
}

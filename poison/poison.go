// Package poison detects requests that crash each upstream that runs them, and quarantines them.
package poison

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"parsleyhatch/event"
)

// Fingerprint identifies the request of a workspace without revealing its content.
type Fingerprint [16]byte

// Hasher computes the fingerprints of one fleet.
type Hasher struct {
	key []byte
}

// NewHasher derives the fingerprint key from the fleet key.
func NewHasher(fleetKey []byte) (*Hasher, error) {
	key, err := hkdf.Key(sha256.New, fleetKey, nil, "parsleyhatch poison fingerprint", sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("derive fingerprint key: %w", err)
	}
	return &Hasher{key: key}, nil
}

// Fingerprint returns the HMAC over the length-prefixed workspace and the body.
func (h *Hasher) Fingerprint(workspace string, body []byte) Fingerprint {
	mac := hmac.New(sha256.New, h.key)
	mac.Write(binary.AppendUvarint(nil, uint64(len(workspace))))
	mac.Write([]byte(workspace))
	mac.Write(body)
	var f Fingerprint
	copy(f[:], mac.Sum(nil))
	return f
}

// State is what is known about a request.
type State uint8

// States of a request.
const (
	Clean State = iota
	// Suspect requests have run at an upstream that crashed. An upstream runs at most one of them at a
	// time.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Verdict is the state of one request after a crash.
type Verdict struct {
	Fingerprint Fingerprint
	State       State
	// Crashes is the number of crashes known to this VM.
	Crashes int32
}

// Limits configure a table.
type Limits struct {
	// Lifetime is the time for which a request is suspected after a crash, or quarantined, and for which a completion is kept.
	Lifetime time.Duration
	// QuarantineMemory is the time after the start of a quarantine in which one further crash quarantines the request again, unless it
	// has completed in the meantime. If it does not exceed Lifetime, a quarantine that has ended is forgotten.
	QuarantineMemory time.Duration
	// MaxEntries is the largest number of entries.
	MaxEntries int
	// CompletionMargin is the time after a completion during which a crash counts as earlier than it.
	// It covers the delay of messages, because a received entry carries an age that does not include
	// its time in transit.
	CompletionMargin time.Duration
	// SoleSuspectCrashes and MaxCrashes are the numbers of crashes that quarantine a request: SoleSuspectCrashes if
	// no other request at the upstream was a suspect before the crash, MaxCrashes in any case.
	SoleSuspectCrashes int32
	MaxCrashes         int32
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{Lifetime: 10 * time.Minute, MaxEntries: 10_000, CompletionMargin: 2 * time.Second, SoleSuspectCrashes: 2, MaxCrashes: 3}
}

// entry is a state-based replicated value. Merging takes the latest time of each field, so that the
// order and repetition of messages do not matter.
type entry struct {
	// suspectedAt is the time of the last crash, and crashes is the count of the VM that observed it.
	suspectedAt time.Time
	crashes     int32
	// quarantinedAt is the start of the latest quarantine, zero if there was none since the last completion.
	quarantinedAt time.Time
	// clearedAt is the time of the last completion. Crashes and quarantines up to CompletionMargin
	// after it are discarded.
	clearedAt time.Time
}

// Table holds the suspects of a region as this VM knows them. It is safe for concurrent use.
type Table struct {
	// Log receives events; nil discards them. It must be set before use.
	Log *slog.Logger

	limits Limits

	mu      sync.Mutex
	entries map[Fingerprint]entry
	// placements holds the suspect at each upstream and the number of its requests there.
	placements map[string]placement
}

// placement is a suspect that runs at an upstream.
type placement struct {
	fingerprint Fingerprint
	requests    int
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Fingerprint]entry{}, placements: map[string]placement{}}
}

// State returns what is known about a request.
func (t *Table) State(now time.Time, f Fingerprint) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now, t.entries[f])
}

func (t *Table) state(now time.Time, e entry) State {
	switch {
	case t.unexpired(now, e.quarantinedAt):
		return Quarantined
	case t.unexpired(now, e.suspectedAt):
		return Suspect
	}
	return Clean
}

// unexpired reports whether a time is set and less than Lifetime ago.
func (t *Table) unexpired(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < t.limits.Lifetime
}

// remembersQuarantine reports whether a request was quarantined not long ago, and has not completed since then.
func (t *Table) remembersQuarantine(now time.Time, e entry) bool {
	return !e.quarantinedAt.IsZero() && now.Sub(e.quarantinedAt) < t.limits.QuarantineMemory
}

// RecordCrash records that an upstream crashed while it ran the requests, in any order. A fingerprint
// that occurs twice counts once. The caller sends the verdicts to the VMs of the region.
func (t *Table) RecordCrash(now time.Time, upstream string, running []Fingerprint) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.placements, upstream)
	distinct := make(map[Fingerprint]bool, len(running))
	verdicts := make([]Verdict, 0, len(running))
	earlierSuspects := t.countSuspects(now, running)
	for _, f := range running {
		if distinct[f] {
			continue
		}
		distinct[f] = true
		verdicts = append(verdicts, t.countCrash(now, upstream, f, earlierSuspects))
	}
	return verdicts
}

// countSuspects returns the number of distinct requests that were suspects before the crash.
func (t *Table) countSuspects(now time.Time, running []Fingerprint) int {
	suspects := map[Fingerprint]bool{}
	for _, f := range running {
		if t.state(now, t.entries[f]) != Clean {
			suspects[f] = true
		}
	}
	return len(suspects)
}

// countCrash counts a crash of a request. earlierSuspects is the number of running requests that
// were suspects before the crash.
func (t *Table) countCrash(now time.Time, upstream string, f Fingerprint, earlierSuspects int) Verdict {
	e := t.entries[f]
	previous := t.state(now, e)
	if previous == Clean {
		e.crashes = 0
	}
	e.crashes++
	e.suspectedAt = now
	onlySuspect := previous != Clean && earlierSuspects == 1 && e.crashes >= t.limits.SoleSuspectCrashes
	if onlySuspect || e.crashes >= t.limits.MaxCrashes || t.remembersQuarantine(now, e) {
		e.quarantinedAt = now
	}
	e = t.discardBeforeCompletion(e)
	t.store(f, e)
	v := Verdict{Fingerprint: f, State: t.state(now, e), Crashes: e.crashes}
	t.logVerdict(upstream, v)
	return v
}

func (t *Table) logVerdict(upstream string, v Verdict) {
	e := event.PoisonSuspected
	if v.State == Quarantined {
		e = event.PoisonQuarantined
	}
	e.Log(t.Log, "fingerprint", fmt.Sprintf("%x", v.Fingerprint), "upstream", upstream, "crashes", v.Crashes)
}

// discardBeforeCompletion clears the crashes and the quarantine that are not later than the last
// completion plus CompletionMargin.
func (t *Table) discardBeforeCompletion(e entry) entry {
	if e.clearedAt.IsZero() {
		return e
	}
	limit := e.clearedAt.Add(t.limits.CompletionMargin)
	if !e.suspectedAt.After(limit) {
		e.suspectedAt = time.Time{}
		e.crashes = 0
	}
	if !e.quarantinedAt.After(limit) {
		e.quarantinedAt = time.Time{}
	}
	return e
}

// RecordCompletion records that a request completed. It returns true if the request was suspected, or quarantined not long ago, in which
// case the other VMs must be notified.
func (t *Table) RecordCompletion(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[f]
	if !ok {
		return false
	}
	suspected := t.state(now, e) != Clean || t.remembersQuarantine(now, e)
	e.clearedAt = now
	t.store(f, t.discardBeforeCompletion(e))
	if suspected {
		event.PoisonCleared.Log(t.Log, "fingerprint", fmt.Sprintf("%x", f))
	}
	return suspected
}

// RetractCrash ends the suspicion of a request that has crashed only one upstream as far as this VM knows, since the loss
// of the failure domain explains that crash. Unlike a completion it says nothing of earlier or later crashes, and other
// VMs are not notified: one that knows of more crashes is right to keep them.
func (t *Table) RetractCrash(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[f]
	if !ok || e.crashes > 1 || !e.quarantinedAt.IsZero() {
		return
	}
	e.suspectedAt, e.crashes = time.Time{}, 0
	t.entries[f] = e
}

// Reserve reports whether a request may run at an upstream, and reserves the upstream for it if it is
// a suspect. An upstream runs at most one suspect of this VM at a time, and a quarantined request
// is never placed. After true, Release must be called. To keep two VMs from placing suspects at the
// same upstream, a VM must place them only at the upstreams that it holds.
func (t *Table) Reserve(now time.Time, upstream string, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(now, t.entries[f])
	if state == Quarantined {
		return false
	}
	p, occupied := t.placements[upstream]
	if state == Clean {
		return true
	}
	if occupied && p.fingerprint != f {
		return false
	}
	t.placements[upstream] = placement{fingerprint: f, requests: p.requests + 1}
	return true
}

// Release records that a placed request no longer runs at the upstream.
func (t *Table) Release(_ time.Time, upstream string, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.placements[upstream]
	if !ok || p.fingerprint != f {
		return // The request was clean when it was placed, or the upstream has crashed since then.
	}
	if p.requests <= 0 {
		event.FailInvariant(t.Log, event.BrokenPoisonPlacement, "upstream", upstream)
	}
	p.requests--
	if p.requests == 0 {
		delete(t.placements, upstream)
		return
	}
	t.placements[upstream] = p
}

// DropExpired drops expired entries.
func (t *Table) DropExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, e := range t.entries {
		if now.Sub(e.lastChange()) >= t.limits.Lifetime && !t.remembersQuarantine(now, e) {
			delete(t.entries, f)
		}
	}
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// lastChange returns the time of the last change.
func (e entry) lastChange() time.Time {
	at := e.suspectedAt
	if e.quarantinedAt.After(at) {
		at = e.quarantinedAt
	}
	if e.clearedAt.After(at) {
		at = e.clearedAt
	}
	return at
}

// store sets an entry. When the table is full, it evicts a cleared entry if there is one, else a
// suspect, else a quarantined entry, in each case the one with the oldest last change. New suspects
// are therefore always recorded, and a flood of suspects does not end a quarantine.
func (t *Table) store(f Fingerprint, e entry) {
	if _, ok := t.entries[f]; !ok && len(t.entries) >= t.limits.MaxEntries {
		t.evictOne()
	}
	t.entries[f] = e
	if len(t.entries) > t.limits.MaxEntries {
		event.FailInvariant(t.Log, event.BrokenPoisonSize, "entries", len(t.entries))
	}
}

// evictOne removes the entry that comes first in the order of evictBefore.
func (t *Table) evictOne() {
	var victim Fingerprint
	var victimEntry entry
	found := false
	for f, e := range t.entries {
		if !found || e.evictBefore(victimEntry) {
			victim, victimEntry, found = f, e, true
		}
	}
	delete(t.entries, victim)
	event.PoisonFull.Log(t.Log, "fingerprint", fmt.Sprintf("%x", victim))
}

// evictBefore reports whether e is evicted before o when the table is full.
func (e entry) evictBefore(o entry) bool {
	if e.evictionRank() != o.evictionRank() {
		return e.evictionRank() < o.evictionRank()
	}
	return e.lastChange().Before(o.lastChange())
}

// evictionRank orders entries by state; lower ranks are evicted first.
func (e entry) evictionRank() State {
	switch {
	case !e.quarantinedAt.IsZero():
		return Quarantined
	case !e.suspectedAt.IsZero():
		return Suspect
	}
	return Clean
}

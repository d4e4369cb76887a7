// Package poison finds requests that crash each upstream that runs them, and quarantines them.
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

// Fingerprint identifies the request of a workspace without its content.
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
	// Suspect requests run at most one at a time at an upstream.
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

// Limits bound a table.
type Limits struct {
	// Lifetime is the time from the last crash, or the quarantine, until the entry is dropped.
	Lifetime time.Duration
	// Entries is the largest number of entries.
	Entries int
	// Margin is the time after a completion during which a crash counts as older than it. It covers
	// the delay of messages, since a received entry tells its age without the time on its way.
	Margin time.Duration
	// CrashesAlone and Crashes quarantine a request: CrashesAlone if it was the only earlier suspect
	// at the upstream, Crashes in any case.
	CrashesAlone int32
	Crashes      int32
}

// DefaultLimits are the limits of production.
func DefaultLimits() Limits {
	return Limits{Lifetime: 10 * time.Minute, Entries: 10_000, Margin: 2 * time.Second, CrashesAlone: 2, Crashes: 3}
}

// entry is a state-based replicated value: merge takes the latest of each field, so the order and the
// repetition of messages do not matter.
type entry struct {
	// suspectedAt is the time of the last crash, and crashes the count of the VM that saw it.
	suspectedAt time.Time
	crashes     int32
	// quarantinedAt is zero unless the request is quarantined.
	quarantinedAt time.Time
	// clearedAt is the last completion. Crashes and quarantines up to Margin after it are void.
	clearedAt time.Time
}

// Table holds the suspects of a region as this VM knows them. It is safe for concurrent use.
type Table struct {
	// Log receives events; nil drops them. Set it before use.
	Log *slog.Logger

	limits Limits

	mu      sync.Mutex
	entries map[Fingerprint]entry
	// placed holds the suspect at each upstream, and how many of its requests run there.
	placed map[string]placement
}

type placement struct {
	fingerprint Fingerprint
	requests    int
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits, entries: map[Fingerprint]entry{}, placed: map[string]placement{}}
}

// State returns what is known about a request.
func (t *Table) State(now time.Time, f Fingerprint) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(now, t.entries[f])
}

func (t *Table) state(now time.Time, e entry) State {
	switch {
	case t.live(now, e.quarantinedAt):
		return Quarantined
	case t.live(now, e.suspectedAt):
		return Suspect
	}
	return Clean
}

// live reports whether a time is set and within the lifetime.
func (t *Table) live(now, at time.Time) bool {
	return !at.IsZero() && now.Sub(at) < t.limits.Lifetime
}

// Crash records that an upstream crashed while the requests ran there, in any order; a fingerprint that
// occurs twice counts once. The verdicts are to be sent to the VMs of the region.
func (t *Table) Crash(now time.Time, upstream string, running []Fingerprint) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.placed, upstream)
	distinct := make(map[Fingerprint]bool, len(running))
	verdicts := make([]Verdict, 0, len(running))
	earlier := t.earlierSuspects(now, running)
	for _, f := range running {
		if distinct[f] {
			continue
		}
		distinct[f] = true
		verdicts = append(verdicts, t.suspect(now, upstream, f, earlier))
	}
	return verdicts
}

// earlierSuspects counts the distinct requests that were suspects before the crash.
func (t *Table) earlierSuspects(now time.Time, running []Fingerprint) int {
	suspects := map[Fingerprint]bool{}
	for _, f := range running {
		if t.state(now, t.entries[f]) != Clean {
			suspects[f] = true
		}
	}
	return len(suspects)
}

// suspect counts one crash of a request.
func (t *Table) suspect(now time.Time, upstream string, f Fingerprint, earlier int) Verdict {
	e := t.entries[f]
	before := t.state(now, e)
	if before == Clean {
		e.crashes = 0
	}
	e.crashes++
	e.suspectedAt = now
	alone := before != Clean && earlier == 1 && e.crashes >= t.limits.CrashesAlone
	if alone || e.crashes >= t.limits.Crashes {
		e.quarantinedAt = now
	}
	e = t.settle(e)
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

// settle voids what is not after the last completion.
func (t *Table) settle(e entry) entry {
	if e.clearedAt.IsZero() {
		return e
	}
	limit := e.clearedAt.Add(t.limits.Margin)
	if !e.suspectedAt.After(limit) {
		e.suspectedAt = time.Time{}
		e.crashes = 0
	}
	if !e.quarantinedAt.After(limit) {
		e.quarantinedAt = time.Time{}
	}
	return e
}

// Cleared records that a request completed. It returns true if the request was suspected, so that
// the VMs of the region must be told.
func (t *Table) Cleared(now time.Time, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[f]
	if !ok {
		return false
	}
	suspected := t.state(now, e) != Clean
	e.clearedAt = now
	t.store(f, t.settle(e))
	if suspected {
		event.PoisonCleared.Log(t.Log, "fingerprint", fmt.Sprintf("%x", f))
	}
	return suspected
}

// Place asks whether a request may run at an upstream. An upstream runs at most one suspect of this VM
// at a time; a quarantined request is never placed. Left must follow if it returns true. So that no two
// VMs place suspects at one upstream, a VM must place suspects only at the upstreams that it holds.
func (t *Table) Place(now time.Time, upstream string, f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(now, t.entries[f])
	if state == Quarantined {
		return false
	}
	p, taken := t.placed[upstream]
	if state == Clean {
		return true
	}
	if taken && p.fingerprint != f {
		return false
	}
	t.placed[upstream] = placement{fingerprint: f, requests: p.requests + 1}
	return true
}

// Left says that a placed request no longer runs at the upstream.
func (t *Table) Left(_ time.Time, upstream string, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.placed[upstream]
	if !ok || p.fingerprint != f {
		return // The request was clean when it was placed, or the upstream crashed since.
	}
	if p.requests <= 0 {
		event.Broken(t.Log, event.BrokenPoisonPlace, "upstream", upstream)
	}
	p.requests--
	if p.requests == 0 {
		delete(t.placed, upstream)
		return
	}
	t.placed[upstream] = p
}

// Tick drops entries at the end of their lifetime.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, e := range t.entries {
		if now.Sub(e.latest()) >= t.limits.Lifetime {
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

// latest is the time of the last change.
func (e entry) latest() time.Time {
	at := e.suspectedAt
	if e.quarantinedAt.After(at) {
		at = e.quarantinedAt
	}
	if e.clearedAt.After(at) {
		at = e.clearedAt
	}
	return at
}

// store sets an entry. When the table is full, it drops a cleared entry if there is one, else a suspect,
// else a quarantined entry, in each case the one whose last change is oldest. So new suspects are always
// recorded and a flood of suspects does not end a quarantine.
func (t *Table) store(f Fingerprint, e entry) {
	if _, ok := t.entries[f]; !ok && len(t.entries) >= t.limits.Entries {
		t.dropOne()
	}
	t.entries[f] = e
	if len(t.entries) > t.limits.Entries {
		event.Broken(t.Log, event.BrokenPoisonSize, "entries", len(t.entries))
	}
}

func (t *Table) dropOne() {
	var victim Fingerprint
	var worst entry
	found := false
	for f, e := range t.entries {
		if !found || e.before(worst) {
			victim, worst, found = f, e, true
		}
	}
	delete(t.entries, victim)
	event.PoisonFull.Log(t.Log, "fingerprint", fmt.Sprintf("%x", victim))
}

// before orders entries by the rule for a full table.
func (e entry) before(o entry) bool {
	if e.rank() != o.rank() {
		return e.rank() < o.rank()
	}
	return e.latest().Before(o.latest())
}

func (e entry) rank() State {
	switch {
	case !e.quarantinedAt.IsZero():
		return Quarantined
	case !e.suspectedAt.IsZero():
		return Suspect
	}
	return Clean
}

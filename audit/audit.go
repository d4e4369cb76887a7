// Package audit holds the audit trail of a VM: a bounded ring of the changes that took effect on it.
package audit

import (
	"sync"
	"time"

	"parsleyhatch/config"
)

// Limit is the number of entries that a VM keeps; design section 3 states the bound.
const Limit = 4096

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	ConfigAccepted   Kind = "configAccepted"
	ConfigRejected   Kind = "configRejected"
	EntityAdded      Kind = "entityAdded"
	EntityRemoved    Kind = "entityRemoved"
	EntityChanged    Kind = "entityChanged"
	KeyAdded         Kind = "keyAdded"
	KeyWithdrawn     Kind = "keyWithdrawn"
	UpstreamDraining Kind = "upstreamDraining"
	OrderIssued      Kind = "orderIssued"
	OrderRefused     Kind = "orderRefused"
	VMJoined         Kind = "vmJoined"
	VMLeft           Kind = "vmLeft"
	VMLeaving        Kind = "vmLeaving"
	VMSuperseded     Kind = "vmSuperseded"
	Quarantine       Kind = "quarantine"
	SettingAtStart   Kind = "settingAtStart"
)

// Entry is one change.
type Entry struct {
	// Sequence counts the entries of this VM process from 1 without gaps; Add sets it.
	Sequence uint64 `json:"sequence"`
	// Time is when the change took effect on this VM; Add sets it.
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Subject names the entity that changed, such as a key id or an upstream.
	Subject string `json:"subject,omitempty"`
	// Version is the configuration version that made the change; zero if none did.
	Version config.Version `json:"version,omitzero"`
	Detail  string         `json:"detail,omitempty"`
}

// Trail is a bounded ring of entries. It is safe for concurrent use.
type Trail struct {
	mu sync.Mutex
	// ring grows to its capacity and is then overwritten; entry n is at index (n-1) % cap.
	ring  []Entry
	limit uint64
	last  uint64
}

// New returns an empty trail that keeps the latest limit entries; a limit below 1 counts as 1.
func New(limit int) *Trail {
	return &Trail{limit: uint64(max(limit, 1))}
}

// Add appends the entry, sets its sequence and time, and returns the sequence.
func (t *Trail) Add(now time.Time, e Entry) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last++
	e.Sequence, e.Time = t.last, now
	if uint64(len(t.ring)) < t.limit {
		t.ring = append(t.ring, e)
	} else {
		t.ring[(t.last-1)%t.limit] = e
	}
	return t.last
}

// Last returns the sequence of the latest entry, zero if there is none.
func (t *Trail) Last() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// Since returns at most limit entries after the given sequence, oldest first. A caller that finds a
// first sequence above sequence+1 has missed entries that were overwritten.
func (t *Trail) Since(sequence uint64, limit int) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest := t.last - uint64(len(t.ring))
	from := max(sequence, oldest)
	if from >= t.last || limit <= 0 {
		return []Entry{}
	}
	count := min(t.last-from, uint64(limit))
	list := make([]Entry, 0, count)
	for n := from; n < from+count; n++ {
		list = append(list, t.ring[n%t.limit])
	}
	return list
}

// FromChanges returns the entries for the changes that a configuration version made.
func FromChanges(v config.Version, changes []config.Change) []Entry {
	list := make([]Entry, 0, len(changes))
	for _, c := range changes {
		list = append(list, Entry{Kind: kindOf(c), Subject: c.Subject(), Version: v, Detail: c.Detail})
	}
	return list
}

func kindOf(c config.Change) Kind {
	switch c.Action {
	case config.ActionWithdrawn:
		return KeyWithdrawn
	case config.ActionDraining:
		return UpstreamDraining
	case config.ActionRemoved:
		return EntityRemoved
	case config.ActionChanged:
		return EntityChanged
	}
	if c.Entity == config.EntityKey {
		return KeyAdded
	}
	return EntityAdded
}

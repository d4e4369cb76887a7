// Package audit implements the audit trail of a VM: a ring buffer of the changes that took effect on it.
package audit

import (
	"sync"
	"time"

	"parsleyhatch/config"
)

// TrailCapacity is the number of entries that a VM keeps; section 3 of the design document states it.
const TrailCapacity = 4096

// Kind classifies an entry.
type Kind string

// Kinds of entries.
const (
	ConfigAccepted      Kind = "configAccepted"
	ConfigRejected      Kind = "configRejected"
	EntityAdded         Kind = "entityAdded"
	EntityRemoved       Kind = "entityRemoved"
	EntityChanged       Kind = "entityChanged"
	KeyAdded            Kind = "keyAdded"
	KeyWithdrawn        Kind = "keyWithdrawn"
	UpstreamDraining    Kind = "upstreamDraining"
	OrderIssued         Kind = "orderIssued"
	OrderRefused        Kind = "orderRefused"
	VMJoined            Kind = "vmJoined"
	VMLeft              Kind = "vmLeft"
	VMLeaving           Kind = "vmLeaving"
	VMSuperseded        Kind = "vmSuperseded"
	UpstreamQuarantined Kind = "quarantine"
	SettingsAtStart     Kind = "settingAtStart"
)

// Entry records a change that took effect, or a configuration or order that was rejected.
type Entry struct {
	// Sequence numbers the entries of this VM process from 1 without gaps; Add sets it.
	Sequence uint64 `json:"sequence"`
	// Time is the time at which the change took effect on this VM; Add sets it.
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Subject names the entity that changed, such as a key id or an upstream.
	Subject string `json:"subject,omitempty"`
	// Version is the configuration version that caused the entry; zero if none did.
	Version config.Version `json:"version,omitzero"`
	Detail  string         `json:"detail,omitempty"`
}

// Trail is a ring buffer of entries. It is safe for concurrent use.
type Trail struct {
	mu sync.Mutex
	// ring grows to limit entries, after which the oldest entry is overwritten. The entry with
	// sequence n is at index (n-1) % limit.
	ring  []Entry
	limit uint64
	last  uint64
}

// New returns an empty trail that keeps the latest limit entries; a limit below 1 is raised to 1.
func New(limit int) *Trail {
	return &Trail{limit: uint64(max(limit, 1))}
}

// Add appends the entry with the next sequence and the time now, and returns the sequence.
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

// LastSequence returns the sequence of the latest entry, zero if there is none.
func (t *Trail) LastSequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// EntriesAfter returns at most limit entries after the given sequence, oldest first. If the first returned
// sequence is above sequence+1, the entries between were overwritten.
func (t *Trail) EntriesAfter(sequence uint64, limit int) []Entry {
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

// FromChanges returns one entry for each change that a configuration version made.
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

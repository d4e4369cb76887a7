// Package inflight holds the requests that this VM has at each upstream, so that the crash of one tells which requests it ran.
package inflight

import (
	"sync"
	"time"

	"parsleyhatch/poison"
)

// crashWindow is the time in which broken streams of one upstream count as one crash.
const crashWindow = time.Second

// upstreamState holds the requests of this VM at one upstream.
type upstreamState struct {
	fingerprints map[poison.Fingerprint]int
	crashedAt    time.Time
	// boot is the boot id in the last load report that this VM read itself, and load the number of
	// requests in the last one that it got.
	boot string
	load int
}

// Table holds the requests at each upstream. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	upstreams map[string]*upstreamState
}

// New returns an empty table.
func New() *Table { return &Table{upstreams: map[string]*upstreamState{}} }

func (t *Table) entry(name string) *upstreamState {
	u := t.upstreams[name]
	if u == nil {
		u = &upstreamState{fingerprints: map[poison.Fingerprint]int{}}
		t.upstreams[name] = u
	}
	return u
}

// Add records that this VM has a request at an upstream.
func (t *Table) Add(name string, f poison.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(name).fingerprints[f]++
}

// Remove records that a request at an upstream has ended.
func (t *Table) Remove(name string, f poison.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.entry(name)
	u.fingerprints[f]--
	if u.fingerprints[f] <= 0 {
		delete(u.fingerprints, f)
	}
}

// Count returns the distinct requests of this VM at an upstream.
func (t *Table) Count(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[name]; u != nil {
		return len(u.fingerprints)
	}
	return 0
}

// SetBootID records a boot id.
func (t *Table) SetBootID(name, boot string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(name).boot = boot
}

// SetLoad records the number of requests in a load report.
func (t *Table) SetLoad(name string, load int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(name).load = load
}

// ReportedLoad returns the number of requests in the last load report.
func (t *Table) ReportedLoad(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry(name).load
}

// BootID returns the last known boot id, empty if unknown.
func (t *Table) BootID(name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry(name).boot
}

// RecordCrash records a crash and returns the requests that ran at the upstream. It returns false
// if the upstream already crashed within crashWindow.
func (t *Table) RecordCrash(now time.Time, name string) ([]poison.Fingerprint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.entry(name)
	if now.Sub(u.crashedAt) < crashWindow {
		return nil, false
	}
	u.crashedAt = now
	list := make([]poison.Fingerprint, 0, len(u.fingerprints))
	for f := range u.fingerprints {
		list = append(list, f)
	}
	return list, true
}

// CrashedAt returns the time of the last crash of an upstream, or zero.
func (t *Table) CrashedAt(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entry(name).crashedAt
}

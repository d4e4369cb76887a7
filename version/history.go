// Package version keeps which software versions of upstreams have served each service, and at which version streams began. A stream
// may go on only at the version that began it.
package version

import (
	"slices"
	"sync"
	"time"

	"parsleyhatch/replica"
)

// Seen is a version of a service with the latest time at which an upstream of the service had it.
type Seen struct {
	Version string
	LastAt  time.Time
}

// Knowledge is what is known of the versions of one service.
type Knowledge struct {
	Service string
	// Since is the time since which all versions of the service are known.
	Since time.Time
	Seen  []Seen
}

// History keeps the versions that have served each service. It is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[string]*service
	// loadedAt is the time of the first registrations, or of the latest gap, zero before.
	loadedAt time.Time
	// gapAt is the time of the latest gap, zero if there was none.
	gapAt time.Time
}

type service struct {
	// since is the time since which all versions are known.
	since time.Time
	// unnamedSince is the same for streams whose callers do not name them, zero if it is not earlier. Callers name a stream if several versions
	// served when it began, so that an upstream of unknown version that has left since then had that of the others.
	unnamedSince time.Time
	// current holds the versions of the registered upstreams, and lastAt the latest times of the others.
	current map[string]bool
	lastAt  map[string]time.Time
}

// retention is the time for which versions that have left are kept. It exceeds the lifetime of streams.
const retention = 10 * time.Minute

// NewHistory returns an empty history.
func NewHistory() *History { return &History{services: map[string]*service{}} }

// Update replaces the registered upstreams. The first call shows the present only: what was before is not known, see AddPast.
func (h *History) Update(now time.Time, registered map[string]replica.Registration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loadedAt.IsZero() {
		h.loadedAt = now
	}
	current := map[string]map[string]bool{}
	for _, e := range registered {
		if current[e.Service] == nil {
			current[e.Service] = map[string]bool{}
		}
		current[e.Service][e.Version] = true
	}
	for name, versions := range current {
		s := h.services[name]
		if s == nil {
			s = &service{since: h.loadedAt, lastAt: map[string]time.Time{}}
			h.services[name] = s
		}
		s.replace(now, versions)
	}
	for name, s := range h.services {
		if current[name] == nil {
			s.replace(now, map[string]bool{})
		}
	}
}

// MarkGap records that versions may have come and gone until now that Update has not shown, see AddPast.
func (h *History) MarkGap(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loadedAt, h.gapAt = now, now
	for _, s := range h.services {
		s.since, s.unnamedSince = now, time.Time{}
	}
}

// Record adds a version of an upstream that was registered between two calls of Update, and may not be registered any more at the second one.
func (h *History) Record(now time.Time, name, version string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loadedAt.IsZero() {
		return // What the first registrations show is the present.
	}
	s := h.services[name]
	if s == nil {
		s = &service{since: h.loadedAt, current: map[string]bool{}, lastAt: map[string]time.Time{}}
		h.services[name] = s
	}
	if !s.current[version] {
		s.lastAt[version] = now
	}
}

// replace replaces the versions of the registered upstreams.
func (s *service) replace(now time.Time, current map[string]bool) {
	for v := range s.current {
		if !current[v] {
			s.lastAt[v] = now
		}
	}
	s.current = current
	for v, at := range s.lastAt {
		if current[v] || now.Sub(at) > retention {
			delete(s.lastAt, v)
		}
	}
}

// Only returns the version of all upstreams that have served a service since a time, for a stream that its caller names or not. It returns false
// if there were several, or if it is not known.
func (h *History) Only(service string, since time.Time, named bool) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[service]
	if s == nil || s.since.After(since) && (named || s.unnamedSince.IsZero() || s.unnamedSince.After(since)) {
		return "", false
	}
	only, n := "", 0
	for v := range s.current {
		only = v
		n++
	}
	for v, at := range s.lastAt {
		if at.After(since) {
			only = v
			n++
		}
	}
	return only, n == 1
}

// Knowledge returns what is known of all services, for other VMs.
func (h *History) Knowledge(now time.Time) []Knowledge {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Knowledge
	for name, s := range h.services {
		k := Knowledge{Service: name, Since: s.since}
		for v := range s.current {
			k.Seen = append(k.Seen, Seen{Version: v, LastAt: now})
		}
		for v, at := range s.lastAt {
			k.Seen = append(k.Seen, Seen{Version: v, LastAt: at})
		}
		slices.SortFunc(k.Seen, func(a, b Seen) int { return a.LastAt.Compare(b.LastAt) })
		list = append(list, k)
	}
	return list
}

// Merge adds what another VM knows.
func (h *History) Merge(k Knowledge) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.services[k.Service]
	if s == nil {
		s = &service{since: k.Since, current: map[string]bool{}, lastAt: map[string]time.Time{}}
		h.services[k.Service] = s
	}
	if k.Since.Before(s.since) {
		s.since = k.Since
	}
	for _, seen := range k.Seen {
		if !s.current[seen.Version] && seen.LastAt.After(s.lastAt[seen.Version]) {
			s.lastAt[seen.Version] = seen.LastAt
		}
	}
}

package version

import (
	"time"

	"parsleyhatch/replica"
)

// Change is a change of a registration.
type Change struct {
	// ID is that of the upstream.
	ID string
	// Registration is the new one. Its Service is empty if the change is a deletion, or if what was written is no registration.
	Registration replica.Registration
	Deleted      bool
	// Created is set if there was no registration before.
	Created bool
}

// Past is what is known of the time before a VM has read all registrations, for the first time or after a gap.
type Past struct {
	// Since and Until are the times between which all changes of registrations are known.
	Since, Until time.Time
	// Left are the versions of the upstreams that have left since then.
	Left map[Stream]bool
	// Unknown is set if an upstream has left whose version is not known. It may have been of any service.
	Unknown bool
	// Steady are the services with an upstream that has been registered without a change since then.
	Steady map[string]bool
	// Incomplete are the services of which changes may be missing.
	Incomplete map[string]bool
}

// NewPast returns what changes since a time, in their order, show. registered holds the services of the upstreams after them, by ID.
func NewPast(since time.Time, registered map[string]string, changes []Change) Past {
	p := Past{Since: since, Left: map[Stream]bool{}, Steady: map[string]bool{}, Incomplete: map[string]bool{}}
	changed := map[string]bool{}
	for _, c := range changes {
		changed[c.ID] = true
	}
	for id, service := range registered {
		p.Steady[service] = p.Steady[service] || !changed[id]
	}
	last := map[string]Stream{}
	for _, c := range changes {
		previous, known := last[c.ID]
		switch {
		case known && previous.Service != "":
			p.Left[previous] = true // An equal one may follow: an upstream may start again under its ID.
		case !known && !c.Created && !c.Registration.Draining:
			// An upstream that drains writes the registration that it had. Others may have started again with another version.
			p.Unknown = true
		}
		if c.Deleted {
			delete(last, c.ID)
			continue
		}
		last[c.ID] = Stream{Service: c.Registration.Service, Version: c.Registration.Version}
	}
	return p
}

// AddPast adds what is known of the time before the first call of Update, or before a gap that it covers. Nothing is added to a service of which
// a version has left that is not registered: the time of its end is not known, and what another VM knows of it must not look older. If an
// upstream of unknown version has left, something is added for streams without a name only, and only where another upstream has served all the
// time: callers name streams that began while several versions served, not those of a version that all upstreams have replaced since.
func (h *History) AddPast(p Past) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.Until.Before(h.gapAt) {
		return
	}
	left := map[string]bool{}
	for stream := range p.Left {
		if s := h.services[stream.Service]; s != nil && !s.current[stream.Version] {
			left[stream.Service] = true
		}
	}
	for name, s := range h.services {
		if left[name] || p.Incomplete[name] {
			continue
		}
		if p.Steady[name] || !p.Unknown {
			s.unnamedSince = p.Since
		}
		if !p.Unknown && p.Since.Before(s.since) {
			s.since = p.Since
		}
	}
}

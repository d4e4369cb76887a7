package source

import (
	"parsleyhatch/event"
	"parsleyhatch/platform"
)

func (s *Watcher) applyUpstream(id string, item platform.Item) {
	delete(s.restore.doubted, id)
	if item.Deleted {
		s.expired[id] = true
		return
	}
	e, err := platform.DecodeUpstream(item.Key, item.Value)
	if err != nil {
		event.UpstreamInvalid.Log(s.Log, "upstream", id, "error", err.Error())
		s.removeUpstream(id)
		return
	}
	delete(s.expired, id)
	if s.departureOf(e).draining {
		e.Draining = true
	}
	if e.Draining {
		s.recordDeparture(e, false)
	}
	s.entries[id] = e
	if s.Versions != nil {
		s.Versions.Record(s.Now(), e.Service, e.Version)
	}
	// An upstream counts as capacity only once requests can be sent to it.
	defer s.updateCapacity()
	if !s.Local(e.FailureDomain) {
		s.Replicas.Remove(id)
		return
	}
	s.Replicas.Put(s.Now(), e, s.warmUp(e.Service))
	event.UpstreamRegistered.Log(s.Log, "upstream", id, "service", e.Service, "version", e.Version, "draining", e.Draining, "born", e.Born, "coldMillis", e.WarmUpLeft.Milliseconds())
}

// removeExpired removes the upstreams whose registration is no longer in the store. Registrations also expire during
// a store outage, when healthy upstreams cannot renew them, so none is removed within reregisterGrace after an outage.
func (s *Watcher) removeExpired() {
	if !s.storeReturnedAt.IsZero() && s.Now().Sub(s.storeReturnedAt) < reregisterGrace {
		return
	}
	for id := range s.expired {
		if e, ok := s.entries[id]; ok {
			s.recordDeparture(e, true)
		}
		s.removeUpstream(id)
		event.UpstreamUnregistered.Log(s.Log, "upstream", id)
	}
	clear(s.expired)
}

func (s *Watcher) removeUpstream(id string) {
	delete(s.entries, id)
	s.updateCapacity()
	s.Replicas.Remove(id)
}

// RegionTotals holds totals over the usable upstreams by service and region.
type RegionTotals map[string]map[string]int

// Capacity returns the slots of a service's usable upstreams by region. The map must not be modified.
func (s *Watcher) Capacity(service string) map[string]int {
	if c := s.capacity.Load(); c != nil {
		return (*c)[service]
	}
	return nil
}

// UpstreamCount returns the number of usable upstreams of a service in a region.
func (s *Watcher) UpstreamCount(service, region string) int {
	if c := s.upstreamCounts.Load(); c != nil {
		return (*c)[service][region]
	}
	return 0
}

// versionKey names the upstreams of a service in a region with a software version.
type versionKey struct{ service, region, version string }

// HasVersion reports whether a service has a usable upstream of a software version in a region.
func (s *Watcher) HasVersion(service, region, version string) bool {
	counts := s.versionCounts.Load()
	return counts != nil && (*counts)[versionKey{service, region, version}] > 0
}

// updateCapacity recomputes the totals over the upstreams that are neither draining nor evacuated.
func (s *Watcher) updateCapacity() {
	s.versionsStale = true
	slots, counts, versions := RegionTotals{}, RegionTotals{}, map[versionKey]int{}
	for _, e := range s.entries {
		if e.Draining || s.evacuated[e.FailureDomain] {
			continue
		}
		if slots[e.Service] == nil {
			slots[e.Service] = map[string]int{}
			counts[e.Service] = map[string]int{}
		}
		region := s.Region(e.FailureDomain)
		slots[e.Service][region] += e.Slots
		counts[e.Service][region]++
		versions[versionKey{e.Service, region, e.Version}]++
	}
	s.capacity.Store(&slots)
	s.upstreamCounts.Store(&counts)
	s.versionCounts.Store(&versions)
}

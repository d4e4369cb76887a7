package source

import (
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
)

const (
	// restoreSettleTime is the time after a restore of the store in which the operator and the upstreams write again what the
	// copy lacks, and in which the registrations of upstreams that no longer run expire.
	restoreSettleTime = 5 * time.Second
	// departureRetention is the time for which the end of an upstream is remembered. It exceeds the age of a copy.
	departureRetention = 10 * time.Minute
)

// departure is what this VM knows of a lifetime of an upstream that was leaving or gone. A store that was restored from a copy
// may show it as it was before.
type departure struct {
	born     int64
	draining bool
	gone     bool
	at       time.Time
}

// restoreState is what the copy from which the store was restored may lack or show too much.
type restoreState struct {
	// departures are the upstreams that were leaving or gone, by ID.
	departures map[string]departure
	// doubted are the registrations of upstreams that were gone, by ID. They are used at doubtedUntil unless they expire
	// before.
	doubted map[string]platform.Item
	// kept are the failure domains whose evacuation the copy lacks. They stay evacuated until keptUntil.
	kept map[string]bool
	// settlesAt is the time at which doubted registrations are used and kept evacuations end.
	settlesAt time.Time
}

func newRestoreState() restoreState {
	return restoreState{departures: map[string]departure{}, doubted: map[string]platform.Item{}, kept: map[string]bool{}}
}

// recordRestore prepares for a range of a restored store. Registrations that the copy lacks are kept for a while, as after an
// outage.
func (s *Watcher) recordRestore(page platform.Page) {
	if !s.registrationsLoaded.Load() || page.Era <= s.position.Era {
		return
	}
	event.StoreRestored.Log(s.Log, "era", page.Era, "previousEra", s.position.Era, "revision", page.Revision, "previousRevision", s.position.Revision)
	now := s.Now()
	s.restore.settlesAt = now.Add(restoreSettleTime)
	s.recordStoreReturn(now)
}

// settling reports whether the store was restored a short time ago.
func (s *Watcher) settling() bool { return s.Now().Before(s.restore.settlesAt) }

// keepEvacuations adds to the evacuated failure domains of a range those that the copy may lack.
func (s *Watcher) keepEvacuations(evacuated map[string]bool) {
	if !s.settling() {
		return
	}
	for domain := range s.evacuated {
		if !evacuated[domain] {
			evacuated[domain] = true
			s.restore.kept[domain] = true
		}
	}
}

// settle uses the doubted registrations and ends the kept evacuations once the store has settled.
func (s *Watcher) settle() {
	if s.settling() {
		return
	}
	for domain := range s.restore.kept {
		s.setDomainEvacuated(domain, false)
	}
	clear(s.restore.kept)
	for id, item := range s.restore.doubted {
		s.applyUpstream(id, item)
	}
	clear(s.restore.doubted)
}

// recordDeparture remembers that an upstream is leaving or gone.
func (s *Watcher) recordDeparture(e replica.Registration, gone bool) {
	now := s.Now()
	for id, d := range s.restore.departures {
		if now.Sub(d.at) > departureRetention {
			delete(s.restore.departures, id)
		}
	}
	s.restore.departures[e.ID] = departure{born: e.Born, draining: e.Draining, gone: gone, at: now}
}

// departureOf returns what is known of the end of a registration's lifetime.
func (s *Watcher) departureOf(e replica.Registration) departure {
	if d, ok := s.restore.departures[e.ID]; ok && d.born == e.Born {
		return d
	}
	return departure{}
}

// doubtUpstream reports whether a registration in a range belongs to an upstream that was gone before the store was restored. It
// is kept until the store has settled.
func (s *Watcher) doubtUpstream(id string, item platform.Item) bool {
	if !s.settling() {
		return false
	}
	e, err := platform.DecodeUpstream(item.Key, item.Value)
	if err != nil || !s.departureOf(e).gone {
		return false
	}
	s.restore.doubted[id] = item
	return true
}

// RangeForVM returns the known items of the store for another VM, with the active configuration in place of an older or invalid
// one. A VM that starts after a restore must not get the older configuration of the copy.
func (s *Watcher) RangeForVM() (Answer, error) {
	a, err := s.History.Range()
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	for i, item := range a.Items {
		if item.Key == platform.ConfigKey && s.latestConfig != nil {
			a.Items[i].Value = s.latestConfig
		}
	}
	return a, err
}

package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Ready returns the VMs of a region that take callers, in the order of their names.
func (f *Fleet) Ready(now time.Time, region string) []Member {
	return f.accepting(now, region, false)
}

// Leaving returns the VMs of a region that still take callers, though they leave.
func (f *Fleet) Leaving(now time.Time, region string) []Member {
	return f.accepting(now, region, true)
}

func (f *Fleet) accepting(now time.Time, region string, leaving bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Member
	for _, m := range f.members {
		if m.Region == region && m.Ready && m.Leaving == leaving && m.Alive(now) {
			list = append(list, *m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Slot, b.Slot) })
	return list
}

// Regions returns the regions with a VM that takes callers.
func (f *Fleet) Regions(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, m := range f.members {
		if m.Ready && !m.Leaving && m.Alive(now) && !slices.Contains(list, m.Region) {
			list = append(list, m.Region)
		}
	}
	slices.Sort(list)
	return list
}

// Near returns the names of the VMs of the own region that may use a part of the bounds of the region's
// upstreams, this one included. VMs that were lost count until they are forgotten.
func (f *Fleet) Near(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := []string{f.Endpoint.Self.Slot}
	for slot, m := range f.members {
		if now.Sub(m.HeardAt) > forgetAfter {
			delete(f.members, slot)
			continue
		}
		if !m.far {
			names = append(names, slot)
		}
	}
	return names
}

// Sharers returns the number of names that Near returns.
func (f *Fleet) Sharers(now time.Time) int { return len(f.Near(now)) }

// First returns the name of the first VM of another region that is alive.
func (f *Fleet) First(now time.Time, region string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := ""
	for slot, m := range f.members {
		if m.Region == region && m.Alive(now) && (first == "" || slot < first) {
			first = slot
		}
	}
	return first
}

// WaitIn returns the lowest expected time to the first token of a service for a rank in another region, and when
// that was heard.
func (f *Fleet) WaitIn(now time.Time, region, service string, rank int) (wait time.Duration, heardAt time.Time, found bool) {
	for _, m := range f.Ready(now, region) {
		if waits := m.Waits[service]; rank < len(waits) && (!found || waits[rank] < wait) {
			wait, heardAt, found = waits[rank], m.HeardAt, true
		}
	}
	return wait, heardAt, found
}

// ErrNoVM says that no VM of a region can run the request.
var ErrNoVM = errors.New("no vm of the region can run the request")

// Open starts a stream to a VM of a region that can run the service, and returns its name. Of two random
// VMs it takes that with fewer open requests.
func (f *Fleet) Open(ctx context.Context, now time.Time, region, service string, open *vmwire.Open, tried []string) (string, *vm.Stream, error) {
	var list []Member
	for _, m := range f.Ready(now, region) {
		if len(m.Waits[service]) > 0 && !slices.Contains(tried, m.Slot) {
			list = append(list, m)
		}
	}
	if len(list) == 0 {
		return "", nil, ErrNoVM
	}
	m := list[rand.IntN(len(list))]
	if other := list[rand.IntN(len(list))]; other.Open < m.Open {
		m = other
	}
	s := f.session(m.Slot)
	if s == nil {
		return "", nil, ErrNoVM
	}
	st, err := s.Open(ctx, open)
	return m.Slot, st, err
}

// StoreRank returns this VM's place among the VMs of its region that reach the store, in the order of their
// names.
func (f *Fleet) StoreRank(now time.Time) int {
	rank := 0
	for _, m := range f.storeReaders(now, f.Endpoint.Self.Region) {
		if m.Slot < f.Endpoint.Self.Slot {
			rank++
		}
	}
	return rank
}

// storeReaders returns the VMs of a region that know what the store holds and did not lose it.
func (f *Fleet) storeReaders(now time.Time, region string) []Member {
	return slices.DeleteFunc(f.Ready(now, region), func(m Member) bool { return !m.Fresh || m.StoreDown })
}

// AskReader sends a question about the store to the VM of the own region that is first in the order of names
// and reaches the store, or to one of another region, and returns its name. It reports false if there is none.
func (f *Fleet) AskReader(now time.Time, m *vmwire.StoreAsk) (string, bool) {
	for _, region := range append([]string{f.Endpoint.Self.Region}, f.Regions(now)...) {
		for _, reader := range f.storeReaders(now, region) {
			if s := f.session(reader.Slot); s != nil && s.Control(vmwire.KindStoreAsk, m) {
				return reader.Slot, true
			}
		}
	}
	return "", false
}

// Broadcast sends a suspicion to the VMs of the own region, and to those of others with which there are
// sessions. With near set it is passed on within the region only.
func (f *Fleet) Broadcast(m *vmwire.Suspect, near bool) {
	for _, s := range f.allSessions() {
		if !near || !f.far(s) {
			s.Control(vmwire.KindSuspect, m)
		}
	}
}

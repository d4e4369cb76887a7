// Package source follows the platform's store: the configuration, the evacuated failure domains and the
// registered upstreams of the own region.
package source

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

const (
	// watchWait is the time after which a watch answers although nothing has changed. Its answer proves
	// that the VM's knowledge is current, and its absence shows a connection that went silent.
	watchWait = time.Second
	// firstPause and maxPause bound the pause after a failed call, which doubles.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
	// returnGrace is the time after the store's return in which upstreams whose registration lapsed
	// register again.
	returnGrace = 2200 * time.Millisecond
)

// Source follows the store. It is safe for concurrent use.
type Source struct {
	// Readers returns the ways to read the store, the preferred one first.
	Readers  func() []Reader
	Replicas *replica.Table
	Log      *slog.Logger
	// Now returns the present time since boot.
	Now func() time.Time
	// Local reports whether a failure domain is in the own region.
	Local func(failureDomain string) bool
	// Region returns the region of a failure domain.
	Region func(failureDomain string) string
	// OnConfig receives each configuration that comes into force.
	OnConfig func(t *route.Table)

	table atomic.Pointer[route.Table]
	fresh atomic.Int64
	// slots holds the sizes of the services in each region.
	slots atomic.Pointer[Capacities]
	// replicas holds the numbers of their upstreams.
	replicas atomic.Pointer[Capacities]
	loaded   atomic.Bool
	// accepting serializes the acceptance of configurations.
	accepting sync.Mutex

	// History answers other VMs.
	History History
	// down says that the store did not answer the latest call of this VM.
	down atomic.Bool

	// The fields below belong to Run.
	revision uint64
	synced   bool
	// returned is when the store answered again after an outage.
	returned  time.Time
	evacuated map[string]bool
	// entries are the registrations of all regions.
	entries map[string]replica.Entry
	// lapsed are upstreams whose registration is gone, until the grace after the store's return ends.
	lapsed map[string]bool
}

// Table returns the configuration in force, nil before the first.
func (s *Source) Table() *route.Table { return s.table.Load() }

// FreshAt returns a time at which what this VM knows was what the store held.
func (s *Source) FreshAt() time.Time { return time.Unix(0, s.fresh.Load()) }

// UpstreamsKnown reports whether the registrations have been read.
func (s *Source) UpstreamsKnown() bool { return s.loaded.Load() }

// Down reports whether the store did not answer the latest call of this VM.
func (s *Source) Down() bool { return s.down.Load() }

// Run follows the store until ctx ends.
func (s *Source) Run(ctx context.Context) {
	s.init()
	pause := firstPause
	for ctx.Err() == nil {
		if err := s.step(ctx); err != nil {
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxPause)
			continue
		}
		pause = firstPause
	}
}

func (s *Source) init() {
	s.evacuated = map[string]bool{}
	s.lapsed = map[string]bool{}
	s.entries = map[string]replica.Entry{}
}

// step reads the store in the first way that works, and applies the answer.
func (s *Source) step(ctx context.Context) error {
	var errs []error
	for _, r := range s.Readers() {
		err := s.read(ctx, r)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// read makes one call and applies its answer.
func (s *Source) read(ctx context.Context, r Reader) error {
	call := r.Range
	if s.synced {
		call = func(ctx context.Context) (Answer, error) { return r.Watch(ctx, s.revision, watchWait) }
	}
	a, err := call(ctx)
	compacted := errors.Is(err, platform.ErrCompacted)
	if r.Direct && compacted {
		s.noteStore(nil)
	} else if r.Direct {
		s.noteStore(err)
	}
	switch {
	case compacted:
		s.synced = false
		return nil
	case err != nil:
		return err
	}
	s.noteReturn(a.Returned)
	s.take(a)
	return nil
}

// take applies an answer and lets other VMs see it.
func (s *Source) take(a Answer) {
	if !s.synced {
		s.reset(a.Page)
	}
	for _, item := range a.Events {
		s.apply(item)
	}
	s.revision = max(s.revision, a.Revision)
	s.dropLapsed()
	s.freshen(a.KnownAt)
	s.History.add(a, s.revision, s.FreshAt(), s.returned)
}

// noteStore logs when the store is lost and when it returns.
func (s *Source) noteStore(err error) {
	if down := err != nil; s.down.Swap(down) == down {
		return
	}
	if err != nil {
		event.StoreDown.Log(s.Log, "error", err.Error(), "revision", s.revision)
		return
	}
	s.noteReturn(s.Now())
	event.StoreBack.Log(s.Log, "revision", s.revision)
}

func (s *Source) noteReturn(at time.Time) {
	if at.After(s.returned) {
		s.returned = at
	}
}

// freshen says that the VM's knowledge was current at a time. Knowledge never gets older.
func (s *Source) freshen(at time.Time) {
	if now := s.Now(); at.After(now) {
		at = now
	}
	for {
		old := s.fresh.Load()
		if at.UnixNano() <= old || s.fresh.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// reset replaces everything by a full range.
func (s *Source) reset(page platform.Page) {
	present := map[string]bool{}
	evacuated := map[string]bool{}
	for _, item := range page.Items {
		if domain, ok := strings.CutPrefix(item.Key, platform.EvacuatePrefix); ok {
			evacuated[domain] = true
			continue
		}
		if id, ok := strings.CutPrefix(item.Key, platform.UpstreamPrefix); ok {
			present[id] = true
		}
		s.apply(item)
	}
	s.setEvacuated(evacuated)
	for id := range s.entries {
		if !present[id] {
			s.lapsed[id] = true
		}
	}
	s.dropLapsed()
	s.revision = page.Revision
	s.synced = true
	s.loaded.Store(true)
	s.Replicas.Loaded()
}

// apply takes over one change.
func (s *Source) apply(item platform.Item) {
	switch {
	case item.Key == platform.ConfigKey:
		if !item.Deleted {
			s.Accept(item.Value)
		}
	case strings.HasPrefix(item.Key, platform.EvacuatePrefix):
		s.evacuate(strings.TrimPrefix(item.Key, platform.EvacuatePrefix), !item.Deleted)
	case strings.HasPrefix(item.Key, platform.UpstreamPrefix):
		s.upstream(strings.TrimPrefix(item.Key, platform.UpstreamPrefix), item)
	}
}

// Accept brings a configuration into force if it is newer than the present one. A store that serves an
// older state, or another VM that knows less, never takes the VM back.
func (s *Source) Accept(value []byte) {
	s.accepting.Lock()
	defer s.accepting.Unlock()
	c, err := platform.DecodeConfig(value)
	if err != nil {
		event.ConfigRejected.Log(s.Log, "error", err.Error())
		return
	}
	old := s.table.Load()
	if old != nil && c.Version <= old.Config.Version {
		if c.Version < old.Config.Version {
			event.ConfigStale.Log(s.Log, "version", c.Version, "inForce", old.Config.Version)
		}
		return
	}
	t := route.New(c)
	s.table.Store(t)
	event.ConfigAccepted.Log(s.Log, "version", c.Version, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	s.OnConfig(t)
}

func (s *Source) evacuate(domain string, on bool) {
	next := map[string]bool{}
	for d := range s.evacuated {
		next[d] = true
	}
	delete(next, domain)
	if on {
		next[domain] = true
	}
	s.setEvacuated(next)
}

func (s *Source) setEvacuated(domains map[string]bool) {
	for d := range domains {
		if !s.evacuated[d] {
			event.DomainEvacuated.Log(s.Log, "failureDomain", d)
		}
	}
	for d := range s.evacuated {
		if !domains[d] {
			event.DomainTakenBack.Log(s.Log, "failureDomain", d)
		}
	}
	s.evacuated = domains
	s.count()
	s.Replicas.SetEvacuated(s.Now(), domains, s.warmUp)
}

func (s *Source) warmUp(service string) time.Duration {
	if t := s.table.Load(); t != nil {
		if sv := t.Service(service); sv != nil {
			return sv.WarmUp
		}
	}
	return 0
}

func (s *Source) upstream(id string, item platform.Item) {
	if item.Deleted {
		s.lapsed[id] = true
		return
	}
	e, err := platform.DecodeUpstream(item.Key, item.Value)
	if err != nil {
		event.UpstreamUnreadable.Log(s.Log, "upstream", id, "error", err.Error())
		s.drop(id)
		return
	}
	delete(s.lapsed, id)
	s.entries[id] = e
	s.count()
	if !s.Local(e.FailureDomain) {
		s.Replicas.Remove(id)
		return
	}
	s.Replicas.Put(s.Now(), e, s.warmUp(e.Service))
	event.UpstreamRegistered.Log(s.Log, "upstream", id, "service", e.Service, "draining", e.Draining, "born", e.Born, "coldMillis", e.ColdFor.Milliseconds())
}

// dropLapsed removes the upstreams whose registration is gone. While the store was away, registrations
// lapsed without meaning; for a while after its return they may come back.
func (s *Source) dropLapsed() {
	if !s.returned.IsZero() && s.Now().Sub(s.returned) < returnGrace {
		return
	}
	for id := range s.lapsed {
		s.drop(id)
		event.UpstreamGone.Log(s.Log, "upstream", id)
	}
	clear(s.lapsed)
}

func (s *Source) drop(id string) {
	delete(s.entries, id)
	s.count()
	s.Replicas.Remove(id)
}

// Capacities are sums over the usable upstreams, by service and region.
type Capacities map[string]map[string]int

// Capacity returns the slots of a service by region. It must not be changed.
func (s *Source) Capacity(service string) map[string]int {
	if c := s.slots.Load(); c != nil {
		return (*c)[service]
	}
	return nil
}

// Replicated returns the number of usable upstreams of a service in a region.
func (s *Source) Replicated(service, region string) int {
	if c := s.replicas.Load(); c != nil {
		return (*c)[service][region]
	}
	return 0
}

// count adds up the slots of the upstreams that are neither leaving nor evacuated.
func (s *Source) count() {
	sums, numbers := Capacities{}, Capacities{}
	for _, e := range s.entries {
		if e.Draining || s.evacuated[e.FailureDomain] {
			continue
		}
		if sums[e.Service] == nil {
			sums[e.Service] = map[string]int{}
			numbers[e.Service] = map[string]int{}
		}
		region := s.Region(e.FailureDomain)
		sums[e.Service][region] += e.Slots
		numbers[e.Service][region]++
	}
	s.slots.Store(&sums)
	s.replicas.Store(&numbers)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

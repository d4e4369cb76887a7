// Package source watches the platform's store for the configuration, the evacuated failure domains and the
// registered upstreams, and applies the changes. Only upstreams of the VM's own region are added to its replica
// table.
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
	"parsleyhatch/version"
)

const (
	// minReadInterval is the minimum time between the beginnings of a read that returns changes and the next one. Changes
	// that follow each other are read together: in a large deployment, each watch would otherwise return at once.
	minReadInterval = 200 * time.Millisecond
	// indirectWatchMargin is the divisor of the time by which a watch through another VM lasts longer, so that the next
	// answer of the store to that VM ends it.
	indirectWatchMargin = 4
	// minBackoff and maxBackoff bound the exponential backoff after failed calls.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// lateReadIntervals is the age of the known state, in timeouts of a watch, from which a read that ends it is logged.
	lateReadIntervals = 2
	// reregisterGrace is the time after a store outage in which upstreams whose registration has expired can
	// register again before they are removed.
	reregisterGrace = 2200 * time.Millisecond
)

// Watcher watches the store. It is safe for concurrent use.
type Watcher struct {
	// Readers returns the readers of the store in order of preference.
	Readers  func() []Reader
	Replicas *replica.Table
	// Versions keeps the software versions that have served. Nil keeps none.
	Versions *version.History
	Log      *slog.Logger
	// Now returns the current time since boot, see clock.Now.
	Now func() time.Time
	// Local reports whether a failure domain is in the region of this VM.
	Local func(failureDomain string) bool
	// Region returns the region of a failure domain.
	Region func(failureDomain string) string
	// WatchTimeout is the time after which a watch returns although nothing has changed. The empty answer proves that the
	// VM's state is current, and a missing answer reveals a dead connection.
	WatchTimeout time.Duration
	// HistoryTime is the time before the present of which the store's history shows what has served. Zero if it is not known.
	HistoryTime time.Duration
	// OnConfig is called with each configuration that becomes active.
	OnConfig func(t *route.Table)
	// OnVersions is called after a change of the registrations, once Versions reflects them.
	OnVersions func()
	// OnPast is called once the VM has read which versions have served before its start, or failed to.
	OnPast func()

	table   atomic.Pointer[route.Table]
	freshAt atomic.Int64
	// capacity holds the slots of the usable upstreams.
	capacity atomic.Pointer[RegionTotals]
	// upstreamCounts holds the numbers of the usable upstreams.
	upstreamCounts      atomic.Pointer[RegionTotals]
	registrationsLoaded atomic.Bool
	readingPast         atomic.Bool
	// versionCounts holds the numbers of the usable upstreams of each software version.
	versionCounts atomic.Pointer[map[versionKey]int]
	// acceptMu serializes AcceptConfig and guards accepted, which is closed with the next configuration that becomes
	// active.
	acceptMu sync.Mutex
	accepted chan struct{}
	// latestConfig is the value from which the active configuration was decoded. It is guarded by acceptMu.
	latestConfig []byte
	// unchanged holds what other VMs said of earlier configurations before this VM had one. It is guarded by acceptMu.
	unchanged []route.Unchanged

	// History answers store reads of other VMs.
	History History
	// down is set if the latest direct call of this VM to the store failed.
	down atomic.Bool

	// The fields below are used only by the goroutine of Run. synced is set while changes are watched from
	// position; otherwise the next read fetches all items.
	position Position
	synced   bool
	// incomplete is set if the latest answer held only a part of the changes, so that the next read follows at once.
	incomplete bool
	// storeReturnedAt is the time of the latest answer that ended a store outage, zero if there was none.
	storeReturnedAt time.Time
	evacuated       map[string]bool
	// entries are the registered upstreams of all regions by ID.
	entries map[string]replica.Registration
	// expired holds the IDs of upstreams whose registration is no longer in the store. They are removed unless
	// reregisterGrace is running.
	expired map[string]bool
	restore restoreState
	// versionsStale is set if Versions does not reflect entries.
	versionsStale bool
}

// Table returns the active configuration, or nil if there is none yet.
func (s *Watcher) Table() *route.Table { return s.table.Load() }

// FreshAt returns the latest known time at which this VM's state matched the store. It is the zero time if there is none.
func (s *Watcher) FreshAt() time.Time {
	at := s.freshAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// RegistrationsLoaded reports whether the registrations have been read at least once.
func (s *Watcher) RegistrationsLoaded() bool { return s.registrationsLoaded.Load() }

// StoreDown reports whether the latest direct call of this VM to the store failed.
func (s *Watcher) StoreDown() bool { return s.down.Load() }

// Run watches the store until ctx ends.
func (s *Watcher) Run(ctx context.Context) {
	s.init()
	backoff := minBackoff
	for ctx.Err() == nil {
		began, position := s.Now(), s.position
		if err := s.readOnce(ctx); err != nil {
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		sleep(ctx, s.readPause(began, position))
	}
}

// readPause returns the time until the next read. The latest one began at a time and a position.
func (s *Watcher) readPause(began time.Time, position Position) time.Duration {
	if s.position == position || s.incomplete {
		return 0
	}
	return max(0, began.Add(minReadInterval).Sub(s.Now()))
}

func (s *Watcher) init() {
	s.evacuated = map[string]bool{}
	s.expired = map[string]bool{}
	s.entries = map[string]replica.Registration{}
	s.restore = newRestoreState()
}

// readOnce reads the store through the first reader that succeeds, and applies the answer.
func (s *Watcher) readOnce(ctx context.Context) error {
	var errs []error
	for _, r := range s.Readers() {
		err := s.readFrom(ctx, r, len(errs) > 0)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// errNoProgress means that a reader's own watch should have ended, but has not.
var errNoProgress = errors.New("the reader's knowledge of the store does not advance")

// watchTimeout returns the timeout of a watch. After the failure of another reader, the state of the store is read at once.
func (s *Watcher) watchTimeout(r Reader, afterFailure bool) time.Duration {
	switch {
	case afterFailure:
		return time.Millisecond
	case r.Direct:
		return s.WatchTimeout
	default:
		return s.WatchTimeout + s.WatchTimeout/indirectWatchMargin
	}
}

// errEarlierEra means that a reader knows the store only as it was before it was restored.
var errEarlierEra = errors.New("the reader's knowledge is from before a restore of the store")

// readFrom makes one call to a reader and applies its answer. If the watched revision was compacted, or the store restored, the
// next call reads all items.
func (s *Watcher) readFrom(ctx context.Context, r Reader, afterFailure bool) error {
	call := r.Range
	if s.synced {
		timeout := s.watchTimeout(r, afterFailure)
		call = func(ctx context.Context) (Answer, error) { return r.Watch(ctx, s.position, timeout) }
	}
	a, err := call(ctx)
	compacted := errors.Is(err, platform.ErrCompacted)
	if r.Direct && compacted {
		s.recordStoreState(nil)
	} else if r.Direct {
		s.recordStoreState(err)
	}
	switch {
	case compacted:
		s.synced = false
		return nil
	case err != nil:
		return err
	case a.Era < s.position.Era:
		return errEarlierEra
	case a.Era > s.position.Era && s.synced:
		s.synced = false
		return nil
	}
	noProgress := !r.Direct && s.synced && len(a.Events) == 0 && s.Now().Sub(a.KnownAt) > s.WatchTimeout
	s.recordStoreReturn(a.StoreReturnedAt)
	isRange := !s.synced
	if isRange && r.Direct && s.registrationsLoaded.Load() && s.Versions != nil {
		s.Versions.MarkGap(s.Now()) // The range does not show what came and went since the last answer.
	}
	s.applyAnswer(a)
	if isRange && r.Direct {
		s.startPast(ctx, r, a.Items)
	}
	s.incomplete = len(a.Events) > 0 && a.KnownAt.IsZero()
	if noProgress {
		return errNoProgress
	}
	return nil
}

// applyAnswer applies an answer and adds it to the history for other VMs.
func (s *Watcher) applyAnswer(a Answer) {
	if !s.synced {
		s.recordRestore(a.Page)
		s.applyRange(a.Page)
	}
	for _, item := range a.Events {
		s.applyItem(item)
	}
	s.position.Revision = max(s.position.Revision, a.Revision)
	s.removeExpired()
	s.settle()
	if s.versionsStale && s.Versions != nil {
		s.versionsStale = false
		s.Versions.Update(s.Now(), s.entries)
		s.OnVersions()
	}
	before := s.FreshAt()
	s.advanceFreshAt(a.KnownAt)
	// A VM is ready from here on, and must not refuse its first requests because the keys do not count as current yet.
	s.registrationsLoaded.Store(true)
	s.logLateRead(before, a)
	s.History.add(a, s.position, s.FreshAt(), s.storeReturnedAt)
}

// logLateRead logs an answer after a long time in which nothing was known of the store. before is the time up to which the VM's
// state was current.
func (s *Watcher) logLateRead(before time.Time, a Answer) {
	now := s.Now()
	if before.IsZero() || now.Sub(before) <= lateReadIntervals*s.WatchTimeout {
		return
	}
	event.StoreReadLate.Log(s.Log, "ageMillis", now.Sub(before).Milliseconds(), "ageAfterMillis", now.Sub(s.FreshAt()).Milliseconds(),
		"changes", len(a.Events), "items", len(a.Items), "revision", a.Revision)
}

// recordStoreState records the result of a direct call, and logs when the store becomes unreachable or reachable.
func (s *Watcher) recordStoreState(err error) {
	if down := err != nil; s.down.Swap(down) == down {
		return
	}
	if err != nil {
		s.History.interrupt()
		event.StoreDown.Log(s.Log, "error", err.Error(), "revision", s.position.Revision)
		return
	}
	s.recordStoreReturn(s.Now())
	event.StoreReachable.Log(s.Log, "revision", s.position.Revision)
}

func (s *Watcher) recordStoreReturn(at time.Time) {
	if at.After(s.storeReturnedAt) {
		s.storeReturnedAt = at
	}
}

// advanceFreshAt records that the VM's state was current at a time, unless that is not known. The recorded time never decreases
// and is never in the future.
func (s *Watcher) advanceFreshAt(at time.Time) {
	if at.IsZero() {
		return
	}
	if now := s.Now(); at.After(now) {
		at = now
	}
	for {
		old := s.freshAt.Load()
		if at.UnixNano() <= old || s.freshAt.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// applyRange replaces the state by a full range of the store. Missing upstreams are marked as expired.
func (s *Watcher) applyRange(page platform.Page) {
	present := map[string]bool{}
	evacuated := map[string]bool{}
	clear(s.restore.doubted)
	for _, item := range page.Items {
		if domain, ok := strings.CutPrefix(item.Key, platform.EvacuatePrefix); ok {
			evacuated[domain] = true
			delete(s.restore.kept, domain)
			continue
		}
		if id, ok := strings.CutPrefix(item.Key, platform.UpstreamPrefix); ok {
			present[id] = true
			if s.doubtUpstream(id, item) {
				continue
			}
		}
		s.applyItem(item)
	}
	s.keepEvacuations(evacuated)
	s.setEvacuated(evacuated)
	for id := range s.entries {
		if !present[id] {
			s.expired[id] = true
		}
	}
	s.removeExpired()
	s.position = Position{Era: page.Era, Revision: page.Revision}
	s.synced = true
	s.Replicas.MarkLoaded()
}

// applyItem applies one item or change.
func (s *Watcher) applyItem(item platform.Item) {
	switch {
	case item.Key == platform.ConfigKey:
		if !item.Deleted {
			s.acceptConfig(item, !s.synced)
		}
	case strings.HasPrefix(item.Key, platform.EvacuatePrefix):
		domain := strings.TrimPrefix(item.Key, platform.EvacuatePrefix)
		delete(s.restore.kept, domain)
		s.setDomainEvacuated(domain, !item.Deleted)
	case strings.HasPrefix(item.Key, platform.UpstreamPrefix):
		s.applyUpstream(strings.TrimPrefix(item.Key, platform.UpstreamPrefix), item)
	}
}

// AcceptConfig activates a configuration if its version is higher than that of the active one. A store or another
// VM that serves an older state therefore never reverts the configuration.
func (s *Watcher) AcceptConfig(value []byte) { s.AcceptConfigItem(platform.Item{Value: value}) }

// AcceptConfigItem is AcceptConfig for an item of the store. If its key was created with it, the configuration is the first one.
func (s *Watcher) AcceptConfigItem(item platform.Item) { s.acceptConfig(item, true) }

// acceptConfig is AcceptConfigItem. skipped is set if configurations between the active one and this one may not have been read.
func (s *Watcher) acceptConfig(item platform.Item, skipped bool) {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	c, err := platform.DecodeConfig(item.Value)
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
	t := route.NewAfter(s.Now(), old, c)
	if old == nil && item.Created != 0 && item.Created == item.Revision {
		t.MarkFirst()
	}
	if old != nil && skipped {
		t.MarkGap(s.Now())
	}
	for _, u := range s.unchanged {
		t = t.Extend(u)
	}
	s.unchanged = nil
	s.table.Store(t)
	s.latestConfig = item.Value
	event.ConfigAccepted.Log(s.Log, "version", c.Version, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	s.OnConfig(t)
	if s.accepted != nil {
		close(s.accepted)
		s.accepted = nil
	}
}

// maxUnchanged bounds what is kept of other VMs before the first configuration.
const maxUnchanged = 64

// ExtendPast adds what another VM knows of earlier configurations.
func (s *Watcher) ExtendPast(u route.Unchanged) {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	if t := s.table.Load(); t != nil {
		s.table.Store(t.Extend(u))
		return
	}
	if len(s.unchanged) < maxUnchanged {
		s.unchanged = append(s.unchanged, u)
	}
}

// WaitForVersion waits until the active configuration has at least a version or ctx ends. It returns the active
// configuration, or nil if there is none.
func (s *Watcher) WaitForVersion(ctx context.Context, version uint64) *route.Table {
	for {
		accepted := s.nextAccepted()
		if t := s.Table(); t != nil && t.Config.Version >= version {
			return t
		}
		select {
		case <-accepted:
		case <-ctx.Done():
			return s.Table()
		}
	}
}

// nextAccepted returns a channel that is closed with the next configuration that becomes active.
func (s *Watcher) nextAccepted() <-chan struct{} {
	s.acceptMu.Lock()
	defer s.acceptMu.Unlock()
	if s.accepted == nil {
		s.accepted = make(chan struct{})
	}
	return s.accepted
}

func (s *Watcher) setDomainEvacuated(domain string, active bool) {
	next := map[string]bool{}
	for d := range s.evacuated {
		next[d] = true
	}
	delete(next, domain)
	if active {
		next[domain] = true
	}
	s.setEvacuated(next)
}

func (s *Watcher) setEvacuated(domains map[string]bool) {
	for d := range domains {
		if !s.evacuated[d] {
			event.DomainEvacuated.Log(s.Log, "failureDomain", d)
		}
	}
	for d := range s.evacuated {
		if !domains[d] {
			event.DomainEvacuationEnded.Log(s.Log, "failureDomain", d)
		}
	}
	s.evacuated = domains
	s.updateCapacity()
	s.Replicas.SetEvacuated(s.Now(), domains, s.warmUp)
}

func (s *Watcher) warmUp(service string) time.Duration {
	if t := s.table.Load(); t != nil {
		if sv := t.Service(service); sv != nil {
			return sv.WarmUp
		}
	}
	return 0
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

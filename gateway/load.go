package gateway

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/upstream"
	"parsleyhatch/vmwire"
)

const (
	// pollInterval is the period of reading an upstream's load.
	pollInterval = time.Second
	// pollWorkers bounds the load reports that are read at the same time.
	pollWorkers = 8
	// cacheReadPolls is the number of polls between two reads of cache events.
	cacheReadPolls = 2
	// compactLoadBytes is the size of a compact report.
	compactLoadBytes = 6
	// flagDown is set in the compact report of an engine that does not respond.
	flagDown = 1
	// stateInterval is the period at which the unchanged state of an engine is sent again.
	stateInterval = 3 * time.Second
	// manyEngines is the number of engines of a region from which loads are read every
	// slowPollInterval, to keep the control messages within their byte budget.
	manyEngines      = 100
	slowPollInterval = 2 * time.Second
)

// watchedUpstream is an upstream whose load this VM reads for the region.
type watchedUpstream struct {
	name, address string
	// ordered is set if the engine gets orders; its fencing number is then read too.
	ordered bool
}

// loadResult is one load report, or the failure to get it.
type loadResult struct {
	name         string
	at           time.Time
	load         upstream.Load
	events       []upstream.CacheEvent
	eventsMissed bool
	err          error
	// stateAt is when the report's read was sent, less the report's lag.
	stateAt time.Time
	// fence is the number of the engine's last order, valid if fenceRead is set: it was read by
	// stateAt.
	fence     uint64
	fenceRead bool
}

// selectWatched selects the upstreams that this VM polls.
func (g *Gateway) selectWatched(now time.Time) {
	list := []watchedUpstream{}
	watchers := make(map[string]string, len(g.ownEngines))
	for _, u := range g.ownEngines {
		watchers[u.Name] = g.members.Watcher(now, u.Name, u.Region, u.FailureDomain)
		if watchers[u.Name] == g.Self.Slot {
			list = append(list, watchedUpstream{name: u.Name, address: u.Address, ordered: g.ordered[u.Name]})
		}
	}
	g.watched.Store(&list)
	g.watchers.Store(&watchers)
}

// enginesOf lists the engines of a region, sorted by name.
func enginesOf(s *config.Snapshot, region string) []*config.Upstream {
	var list []*config.Upstream
	for i := range s.File.Upstreams {
		if u := &s.File.Upstreams[i]; u.Kind == config.KindModel && u.Region == region {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b *config.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// setEngines records the engines of the own region.
func (g *Gateway) setEngines(s *config.Snapshot) {
	g.ownEngines = enginesOf(s, g.Self.Region)
	g.manyEngines.Store(len(g.ownEngines) >= manyEngines)
	clear(g.engineIndex)
	for i, u := range g.ownEngines {
		g.engineIndex[u.Name] = i
	}
}

// isWatching reports whether this VM polls the upstream.
func (g *Gateway) isWatching(name string) bool {
	list := g.watched.Load()
	if list == nil {
		return false
	}
	for _, w := range *list {
		if w.name == name {
			return true
		}
	}
	return false
}

// runLoadPoll reads the load of the watched upstreams until ctx ends.
func (g *Gateway) runLoadPoll(ctx context.Context) {
	next := map[string]uint64{}
	for round := 0; ctx.Err() == nil; round++ {
		if list := g.watched.Load(); list != nil && len(*list) > 0 {
			results := g.poll(ctx, *list, next, round%cacheReadPolls == 0)
			select {
			case g.loadResults <- results:
			case <-ctx.Done():
			}
		}
		interval := pollInterval
		if g.manyEngines.Load() {
			interval = slowPollInterval
		}
		sleep(ctx, interval)
	}
}

// poll reads each upstream once. next holds the sequence of the next cache event of each.
func (g *Gateway) poll(ctx context.Context, list []watchedUpstream, next map[string]uint64, events bool) []loadResult {
	results := make([]loadResult, len(list))
	after := make([]uint64, len(list))
	var wait sync.WaitGroup
	workers := make(chan struct{}, pollWorkers)
	for i, w := range list {
		workers <- struct{}{}
		wait.Go(func() {
			defer func() { <-workers }()
			results[i], after[i] = g.pollOne(ctx, w, next[w.name], events)
		})
	}
	wait.Wait()
	for i, w := range list {
		next[w.name] = after[i]
	}
	return results
}

func (g *Gateway) pollOne(ctx context.Context, w watchedUpstream, after uint64, events bool) (loadResult, uint64) {
	r := g.readEngine(ctx, w)
	if r.err != nil || !events {
		return r, after
	}
	page, err := g.Upstreams.CacheEvents(ctx, w.address, after)
	if err != nil {
		return r, after
	}
	r.events = page.Events
	for i, e := range page.Events {
		if after+uint64(i)+1 != e.Seq {
			r.eventsMissed = true
		}
	}
	return r, page.Next
}

// recordLoads applies this VM's own reports and sends them to the region.
func (g *Gateway) recordLoads(ctx context.Context, now time.Time, results []loadResult) {
	snapshot := g.Snapshot()
	if snapshot == nil {
		return
	}
	out := vmwire.Load{ConfigNumber: snapshot.Version.Number, ConfigTag: snapshot.Version.DigestPrefix()}
	for _, r := range results {
		if u := g.choices.Lookup(r.name); u != nil {
			g.applyLoad(now, u, r)
		}
		if r.err == nil {
			g.recordReport(r.name, reportOf(r))
		}
		out.Compact = g.appendCompact(out.Compact, now, r)
		if len(snapshot.Placements) > 0 && g.stateIsDue(now, r) {
			out.Upstreams = append(out.Upstreams, loadMessage(now, r))
		}
	}
	g.sendLoad(ctx, now, &out)
	g.refreshRoutes(now)
}

// appendCompact appends the 6 bytes of one report.
func (g *Gateway) appendCompact(b []byte, now time.Time, r loadResult) []byte {
	index, ok := g.engineIndex[r.name]
	if !ok {
		return b
	}
	age := min(max(now.Sub(r.at), 0)/ageUnit, maxAgeUnits)
	var flags byte
	if r.err != nil {
		flags, age = flagDown, 0
	}
	b = binary.BigEndian.AppendUint16(b, uint16(index))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.load.Running+r.load.Waiting, math.MaxUint16)))
	return append(b, byte(age), flags)
}

// sentState is the state of an engine that this VM last sent to the region.
type sentState struct {
	at      time.Time
	state   string
	fence   uint64
	loading bool
}

// stateIsDue reports whether the state of an engine must be sent, because it has changed or was
// last sent stateInterval ago.
func (g *Gateway) stateIsDue(now time.Time, r loadResult) bool {
	state := sentState{at: now, state: fmt.Sprint(r.load.Model, r.load.Version, r.load.Adapters, r.load.Role), fence: r.fence, loading: r.load.Loading}
	old := g.sentStates[r.name]
	same := old.state == state.state && old.fence == state.fence && old.loading == state.loading
	if same && now.Sub(old.at) < stateInterval {
		return false
	}
	g.sentStates[r.name] = state
	return true
}

// applyLoad applies one of this VM's own reports to the choice of upstreams.
func (g *Gateway) applyLoad(now time.Time, u *choose.Upstream, r loadResult) {
	if r.err != nil {
		u.RecordFailure(now)
	} else {
		u.RecordLoad(r.at, int64(r.load.Running+r.load.Waiting))
		g.running.SetBootID(r.name, r.load.BootID)
		g.running.SetLoad(r.name, r.load.Running+r.load.Waiting)
	}
	if r.eventsMissed {
		g.choices.RecordCacheEventGap(now, u)
	}
	for _, e := range r.events {
		if prefix, ok := prefixHash(e.Prefix); ok {
			g.choices.ApplyCacheEvent(r.at, u, prefix, e.Op == "add")
		}
	}
}

func loadMessage(now time.Time, r loadResult) vmwire.UpstreamLoad {
	return vmwire.UpstreamLoad{
		Upstream: r.name, Running: int32(r.load.Running), Waiting: int32(r.load.Waiting),
		Age: vmwire.AgeOf(now, r.at), CachedTokens: r.load.CachedTokens, Down: r.err != nil,
		Model: r.load.Model, Version: r.load.Version, Adapters: r.load.Adapters, Role: r.load.Role, Loading: r.load.Loading,
		Fencing: r.fence, FencingRead: r.fenceRead, StateAge: vmwire.AgeOf(now, r.stateAt),
	}
}

// sendLoad sends a message to all VMs of the region, connecting to those without a session.
func (g *Gateway) sendLoad(ctx context.Context, now time.Time, w *vmwire.Load) {
	for _, slot := range g.members.LiveSlots(now, g.Self.Region) {
		if s := g.sessions.get(slot); s != nil {
			s.SendControl(vmwire.KindLoad, w)
		} else {
			g.dial(ctx, slot)
		}
	}
}

// onLoad applies the reports of another VM of the region.
func (g *Gateway) onLoad(m controlMessage) {
	var w vmwire.Load
	if m.from.Peer.Region != g.Self.Region || !g.decode(m, &w) {
		return
	}
	now := g.Now()
	g.recordWaits(now, m.from.Peer.Slot, w.Waits)
	for _, l := range w.Upstreams {
		if !l.Down {
			g.recordReport(l.Upstream, reportOfWire(now, l))
		}
	}
	g.applyCompact(now, &w)
	g.refreshRoutes(now)
}

// applyCompact applies compact reports, if their sender has the same configuration.
func (g *Gateway) applyCompact(now time.Time, w *vmwire.Load) {
	s := g.Snapshot()
	if s == nil || s.Version.Number != w.ConfigNumber || s.Version.DigestPrefix() != w.ConfigTag {
		return
	}
	for c := w.Compact; len(c) >= compactLoadBytes; c = c[compactLoadBytes:] {
		index := int(binary.BigEndian.Uint16(c))
		if index >= len(g.ownEngines) {
			continue
		}
		u := g.choices.Lookup(g.ownEngines[index].Name)
		switch {
		case u == nil:
		case c[5]&flagDown != 0:
			u.RecordFailure(now)
		default:
			load := binary.BigEndian.Uint16(c[2:])
			u.RecordLoad(now.Add(-time.Duration(c[4])*ageUnit), int64(load))
			g.running.SetLoad(u.Name, int(load))
		}
	}
}

package gateway

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/upstream"
	"parsleyhatch/vmwire"
)

const (
	// pollInterval is the period of reading an upstream's load.
	pollInterval = time.Second
	// pollWorkers bounds the load reports that are read at the same time.
	pollWorkers = 8
	// cacheInterval is the number of polls between two reads of cache events.
	cacheInterval = 2
	// loadBatch bounds the upstreams in one message.
	loadBatch = 256
)

// watchedUpstream is an upstream whose load this VM reads for the region.
type watchedUpstream struct {
	name, address string
}

// loadResult is one load report, or the failure to get it.
type loadResult struct {
	name   string
	at     time.Time
	load   upstream.Load
	events []upstream.CacheEvent
	gap    bool
	err    error
}

// watch selects the upstreams that this VM polls.
func (g *Gateway) watch(now time.Time) {
	list := []watchedUpstream{}
	for _, u := range g.ownEngines {
		if g.members.Watcher(now, u.Name, u.Region, u.FailureDomain) == g.Self.Slot {
			list = append(list, watchedUpstream{name: u.Name, address: u.Address})
		}
	}
	g.watched.Store(&list)
}

// enginesOf lists the engines of a region.
func enginesOf(s *config.Snapshot, region string) []*config.Upstream {
	var list []*config.Upstream
	for i := range s.File.Upstreams {
		if u := &s.File.Upstreams[i]; u.Kind == config.KindModel && u.Region == region {
			list = append(list, u)
		}
	}
	return list
}

// watches reports whether this VM polls the upstream.
func (g *Gateway) watches(name string) bool {
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
			results := g.poll(ctx, *list, next, round%cacheInterval == 0)
			select {
			case g.loads <- results:
			case <-ctx.Done():
			}
		}
		sleep(ctx, pollInterval)
	}
}

// poll reads each upstream once. next holds the sequence of the next cache event of each.
func (g *Gateway) poll(ctx context.Context, list []watchedUpstream, next map[string]uint64, events bool) []loadResult {
	results := make([]loadResult, len(list))
	after := make([]uint64, len(list))
	var wait sync.WaitGroup
	slots := make(chan struct{}, pollWorkers)
	for i, w := range list {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
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
	r := loadResult{name: w.name}
	r.load, r.err = g.Upstreams.Load(ctx, w.address)
	r.at = g.Now().Add(-time.Duration(r.load.AgeMillis) * time.Millisecond)
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
			r.gap = true
		}
	}
	return r, page.Next
}

// recordLoads applies this VM's own reports and sends them to the region.
func (g *Gateway) recordLoads(now time.Time, results []loadResult) {
	var out vmwire.Load
	for _, r := range results {
		u := g.choices.Lookup(r.name)
		if u == nil {
			continue
		}
		if r.err != nil {
			u.Failed(now)
		} else {
			u.Report(r.at, int64(r.load.Running+r.load.Waiting))
			g.running.booted(r.name, r.load.BootID)
		}
		if r.gap {
			g.choices.EventsLost(now, u)
		}
		for _, e := range r.events {
			if prefix, ok := prefixHash(e.Prefix); ok {
				g.choices.Cached(r.at, u, prefix, e.Op == "add")
			}
		}
		out.Upstreams = append(out.Upstreams, vmwire.UpstreamLoad{
			Upstream: r.name, Running: int32(r.load.Running), Waiting: int32(r.load.Waiting),
			AgeMillis: now.Sub(r.at).Milliseconds(), CachedTokens: r.load.CachedTokens, Down: r.err != nil,
		})
	}
	g.sendLoads(out.Upstreams)
}

func (g *Gateway) sendLoads(list []vmwire.UpstreamLoad) {
	for start := 0; start < len(list); start += loadBatch {
		batch := &vmwire.Load{Upstreams: list[start:min(start+loadBatch, len(list))]}
		for _, s := range g.sessions.all() {
			if s.Peer.Region == g.Self.Region {
				s.Control(vmwire.KindLoad, batch)
			}
		}
	}
}

// onLoad applies the reports of another VM of the region.
func (g *Gateway) onLoad(m message) {
	var w vmwire.Load
	if m.from.Peer.Region != g.Self.Region || !g.decode(m, &w) {
		return
	}
	now := g.Now()
	for _, l := range w.Upstreams {
		u := g.choices.Lookup(l.Upstream)
		switch {
		case u == nil:
		case l.Down:
			u.Failed(now)
		default:
			u.Report(now.Add(-time.Duration(l.AgeMillis)*time.Millisecond), int64(l.Running+l.Waiting))
		}
	}
}

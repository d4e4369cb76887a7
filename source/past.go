package source

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/version"
)

const (
	// pastTimeout bounds the time for which a VM that starts reads the history of the registrations.
	pastTimeout = 5 * time.Second
	// maxPastCalls and maxPastChanges bound the calls for it and the changes that they may return.
	maxPastCalls   = 40
	maxPastChanges = 20_000
	// pastParts is the number of parts into which each round of calls divides what the search for the beginning of the history has left.
	pastParts = 4
)

// pastSpans are the numbers of changes by which the search goes back before it knows where the history ends. If nothing has
// changed for long, the first call is the only one.
var pastSpans = [][]uint64{{1}, {8, 64, 512}, {8, 64, 512}, {4096, 32_768, 262_144}}

// errPastTooLong means that the history takes more calls, or has more changes, than a VM that starts reads.
var errPastTooLong = errors.New("the history of the registrations exceeds its limit")

// past reads the changes of registrations that the store still has, from a range backwards.
type past struct {
	changes func(ctx context.Context, after uint64) (Answer, error)
	// now returns the present time.
	now func() time.Time
	// until is the position of the range, which was read at readAt.
	until  Position
	readAt time.Time
	// registered holds the services of the upstreams of the range, by ID.
	registered map[string]string
	// young are the upstreams of the range that have started recently by their own clocks.
	young []youngUpstream
	calls atomic.Int64

	// found are all changes after a revision.
	after uint64
	found []platform.Item
	// gone is a revision after which the store lacked changes at knownAt, if isGone is set.
	gone    uint64
	isGone  bool
	knownAt time.Time
}

// youngUpstream is an upstream that has started within HistoryTime by its own clock, with the revision at which it was registered first. A
// later change of its registration does not show its start.
type youngUpstream struct {
	service string
	created uint64
}

// probe is a call for the changes after a revision.
type probe struct {
	after   uint64
	changes []platform.Item
	err     error
}

// read reads all changes that the store has.
func (p *past) read(ctx context.Context) error {
	p.after, p.knownAt = p.until.Revision, p.now()
	for round := 0; p.after > 0 && !(p.isGone && p.after-p.gone <= 1); round++ {
		probes := p.nextProbes(round)
		var running sync.WaitGroup
		for _, b := range probes {
			running.Go(func() { b.changes, b.err = p.readAfter(ctx, b.after) })
		}
		running.Wait()
		if err := p.apply(ctx, probes); err != nil {
			return err
		}
	}
	return nil
}

// nextProbes returns the calls of a round of the search.
func (p *past) nextProbes(round int) []*probe {
	var probes []*probe
	add := func(after uint64) {
		if n := len(probes); after < p.after && !(p.isGone && after <= p.gone) && (n == 0 || probes[n-1].after != after) {
			probes = append(probes, &probe{after: after})
		}
	}
	if !p.isGone {
		for _, span := range pastSpans[min(round, len(pastSpans)-1)] {
			add(p.after - min(p.after, span))
		}
		return probes
	}
	left := p.after - p.gone
	for i := uint64(1); i < pastParts; i++ {
		add(p.after - max(1, left/pastParts)*i)
	}
	return probes
}

// apply applies the answers of a round. Calls that failed are repeated by the next round.
func (p *past) apply(ctx context.Context, probes []*probe) error {
	failed := true
	for _, b := range probes {
		switch {
		case b.err == nil:
			failed = false
			if b.after < p.after {
				p.after, p.found = b.after, b.changes
			}
		case errors.Is(b.err, platform.ErrCompacted):
			failed = false
			if !p.isGone || b.after > p.gone {
				p.gone, p.isGone, p.knownAt = b.after, true, p.now()
			}
		case errors.Is(b.err, errPastTooLong) || errors.Is(b.err, platform.ErrRestored) || ctx.Err() != nil:
			return b.err
		}
	}
	if p.isGone && p.gone >= p.after {
		p.gone = p.after - 1 // The store has discarded meanwhile what it had at an earlier call.
	}
	if failed {
		sleep(ctx, minBackoff)
	}
	return nil
}

// readAfter returns the changes after a revision.
func (p *past) readAfter(ctx context.Context, after uint64) ([]platform.Item, error) {
	var changes []platform.Item
	for {
		if p.calls.Add(1) > maxPastCalls || len(changes) > maxPastChanges {
			return nil, errPastTooLong
		}
		a, err := p.changes(ctx, after)
		switch {
		case err != nil:
			return nil, err
		case a.Era != p.until.Era:
			return nil, platform.ErrRestored
		}
		changes = append(changes, a.Events...)
		if a.Revision >= p.until.Revision {
			return changes, nil
		}
		if a.Revision <= after {
			return nil, errNoProgress
		}
		after = a.Revision // The answer holds only a part of the changes.
	}
}

// incomplete returns the services of which the store has discarded changes early: those that it has do not show the start of a young
// upstream. A wrong clock can only add services.
func (p *past) incomplete() map[string]bool {
	services := map[string]bool{}
	for _, u := range p.young {
		if u.created <= p.after {
			services[u.service] = true
		}
	}
	return services
}

// startPast begins to read which versions have left before the registrations of a range were read, unless the VM still reads what was before an
// earlier one.
func (s *Watcher) startPast(ctx context.Context, r Reader, items []platform.Item) {
	if s.Versions == nil || s.HistoryTime <= 0 || s.readingPast.Load() {
		return
	}
	p := &past{
		changes: r.Changes, now: s.Now, until: s.position, readAt: s.Now(),
		registered: s.servicesOf(items), young: s.youngUpstreams(time.Now().UnixMilli(), items),
	}
	s.readingPast.Store(true)
	go s.runPast(ctx, p)
}

// ReadsPast reports whether the VM still reads which versions have served before its start.
func (s *Watcher) ReadsPast() bool { return s.readingPast.Load() }

// runPast reads the past. A failure leaves it unknown.
func (s *Watcher) runPast(ctx context.Context, p *past) {
	defer s.OnPast()
	defer s.readingPast.Store(false)
	ctx, cancel := context.WithTimeout(ctx, pastTimeout)
	defer cancel()
	if err := p.read(ctx); err != nil {
		event.VersionsUnknown.Log(s.Log, "error", err.Error(), "calls", p.calls.Load(), "revision", p.until.Revision)
		return
	}
	known := version.NewPast(p.knownAt.Add(-s.HistoryTime), p.registered, versionChanges(p.found))
	known.Until, known.Incomplete = p.readAt, p.incomplete()
	s.Versions.AddPast(known)
	event.VersionsRead.Log(s.Log, "calls", p.calls.Load(), "revision", p.until.Revision, "after", p.after, "changes", len(p.found),
		"left", len(known.Left), "unknown", known.Unknown, "incomplete", len(known.Incomplete))
}

// versionChanges returns the changes of registrations.
func versionChanges(items []platform.Item) []version.Change {
	var changes []version.Change
	for _, item := range items {
		id, ok := strings.CutPrefix(item.Key, platform.UpstreamPrefix)
		if !ok {
			continue
		}
		c := version.Change{ID: id, Deleted: item.Deleted, Created: item.Created != 0 && item.Created == item.Revision}
		if !item.Deleted {
			if e, err := platform.DecodeUpstream(item.Key, item.Value); err == nil {
				c.Registration = e
			}
		}
		changes = append(changes, c)
	}
	return changes
}

// servicesOf returns the services of the upstreams among the items of a range, by ID.
func (s *Watcher) servicesOf(items []platform.Item) map[string]string {
	services := map[string]string{}
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, platform.UpstreamPrefix); ok && s.entries[id].Service != "" {
			services[id] = s.entries[id].Service
		}
	}
	return services
}

// youngUpstreams returns the upstreams among the items of a range that have started within HistoryTime by their own clocks.
func (s *Watcher) youngUpstreams(unixNow int64, items []platform.Item) []youngUpstream {
	earliest := unixNow - s.HistoryTime.Milliseconds()
	var young []youngUpstream
	for _, item := range items {
		if id, ok := strings.CutPrefix(item.Key, platform.UpstreamPrefix); ok && s.entries[id].Born > earliest {
			young = append(young, youngUpstream{service: s.entries[id].Service, created: item.Created})
		}
	}
	return young
}

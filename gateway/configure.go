package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/limit"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// watchWait is how long a watch waits for a change.
	watchWait = 25 * time.Second
	// watchPause bounds the calls of one reader to four a second.
	watchPause = 250 * time.Millisecond
	// downPause is the wait after a failed read.
	downPause = time.Second
	// fetchTimeout bounds the exchange of a configuration between VMs.
	fetchTimeout = 5 * time.Second
	// joinWait is how long a new VM waits for a confirmation before it serves.
	joinWait = 12 * time.Second
)

// candidate is a configuration that may be accepted.
type candidate struct {
	head  config.Head
	parts map[string][]byte
	from  string
	err   error
}

// runWatch reads the configuration from the platform until ctx ends.
func (g *Gateway) runWatch(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		if !g.isReader.Load() && g.Snapshot() != nil {
			sleep(ctx, watchPause)
			continue
		}
		err := g.readPlatform(ctx)
		if err != nil {
			event.ConfigDown.Log(g.Log, "error", err.Error())
			sleep(ctx, downPause)
			continue
		}
		changes, err := g.Platform.Watch(ctx, revision, watchWait)
		if err != nil {
			sleep(ctx, downPause)
			continue
		}
		revision = changes.Revision
		sleep(ctx, watchPause)
	}
}

// readPlatform reads the head and the parts that this VM lacks.
func (g *Gateway) readPlatform(ctx context.Context) error {
	head, err := g.Platform.Head(ctx)
	if err != nil {
		return err
	}
	c := candidate{head: head, from: "platform"}
	if current := g.Snapshot(); current == nil || head.Version.After(current.Version) {
		c.parts, err = g.fetchParts(ctx, head, g.Platform.Part)
		if err != nil {
			return err
		}
	}
	return g.offer(ctx, c)
}

// fetchParts collects the parts of a head, reusing those of the current snapshot.
func (g *Gateway) fetchParts(ctx context.Context, head config.Head, fetch func(context.Context, string) ([]byte, error)) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(head.Parts))
	current := g.Snapshot()
	for _, digest := range head.Parts {
		if current != nil && current.Parts[digest] != nil {
			parts[digest] = current.Parts[digest]
			continue
		}
		data, err := fetch(ctx, digest)
		if err != nil {
			return nil, err
		}
		parts[digest] = data
	}
	return parts, nil
}

func (g *Gateway) offer(ctx context.Context, c candidate) error {
	select {
	case g.candidates <- c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// consider accepts a candidate if it is valid and later than the configuration in force.
func (g *Gateway) consider(c candidate) {
	if c.from != "platform" {
		g.fetching = false
	}
	if c.err != nil {
		return
	}
	current := g.Snapshot()
	if current != nil && !c.head.Version.After(current.Version) {
		if current.Version.After(c.head.Version) {
			event.ConfigStale.Log(g.Log, "from", c.from, "version", c.head.Version.String(), "inForce", current.Version.String())
		}
		return
	}
	next, problems := config.AssembleAfter(current, c.head, c.parts)
	if len(problems) > 0 {
		g.Audit.Add(g.Now(), audit.Entry{Kind: audit.ConfigRejected, Subject: c.from, Version: c.head.Version, Detail: problems[0].String()})
		g.Metrics.Count("config_rejected", 1)
		event.ConfigRejected.Log(g.Log, "from", c.from, "version", c.head.Version.String(), "problems", len(problems), "first", problems[0].String())
		return
	}
	g.apply(next, c.from)
}

// apply puts a snapshot in force.
func (g *Gateway) apply(next *config.Snapshot, from string) {
	current := g.Snapshot()
	if current != nil && !next.Version.After(current.Version) {
		event.Broken(g.Log, event.BrokenConfigReverted, "from", current.Version.String(), "to", next.Version.String())
	}
	now := g.Now()
	g.snapshot.Store(next)
	event.ConfigAccepted.Log(g.Log, "version", next.Version.String(), "from", from)
	g.Audit.Add(now, audit.Entry{Kind: audit.ConfigAccepted, Subject: from, Version: next.Version})
	for _, e := range audit.FromChanges(next.Version, config.Diff(current, next)) {
		g.Audit.Add(now, e)
	}
	for _, id := range g.streams.cutWithdrawn(next) {
		event.KeyCut.Log(g.Log, "request", id)
	}
	g.configureTables(now, current, next)
	g.fleetChanged = true
	g.publish(now)
	// The heartbeats tell the other VMs at once that there is a later version.
	g.members.Hurry()
	g.lastBeat = time.Time{}
}

// configureTables brings the tables in line with a new snapshot.
func (g *Gateway) configureTables(now time.Time, old, next *config.Snapshot) {
	if old == nil {
		g.configuredAt = now
	}
	g.members.SetRoster(next.File.VMs)
	g.beats.setRoster(next.File.VMs)
	g.tokens.Configure(now, limit.Shares(next.File.Workspaces, next.File.VMs, g.Self.Slot))
	g.configureCalls(now, old, next)
	g.importHandover(now)
	g.configureOrders(old, next)
	g.choices.Configure(now, g.upstreamMembers(next))
	g.setEngines(next)
	g.watch(now)
	regions := make([]string, 0, len(next.File.Regions))
	for i := range next.File.Regions {
		regions = append(regions, next.File.Regions[i].Name)
	}
	g.retries.Configure(regions)
}

// upstreamMembers lists the upstreams of the own region with their routes.
func (g *Gateway) upstreamMembers(s *config.Snapshot) []choose.Member {
	routes := map[string][]string{}
	for route, list := range s.RouteUpstreams {
		for _, u := range list {
			if u.Region != g.Self.Region {
				continue
			}
			// An engine that runs another model stays a member without routes: it keeps its counters.
			routes[u.Name] = append(routes[u.Name], g.loadedRoutes(s, route, u.Name)...)
		}
	}
	members := make([]choose.Member, 0, len(routes))
	for name, list := range routes {
		u := s.Upstreams[name]
		members = append(members, choose.Member{
			Name: name, Routes: list, MaxBatch: u.MaxBatch, Draining: u.State == config.StateDraining,
		})
	}
	return members
}

// onConfigGet answers a VM that asks for the head or for parts.
func (g *Gateway) onConfigGet(m message) {
	var get vmwire.ConfigGet
	if !g.decode(m, &get) {
		return
	}
	current := g.Snapshot()
	if current == nil {
		return
	}
	head, err := json.Marshal(current.Head)
	if err != nil {
		return
	}
	if len(get.Digests) == 0 {
		m.from.Control(vmwire.KindConfigParts, &vmwire.ConfigParts{Head: head})
		return
	}
	for _, digest := range get.Digests {
		if data, ok := current.Parts[digest]; ok {
			part := vmwire.Part{Digest: digest, Bytes: data}
			m.from.Control(vmwire.KindConfigParts, &vmwire.ConfigParts{Parts: []vmwire.Part{part}})
		}
	}
}

// onConfigParts passes parts on to the exchange that waits for them.
func (g *Gateway) onConfigParts(m message) {
	var parts vmwire.ConfigParts
	if !g.decode(m, &parts) {
		return
	}
	select {
	case g.sessions.exchange(m.from.Peer.Slot) <- parts:
	default:
	}
}

// compareVersion fetches the configuration of a VM that has a later one.
func (g *Gateway) compareVersion(ctx context.Context, s *vm.Session, number, tag uint64) {
	current := g.Snapshot()
	if number == 0 || (current != nil && !current.Version.Before(number, tag)) {
		return
	}
	g.fetchFrom(ctx, s)
}

// fetchFrom asks a VM for its configuration. The control loop starts at most one exchange at a time.
func (g *Gateway) fetchFrom(ctx context.Context, s *vm.Session) {
	if g.fetching {
		return
	}
	g.fetching = true
	e := exchange{session: s, parts: g.sessions.exchange(s.Peer.Slot)}
	g.wait.Go(func() { g.runFetch(ctx, e) })
}

// exchange is a transfer of the configuration from another VM.
type exchange struct {
	session *vm.Session
	parts   <-chan vmwire.ConfigParts
}

func (g *Gateway) runFetch(ctx context.Context, e exchange) {
	limited, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c := candidate{from: e.session.Peer.Slot}
	c.head, c.err = e.head(limited)
	if c.err == nil {
		c.parts, c.err = g.fetchParts(limited, c.head, e.part)
	}
	_ = g.offer(ctx, c)
}

// head asks for the head.
func (e exchange) head(ctx context.Context) (config.Head, error) {
	var head config.Head
	if !e.session.Control(vmwire.KindConfigGet, &vmwire.ConfigGet{}) {
		return head, vm.ErrSessionClosed
	}
	for {
		parts, err := e.next(ctx)
		if err != nil {
			return head, err
		}
		if len(parts.Head) == 0 {
			continue
		}
		if err := json.Unmarshal(parts.Head, &head); err != nil {
			return head, fmt.Errorf("decode head from vm %s: %w", e.session.Peer.Slot, err)
		}
		return head, nil
	}
}

// part asks for one part and checks its digest.
func (e exchange) part(ctx context.Context, digest string) ([]byte, error) {
	if !e.session.Control(vmwire.KindConfigGet, &vmwire.ConfigGet{Digests: []string{digest}}) {
		return nil, vm.ErrSessionClosed
	}
	for {
		parts, err := e.next(ctx)
		if err != nil {
			return nil, err
		}
		for _, part := range parts.Parts {
			if part.Digest == digest && config.PartDigest(part.Bytes) == digest {
				return part.Bytes, nil
			}
		}
	}
}

// next waits for a message of the exchange.
func (e exchange) next(ctx context.Context) (vmwire.ConfigParts, error) {
	select {
	case parts := <-e.parts:
		return parts, nil
	case <-ctx.Done():
		return vmwire.ConfigParts{}, ctx.Err()
	}
}

// becomeReady lets the VM serve once it has a configuration and a VM of its region has confirmed
// that it occupies its slot. By then it has compared versions with that VM. It also waits until its
// buckets fill, since it would refuse requests before, and where engines are placed, for a first report
// of what they run. If nobody confirms, it serves after joinWait all the same, as a region of which one
// VM is left must.
func (g *Gateway) becomeReady(now time.Time) {
	if g.ready.Load() || g.Snapshot() == nil {
		return
	}
	filling := now.Sub(g.configuredAt) < limit.IncreaseDelay
	if (filling || !g.authorised || g.awaitsReports()) && now.Sub(g.Self.StartedAt) < joinWait {
		return
	}
	g.ready.Store(true)
	g.fleetChanged = true
	event.Ready.Log(g.Log, "version", g.Snapshot().Version.String())
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

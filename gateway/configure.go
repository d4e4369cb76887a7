package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/configserver"
	"parsleyhatch/event"
	"parsleyhatch/limit"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// watchTimeout is the long-poll timeout of a watch.
	watchTimeout = 25 * time.Second
	// readInterval is the average interval between the reads of one reader, four a second.
	readInterval = 250 * time.Millisecond
	// ReadBurst is the number of reads that a reader may make at once: the head, the parts of a
	// typical change and the watch.
	ReadBurst = 8
	// seedCheckInterval and seedChecks bound the time in which a starting VM asks only other VMs
	// for the configuration.
	seedCheckInterval = 50 * time.Millisecond
	seedChecks        = 20
	// readRetryDelay is the delay after a failed read of the platform.
	readRetryDelay = time.Second
	// fetchTimeout bounds the exchange of a configuration between VMs.
	fetchTimeout = 5 * time.Second
	// answerTimeout is the time after which an unanswered message of the exchange is sent again.
	// Without it, a lost message blocks the exchange with all other VMs for fetchTimeout.
	answerTimeout = 500 * time.Millisecond
	// readyTimeout is the time after its start at which a VM serves even if no other VM has
	// confirmed its slot.
	readyTimeout = 12 * time.Second
)

// candidate is a received configuration that has not been checked yet.
type candidate struct {
	head  config.Head
	parts map[string][]byte
	from  string
	err   error
}

// runWatch reads the configuration from the platform until ctx ends.
func (g *Gateway) runWatch(ctx context.Context) {
	g.awaitSeeds(ctx)
	var changes configserver.WatchResult
	for ctx.Err() == nil {
		if !g.isReader.Load() && g.Snapshot() != nil {
			changes = configserver.WatchResult{}
			sleep(ctx, readInterval)
			continue
		}
		next, err := g.readChanges(ctx, changes)
		if err != nil {
			event.ConfigDown.Log(g.Log, "error", err.Error())
			sleep(ctx, readRetryDelay)
			continue
		}
		changes = next
	}
}

// readChanges reads the configuration if its head may have changed, and waits for the next changes.
func (g *Gateway) readChanges(ctx context.Context, changes configserver.WatchResult) (configserver.WatchResult, error) {
	if changes.HeadMayHaveChanged() {
		if err := g.readPlatform(ctx); err != nil {
			return configserver.WatchResult{}, err
		}
	}
	g.readLimiter.wait(ctx)
	return g.Platform.Watch(ctx, changes.Revision, watchTimeout)
}

// awaitSeeds waits for the configuration from other VMs after the start: they know the highest
// version, and the platform would be overloaded if all VMs of a region read all parts at once.
func (g *Gateway) awaitSeeds(ctx context.Context) {
	for range seedChecks {
		if len(g.Settings.Seeds) == 0 || g.Snapshot() != nil || ctx.Err() != nil {
			return
		}
		sleep(ctx, seedCheckInterval)
	}
}

// platformReadLimiter limits the rate of reads of the platform. Only runWatch uses it.
type platformReadLimiter struct {
	// paidUntil is the time up to which the reads so far have used the rate.
	paidUntil time.Time
}

// wait blocks until the next read is within the rate of one per readInterval, with bursts of up to
// ReadBurst.
func (p *platformReadLimiter) wait(ctx context.Context) {
	now := time.Now()
	if p.paidUntil.Before(now) {
		p.paidUntil = now
	}
	if ahead := p.paidUntil.Sub(now) - (ReadBurst-1)*readInterval; ahead > 0 {
		sleep(ctx, ahead)
	}
	p.paidUntil = p.paidUntil.Add(readInterval)
}

// readPlatform reads the head and the parts that this VM lacks.
func (g *Gateway) readPlatform(ctx context.Context) error {
	g.readLimiter.wait(ctx)
	head, err := g.Platform.Head(ctx)
	if err != nil {
		return err
	}
	c := candidate{head: head, from: "platform"}
	if current := g.Snapshot(); current == nil || head.Version.After(current.Version) {
		c.parts, err = g.fetchParts(ctx, head, g.readPart)
		if err != nil {
			return err
		}
	}
	return g.submitCandidate(ctx, c)
}

// readPart reads one part. A VM without a configuration reads all parts without rate limit: it
// cannot serve yet, and it reads the platform only if no other VM answered.
func (g *Gateway) readPart(ctx context.Context, digest string) ([]byte, error) {
	if g.Snapshot() != nil {
		g.readLimiter.wait(ctx)
	}
	return g.Platform.Part(ctx, digest)
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

func (g *Gateway) submitCandidate(ctx context.Context, c candidate) error {
	select {
	case g.candidates <- c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// evaluateCandidate applies a candidate if it is valid and later than the configuration in force.
func (g *Gateway) evaluateCandidate(c candidate) {
	if c.from != "platform" {
		g.fetchingConfig = false
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
	next, problems := config.AssembleIncremental(current, c.head, c.parts)
	if len(problems) > 0 {
		g.Audit.Add(g.Now(), audit.Entry{Kind: audit.ConfigRejected, Subject: c.from, Version: c.head.Version, Detail: problems[0].String()})
		g.Metrics.AddCounter("config_rejected", 1)
		event.ConfigRejected.Log(g.Log, "from", c.from, "version", c.head.Version.String(), "problems", len(problems), "first", problems[0].String())
		return
	}
	g.applySnapshot(next, c.from)
}

// applySnapshot makes a snapshot the configuration in force.
func (g *Gateway) applySnapshot(next *config.Snapshot, from string) {
	current := g.Snapshot()
	if current != nil && !next.Version.After(current.Version) {
		event.FailInvariant(g.Log, event.BrokenConfigReverted, "from", current.Version.String(), "to", next.Version.String())
	}
	now := g.Now()
	g.snapshot.Store(next)
	event.ConfigAccepted.Log(g.Log, "version", next.Version.String(), "from", from)
	g.Audit.Add(now, audit.Entry{Kind: audit.ConfigAccepted, Subject: from, Version: next.Version})
	changes := config.Diff(current, next)
	for _, e := range audit.FromChanges(next.Version, changes) {
		g.Audit.Add(now, e)
	}
	for _, id := range g.streams.cancelWithdrawn(next) {
		event.StreamKeyRevoked.Log(g.Log, "request", id)
	}
	if current == nil || !onlyKeyChanges(changes) {
		g.configureTables(now, current, next)
		g.fleetChanged = true
		g.publishViews(now)
	}
	// Heartbeats are sent immediately, so that the other VMs learn of the later version.
	g.members.RequestCrossRegionRound()
	g.lastHeartbeat = time.Time{}
}

// onlyKeyChanges reports whether all changes concern keys, on which no control table depends. Most
// changes add or withdraw a key, and updating the tables takes most of the time of a change.
func onlyKeyChanges(changes []config.Change) bool {
	for _, c := range changes {
		if c.Entity != config.EntityKey {
			return false
		}
	}
	return true
}

// configureTables updates the control tables for a new snapshot.
func (g *Gateway) configureTables(now time.Time, old, next *config.Snapshot) {
	if old == nil {
		g.configuredAt = now
	}
	g.members.SetRoster(next.File.VMs)
	g.heartbeats.setRoster(next.File.VMs)
	g.tokens.Configure(now, limit.ComputeShares(next.File.Workspaces, next.File.VMs, g.Self.Slot))
	g.configureCalls(now, old, next)
	g.importHandover(now)
	g.applyPlacements(old, next)
	g.choices.Configure(now, g.upstreamMembers(next))
	g.setEngines(next)
	g.selectWatched(now)
	regions := make([]string, 0, len(next.File.Regions))
	for i := range next.File.Regions {
		regions = append(regions, next.File.Regions[i].Name)
	}
	g.retries.Configure(regions)
}

// upstreamMembers lists the upstreams of the own region with their routes.
func (g *Gateway) upstreamMembers(s *config.Snapshot) []choose.UpstreamConfig {
	routes := map[string][]string{}
	for route, list := range s.RouteUpstreams {
		for _, u := range list {
			if u.Region != g.Self.Region {
				continue
			}
			// An engine that runs another model stays a member without routes: it keeps its
			// counters.
			routes[u.Name] = append(routes[u.Name], g.loadedRoutes(s, route, u.Name)...)
		}
	}
	members := make([]choose.UpstreamConfig, 0, len(routes))
	for name, list := range routes {
		u := s.Upstreams[name]
		members = append(members, choose.UpstreamConfig{
			Name: name, Routes: list, MaxBatch: u.MaxBatch, Draining: u.State == config.StateDraining,
		})
	}
	return members
}

// onConfigGet answers a VM that asks for the head or for parts.
func (g *Gateway) onConfigGet(m controlMessage) {
	var get vmwire.ConfigRequest
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
		m.from.SendControl(vmwire.KindConfigParts, &vmwire.ConfigParts{Head: head})
		return
	}
	for _, digest := range get.Digests {
		if data, ok := current.Parts[digest]; ok {
			part := vmwire.Part{Digest: digest, Bytes: data}
			m.from.SendControl(vmwire.KindConfigParts, &vmwire.ConfigParts{Parts: []vmwire.Part{part}})
		}
	}
}

// onConfigParts passes parts on to the exchange that waits for them.
func (g *Gateway) onConfigParts(m controlMessage) {
	var parts vmwire.ConfigParts
	if !g.decode(m, &parts) {
		return
	}
	select {
	case g.sessions.exchange(m.from.Peer.Slot) <- parts:
	default:
	}
}

// fetchIfNewer fetches the configuration of a VM that has a later one.
func (g *Gateway) fetchIfNewer(ctx context.Context, s *vm.Session, number, tag uint64) {
	current := g.Snapshot()
	if number == 0 || (current != nil && !current.Version.OlderThan(number, tag)) {
		return
	}
	g.fetchFrom(ctx, s)
}

// fetchFrom asks a VM for its configuration. The control loop starts at most one exchange at a time.
func (g *Gateway) fetchFrom(ctx context.Context, s *vm.Session) {
	if g.fetchingConfig {
		return
	}
	g.fetchingConfig = true
	e := exchange{session: s, parts: g.sessions.exchange(s.Peer.Slot)}
	g.background.Go(func() { g.runFetch(ctx, e) })
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
	_ = g.submitCandidate(ctx, c)
}

// head requests the head of the other VM's configuration.
func (e exchange) head(ctx context.Context) (config.Head, error) {
	var head config.Head
	err := e.request(ctx, &vmwire.ConfigRequest{}, func(answer vmwire.ConfigParts) bool {
		return len(answer.Head) > 0 && json.Unmarshal(answer.Head, &head) == nil
	})
	return head, err
}

// part asks for one part and checks its digest.
func (e exchange) part(ctx context.Context, digest string) ([]byte, error) {
	var data []byte
	err := e.request(ctx, &vmwire.ConfigRequest{Digests: []string{digest}}, func(answer vmwire.ConfigParts) bool {
		for _, part := range answer.Parts {
			if part.Digest == digest && config.PartDigest(part.Bytes) == digest {
				data = part.Bytes
				return true
			}
		}
		return false
	})
	return data, err
}

// request sends a message repeatedly until fits accepts an answer, the session ends or ctx ends.
func (e exchange) request(ctx context.Context, get *vmwire.ConfigRequest, fits func(vmwire.ConfigParts) bool) error {
	again := time.NewTicker(answerTimeout)
	defer again.Stop()
	for {
		// A message that is dropped because the queue is full is repeated like a lost one.
		e.session.SendControl(vmwire.KindConfigRequest, get)
		for waiting := true; waiting; {
			select {
			case answer := <-e.parts:
				if fits(answer) {
					return nil
				}
			case <-again.C:
				waiting = false
			case <-e.session.Done():
				return fmt.Errorf("ask vm %s for the configuration: %w", e.session.Peer.Slot, vm.ErrSessionClosed)
			case <-ctx.Done():
				return fmt.Errorf("ask vm %s for the configuration: %w", e.session.Peer.Slot, ctx.Err())
			}
		}
	}
}

// updateReady sets the VM ready once it has a configuration and a VM of its region has confirmed
// that it holds its slot. By then the two VMs have compared versions, and if the other one has a
// later configuration, the VM waits for the exchange. It also waits until its token buckets fill,
// since it would refuse requests before, and, where engines are placed, for a first report of what
// they run. Without a confirmation it becomes ready after readyTimeout, so that the last VM of a
// region can serve.
func (g *Gateway) updateReady(now time.Time) {
	if g.ready.Load() || g.Snapshot() == nil {
		return
	}
	filling := now.Sub(g.configuredAt) < limit.IncreaseDelay
	waits := filling || !g.leaseReceived || g.fetchingConfig || g.awaitsReports()
	if waits && now.Sub(g.Self.StartedAt) < readyTimeout {
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

package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
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
	next, problems := config.Assemble(c.head, c.parts)
	if len(problems) > 0 {
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
	g.snapshot.Store(next)
	event.ConfigAccepted.Log(g.Log, "version", next.Version.String(), "from", from)
	for _, id := range g.streams.cutWithdrawn(next) {
		event.KeyCut.Log(g.Log, "request", id)
	}
	g.peers.reconcile(next, g.Self)
	g.heartbeatAll()
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
	p := g.peers.row(m.from.Peer.Slot)
	if p == nil {
		return
	}
	select {
	case p.parts <- parts:
	default:
	}
}

// fetchFrom asks a VM for its configuration. The control loop starts at most one exchange at a time.
func (g *Gateway) fetchFrom(ctx context.Context, s *vm.Session) {
	if g.fetching {
		return
	}
	p := g.peers.row(s.Peer.Slot)
	if p == nil {
		return
	}
	g.fetching = true
	g.wait.Go(func() { g.runFetch(ctx, s, p) })
}

func (g *Gateway) runFetch(ctx context.Context, s *vm.Session, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	c := candidate{from: s.Peer.Slot}
	c.head, c.err = g.fetchHead(ctx, s, p)
	if c.err == nil {
		c.parts, c.err = g.fetchParts(ctx, c.head, func(ctx context.Context, digest string) ([]byte, error) {
			return fetchPart(ctx, s, p, digest)
		})
	}
	_ = g.offer(context.WithoutCancel(ctx), c)
}

func (g *Gateway) fetchHead(ctx context.Context, s *vm.Session, p *peer) (config.Head, error) {
	var head config.Head
	if !s.Control(vmwire.KindConfigGet, &vmwire.ConfigGet{}) {
		return head, vm.ErrSessionClosed
	}
	for {
		parts, err := p.nextParts(ctx)
		if err != nil {
			return head, err
		}
		if len(parts.Head) == 0 {
			continue
		}
		if err := json.Unmarshal(parts.Head, &head); err != nil {
			return head, fmt.Errorf("decode head from vm %s: %w", s.Peer.Slot, err)
		}
		return head, nil
	}
}

func fetchPart(ctx context.Context, s *vm.Session, p *peer, digest string) ([]byte, error) {
	if !s.Control(vmwire.KindConfigGet, &vmwire.ConfigGet{Digests: []string{digest}}) {
		return nil, vm.ErrSessionClosed
	}
	for {
		parts, err := p.nextParts(ctx)
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

// nextParts waits for a message of an exchange.
func (p *peer) nextParts(ctx context.Context) (vmwire.ConfigParts, error) {
	select {
	case parts := <-p.parts:
		return parts, nil
	case <-ctx.Done():
		return vmwire.ConfigParts{}, ctx.Err()
	}
}

// becomeReady lets the VM serve once it has a configuration and has had the time to learn of a
// later one from the VMs that it reaches.
func (g *Gateway) becomeReady(now time.Time) {
	if g.ready.Load() || g.Snapshot() == nil {
		return
	}
	if !g.peers.allAsked(now, g.Self.StartedAt) {
		return
	}
	g.ready.Store(true)
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

package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/metrics"
	"parsleyhatch/platform"
	"parsleyhatch/upstream"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// tickInterval is the period of the control loop.
	tickInterval = 100 * time.Millisecond
	// controlQueue is the number of control messages that may wait for the control loop.
	controlQueue = 4096
)

// message is a control message from another VM.
type message struct {
	from  *vm.Session
	frame vmwire.Frame
}

// sessionChange tells the control loop of a session that began or ended.
type sessionChange struct {
	session *vm.Session
	up      bool
	reason  error
}

// Gateway is one VM.
type Gateway struct {
	Settings  Settings
	Self      vm.Identity
	Log       *slog.Logger
	Endpoint  *vm.Endpoint
	Upstreams *upstream.Client
	Platform  *platform.Client
	Metrics   *metrics.Metrics
	// Now is the clock; tests replace it.
	Now func() time.Time

	snapshot atomic.Pointer[config.Snapshot]
	ready    atomic.Bool
	leaving  atomic.Bool
	streams  streamTable
	peers    peerTable
	health   healthTable
	traces   traceRing

	control    chan message
	sessions   chan sessionChange
	candidates chan candidate
	nextID     atomic.Uint64
	// fetching is owned by the control loop.
	fetching bool
	wait     sync.WaitGroup
}

// New returns a gateway that does not listen yet.
func New(s Settings, log *slog.Logger) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	self := vm.Identity{
		Slot:          s.Slot,
		Incarnation:   vm.NewIncarnation(),
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		StartedAt:     time.Now(),
	}
	endpoint, err := vm.NewEndpoint(self, s.FleetKey, log)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		Metrics:    metrics.New(s.Slot, s.Region),
		Settings:   s,
		Self:       self,
		Log:        log,
		Endpoint:   endpoint,
		Upstreams:  upstream.New(s.UpstreamCredential),
		Now:        time.Now,
		control:    make(chan message, controlQueue),
		sessions:   make(chan sessionChange, controlQueue),
		candidates: make(chan candidate, 4),
	}
	if s.PlatformURL != "" {
		g.Platform = platform.New(s.PlatformURL)
	}
	g.streams.open = map[string]*openStream{}
	g.peers.rows = map[string]*peer{}
	g.health.failedUntil = map[string]time.Time{}
	endpoint.OnStream = g.serveStream
	endpoint.OnControl = g.onControl
	endpoint.OnUp = func(s *vm.Session) { g.onSession(sessionChange{session: s, up: true}) }
	endpoint.OnDown = func(s *vm.Session, reason error) { g.onSession(sessionChange{session: s, reason: reason}) }
	return g, nil
}

// Snapshot returns the configuration in force, nil before the first one.
func (g *Gateway) Snapshot() *config.Snapshot { return g.snapshot.Load() }

// Ready reports whether the VM accepts requests.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.leaving.Load() }

// NewRequestID returns an id that is unique over the fleet.
func (g *Gateway) NewRequestID() string {
	return fmt.Sprintf("%s-%x-%d", g.Self.Slot, g.Self.Incarnation, g.nextID.Add(1))
}

// Run serves other VMs and runs the control loop until ctx ends.
func (g *Gateway) Run(ctx context.Context, peerListener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	event.Started.Log(g.Log, "slot", g.Self.Slot, "incarnation", g.Self.Incarnation, "region", g.Self.Region)
	g.wait.Go(func() { _ = g.Endpoint.RunListener(peerListener) })
	if g.Platform != nil {
		g.wait.Go(func() { g.runWatch(ctx) })
	}
	for _, seed := range g.Settings.Seeds {
		g.wait.Go(func() { g.runSeed(ctx, seed) })
	}
	g.loop(ctx)
	_ = peerListener.Close()
	g.peers.closeAll()
	g.wait.Wait()
	_ = g.Metrics.Close()
	event.Stopped.Log(g.Log, "slot", g.Self.Slot)
	return nil
}

// loop is the control thread: it owns all control state.
func (g *Gateway) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.control:
			g.handle(ctx, m)
		case c := <-g.sessions:
			g.changeSession(c)
		case c := <-g.candidates:
			g.consider(c)
		case <-ticker.C:
			g.tick(ctx, g.Now())
		}
	}
}

// tick runs the systems over the control tables.
func (g *Gateway) tick(ctx context.Context, now time.Time) {
	g.dialPeers(ctx, now)
	g.sendHeartbeats(now)
	g.becomeReady(now)
	g.Metrics.Gauge("open_streams", float64(g.streams.count()))
}

func (g *Gateway) onControl(s *vm.Session, f vmwire.Frame) {
	select {
	case g.control <- message{from: s, frame: f}:
	default: // Control messages are repeated by their senders.
	}
}

func (g *Gateway) onSession(c sessionChange) {
	select {
	case g.sessions <- c:
	default:
		c.session.Close(vm.ErrTooMany)
	}
}

// handle dispatches a control message.
func (g *Gateway) handle(ctx context.Context, m message) {
	switch m.frame.Kind {
	case vmwire.KindHeartbeat:
		g.onHeartbeat(ctx, m)
	case vmwire.KindConfigGet:
		g.onConfigGet(m)
	case vmwire.KindConfigParts:
		g.onConfigParts(m)
	}
}

// decode reads a control message, and ends the session of a peer that sent a malformed one.
func (g *Gateway) decode(m message, into interface {
	UnmarshalMsg([]byte) ([]byte, error)
}) bool {
	if err := vm.Decode(m.frame, into); err != nil {
		event.FrameInvalid.Log(g.Log, "peer", m.from.Peer.Slot, "error", err.Error())
		m.from.Close(err)
		return false
	}
	return true
}

// Drain refuses new requests, waits until the running ones have ended or the drain limit has
// passed, and returns the number of requests that were cut.
func (g *Gateway) Drain(ctx context.Context) int {
	g.leaving.Store(true)
	event.Draining.Log(g.Log, "running", g.streams.count())
	ctx, cancel := context.WithTimeout(ctx, g.Settings.DrainLimit)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for g.streams.count() > 0 {
		select {
		case <-ctx.Done():
			return g.streams.count()
		case <-ticker.C:
		}
	}
	return 0
}

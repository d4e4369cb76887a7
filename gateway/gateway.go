package gateway

import (
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/configserver"
	"parsleyhatch/event"
	"parsleyhatch/inflight"
	"parsleyhatch/lending"
	"parsleyhatch/limit"
	"parsleyhatch/member"
	"parsleyhatch/metrics"
	"parsleyhatch/once"
	"parsleyhatch/order"
	"parsleyhatch/outage"
	"parsleyhatch/poison"
	"parsleyhatch/profile"
	"parsleyhatch/retry"
	"parsleyhatch/trace"
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

// minDrainTime is the minimum duration of a drain. Callers with a directory answer from before the
// drain are refused during this time, with a list of other VMs. After the listener is closed, a
// connection that the kernel had already accepted is closed without an answer.
const minDrainTime = 2 * time.Second

const (
	// drainPollInterval is the interval at which a draining VM checks whether its requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// endTimeout bounds the wait for the errors of requests that a draining VM ends.
	endTimeout = time.Second
)

// controlMessage is a control message from another VM.
type controlMessage struct {
	from  *vm.Session
	frame vmwire.Frame
}

// sessionChange notifies the control loop that a session began or ended.
type sessionChange struct {
	session *vm.Session
	up      bool
	reason  error
}

// Gateway serves the requests of one VM and holds its state.
type Gateway struct {
	Settings  Settings
	Self      vm.Identity
	Log       *slog.Logger
	Endpoint  *vm.Endpoint
	Upstreams *upstream.Client
	Platform  *configserver.Client
	Metrics   *metrics.Metrics
	Audit     *audit.Trail
	// Now is the clock; tests replace it.
	Now func() time.Time
	// OrderLimits bound the orders to engines; they are fixed when Run begins.
	OrderLimits order.Limits
	// BeforeOrder, if set, is called just before an order is sent; tests delay orders with it.
	BeforeOrder func(order.Decision)

	// Written by the control loop and read by request goroutines.
	snapshot atomic.Pointer[config.Snapshot]
	view     atomic.Pointer[choose.View]
	fleet    atomic.Pointer[fleetView]
	ready    atomic.Bool
	leaving  atomic.Bool
	// superseded is closed when a newer incarnation of the slot is known.
	superseded chan struct{}

	// Used by request goroutines; each type does its own locking.
	streams    streamTable
	sessions   sessionTable
	traces     trace.Ring
	tokens     *limit.Table
	lending    *lending.Exchange
	calls      *once.Table
	signer     *once.Signer
	handovers  *once.HandoverStore
	quarantine *poison.Table
	outages    outage.Table
	hasher     *poison.Hasher
	running    *inflight.Table
	queues     queueTable
	retries    *retry.Budget
	profiles   profile.Table
	nextID     atomic.Uint64

	// Channels into the control loop.
	controlMessages chan controlMessage
	sessionChanges  chan sessionChange
	candidates      chan candidate
	loadResults     chan []loadResult
	vmLists         chan []configserver.VMState
	orderResults    chan orderResult
	engineReads     chan loadResult

	// Owned by the control loop.
	members           *member.Table
	choices           *choose.Table
	peerQueues        map[string]int32
	heartbeats        heartbeats
	entryVMs          map[string]regionEntries
	handoverRequested map[string]bool
	// unackedSince is when the first heartbeat without an acknowledgement was sent.
	unackedSince map[*vm.Session]time.Time
	// watchers maps each upstream of the region to the VM that polls it.
	watchers       atomic.Pointer[map[string]string]
	handoverFrames []vmwire.Handover
	fetchingConfig bool
	// configuredAt is when the first configuration came into force.
	configuredAt  time.Time
	leaseReceived bool
	lastHeartbeat time.Time
	lastFleet     time.Time
	// fleetChanged is set if a VM's state has changed since the fleet view was built.
	fleetChanged bool
	// ownEngines are the engines of the own region in the configuration in force.
	ownEngines  []*config.Upstream
	engineIndex map[string]int
	sentStates  map[string]sentState
	manyEngines atomic.Bool
	lastSummary time.Time
	orderControl
	watched  atomic.Pointer[[]watchedUpstream]
	isReader atomic.Bool

	// Owned by runWatch.
	readLimiter platformReadLimiter

	background sync.WaitGroup
}

// New returns a gateway that does not listen yet.
func New(s Settings, log *slog.Logger) (*Gateway, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	now := time.Now()
	self := vm.Identity{
		Slot:          s.Slot,
		Incarnation:   vm.NewIncarnation(),
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		StartedAt:     now,
	}
	endpoint, err := vm.NewEndpoint(self, s.FleetKey, log)
	if err != nil {
		return nil, err
	}
	signer, err := once.NewSigner(s.FleetKey)
	if err != nil {
		return nil, err
	}
	hasher, err := poison.NewHasher(s.FleetKey)
	if err != nil {
		return nil, err
	}
	seed := randomSeed(self)
	g := &Gateway{
		Settings:          s,
		Self:              self,
		Log:               log,
		Endpoint:          endpoint,
		Upstreams:         upstream.New(s.UpstreamCredential),
		Metrics:           metrics.New(s.Slot, s.Region),
		Audit:             audit.New(audit.TrailCapacity),
		Now:               time.Now,
		superseded:        make(chan struct{}),
		tokens:            limit.New(s.Slot),
		calls:             once.New(s.Slot, self.Incarnation, now, signer, once.DefaultLimits()),
		signer:            signer,
		handovers:         once.NewHandoverStore(once.DefaultStoreLimits()),
		quarantine:        poison.New(poison.DefaultLimits()),
		hasher:            hasher,
		retries:           retry.New(seed, nil),
		controlMessages:   make(chan controlMessage, controlQueue),
		sessionChanges:    make(chan sessionChange, controlQueue),
		candidates:        make(chan candidate, 4),
		loadResults:       make(chan []loadResult, 4),
		vmLists:           make(chan []configserver.VMState, 1),
		orderResults:      make(chan orderResult, orderQueue),
		engineReads:       make(chan loadResult, orderQueue),
		members:           member.New(now, s.Slot, incarnationOf(self)),
		choices:           choose.New(s.Region, seed),
		peerQueues:        map[string]int32{},
		engineIndex:       map[string]int{},
		sentStates:        map[string]sentState{},
		heartbeats:        newHeartbeats(),
		entryVMs:          map[string]regionEntries{},
		handoverRequested: map[string]bool{},
		unackedSince:      map[*vm.Session]time.Time{},
	}
	g.OrderLimits = order.DefaultLimits()
	g.calls.Log, g.quarantine.Log = log, log
	g.tokens.SetIncarnation(now, self.Incarnation)
	if s.PlatformURL != "" {
		g.Platform = configserver.New(s.PlatformURL)
	}
	g.streams.open = map[string]*openStream{}
	g.sessions.rows = map[string]*slotSessions{}
	g.lending = lending.New(self.Slot, self.Region, g.tokens, func() time.Time { return g.Now() })
	g.lending.Connected, g.lending.Connect, g.lending.Send = g.isConnected, g.connect, g.sendTokenRequest
	g.running = inflight.New()
	g.queues.byKey = map[string]*waitQueue{}
	g.view.Store(g.choices.BuildView(now))
	g.fleet.Store(&fleetView{})
	endpoint.OnStream = g.serveStream
	endpoint.OnControl = g.onControl
	endpoint.OnSessionOpened = func(s *vm.Session) { g.onSession(sessionChange{session: s, up: true}) }
	endpoint.OnSessionClosed = func(s *vm.Session, reason error) { g.onSession(sessionChange{session: s, reason: reason}) }
	return g, nil
}

// randomSeed derives a seed for random draws from the incarnation.
func randomSeed(self vm.Identity) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.Slot))
	return h.Sum64() ^ self.Incarnation
}

func incarnationOf(id vm.Identity) member.Incarnation {
	return member.Incarnation{Number: id.Incarnation, StartedAtUnixMilli: id.StartedAt.UnixMilli()}
}

// Snapshot returns the configuration in force, nil before the first one.
func (g *Gateway) Snapshot() *config.Snapshot { return g.snapshot.Load() }

// Ready reports whether the VM accepts requests.
func (g *Gateway) Ready() bool { return g.ready.Load() && !g.leaving.Load() }

// Leaving reports whether the VM permanently refuses new work; it still answers calls that it has a
// record of.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Superseded is closed when a newer incarnation of this VM's slot is known.
func (g *Gateway) Superseded() <-chan struct{} { return g.superseded }

// Starting reports whether the VM has not accepted requests yet.
func (g *Gateway) Starting() bool { return !g.ready.Load() && !g.leaving.Load() }

// NewRequestID returns an id that is unique over the fleet.
func (g *Gateway) NewRequestID() string {
	return fmt.Sprintf("%s-%x-%d", g.Self.Slot, g.Self.Incarnation, g.nextID.Add(1))
}

// Run serves other VMs and runs the control loop until ctx ends.
func (g *Gateway) Run(ctx context.Context, peerListener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	event.Started.Log(g.Log, "slot", g.Self.Slot, "incarnation", g.Self.Incarnation, "region", g.Self.Region)
	g.Audit.Add(g.Now(), audit.Entry{Kind: audit.SettingsAtStart, Subject: "vm/" + g.Self.Slot, Detail: g.Settings.summary()})
	g.initOrders()
	g.background.Go(func() { _ = g.Endpoint.Serve(peerListener) })
	if g.Platform != nil {
		g.background.Go(func() { g.runWatch(ctx) })
		g.background.Go(func() { g.runVMList(ctx) })
	}
	for _, seed := range g.Settings.Seeds {
		g.background.Go(func() { g.runSeed(ctx, seed) })
	}
	g.background.Go(func() { g.runLoadPoll(ctx) })
	g.runControlLoop(ctx)
	_ = peerListener.Close()
	g.sessions.closeAll()
	g.background.Wait()
	_ = g.Metrics.Close()
	event.Stopped.Log(g.Log, "slot", g.Self.Slot)
	return nil
}

// runControlLoop runs the control loop, whose goroutine owns all control state.
func (g *Gateway) runControlLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.controlMessages:
			g.handleControl(ctx, m)
		case c := <-g.sessionChanges:
			g.onSessionChange(c)
		case c := <-g.candidates:
			g.evaluateCandidate(c)
		case results := <-g.loadResults:
			g.recordLoads(ctx, g.Now(), results)
		case list := <-g.vmLists:
			g.recordVMList(list)
		case end := <-g.orderResults:
			g.recordOrderResult(end)
		case r := <-g.engineReads:
			g.recordEngineRead(r)
		case <-ticker.C:
			g.tick(ctx, g.Now())
		}
	}
}

// tick performs the periodic work of the control loop.
func (g *Gateway) tick(ctx context.Context, now time.Time) {
	g.tickMembers(ctx, now)
	g.tickTables(now)
	g.tickSummary(now)
	g.tickOrders(ctx, now)
	g.publishViews(now)
	g.updateReady(now)
	g.grantAllWaiting(now)
	g.Metrics.SetGauge("open_streams", float64(g.streams.count()))
	g.Metrics.SetGauge("session_bytes_sent", float64(g.sessions.bytesSent()))
}

// tickTables advances the tables that are shared with request goroutines.
func (g *Gateway) tickTables(now time.Time) {
	g.tokens.Tick(now)
	g.calls.Tick(now)
	g.handovers.Tick(now)
	g.quarantine.DropExpired(now)
}

// onControl receives control messages in the session's reading goroutine. Token messages are
// handled there, since a request waits for them.
func (g *Gateway) onControl(s *vm.Session, f vmwire.Frame) {
	m := controlMessage{from: s, frame: f}
	switch f.Kind {
	case vmwire.KindTokenRequest:
		g.onTokenRequest(m)
		return
	case vmwire.KindTokenGrant:
		g.onTokenGrant(m)
		return
	}
	select {
	case g.controlMessages <- m:
	default: // Control messages are repeated by their senders.
		g.Metrics.AddCounter("control_messages_dropped", 1)
	}
}

func (g *Gateway) onSession(c sessionChange) {
	if c.up {
		g.sessions.add(c.session)
	} else {
		g.sessions.remove(c.session)
	}
	select {
	case g.sessionChanges <- c:
	default:
		c.session.Close(vm.ErrTooManyStreams)
	}
}

// handleControl dispatches a control message.
func (g *Gateway) handleControl(ctx context.Context, m controlMessage) {
	switch m.frame.Kind {
	case vmwire.KindHeartbeat:
		g.onHeartbeat(ctx, m)
	case vmwire.KindHeartbeatAck:
		g.onHeartbeatAck(m)
	case vmwire.KindConfigRequest:
		g.onConfigGet(m)
	case vmwire.KindConfigParts:
		g.onConfigParts(m)
	case vmwire.KindLoad:
		g.onLoad(m)
	case vmwire.KindSummary:
		g.onSummary(ctx, m)
	case vmwire.KindSuspectRequest:
		g.onSuspect(m)
	case vmwire.KindHandover:
		g.onHandover(m)
	case vmwire.KindHandoverRequest:
		g.onHandoverTake(m)
	}
}

// decode reads a control message, and ends the session of a peer that sent a malformed one.
func (g *Gateway) decode(m controlMessage, into interface {
	UnmarshalMsg([]byte) ([]byte, error)
}) bool {
	if err := vm.Decode(m.frame, into); err != nil {
		event.FrameInvalid.Log(g.Log, "peer", m.from.Peer.Slot, "error", err.Error())
		m.from.Close(err)
		return false
	}
	return true
}

// Drain refuses new requests and waits until the running ones have ended. Those that have not when the drain limit has passed are
// ended with an error. It sends the call records to another VM, and returns the number of requests that it ended.
func (g *Gateway) Drain(ctx context.Context) int {
	g.leaving.Store(true)
	g.Audit.Add(g.Now(), audit.Entry{Kind: audit.VMLeaving, Subject: "vm/" + g.Self.Slot})
	event.Draining.Log(g.Log, "running", g.streams.count())
	ctx, cancel := context.WithTimeout(ctx, g.Settings.DrainLimit)
	defer cancel()
	// Callers and VMs that do not know of the drain yet may still send requests for a short time;
	// these are refused, so only running requests are waited for.
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	notice := time.After(minDrainTime)
	for noticed := false; (!noticed || g.streams.count() > 0) && ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-notice:
			noticed = true
		case <-ticker.C:
		}
	}
	cut := g.endStreams()
	g.sendHandover(g.Now())
	return cut
}

// endStreams ends the requests that are still open, waits until their errors are sent, and returns their number.
func (g *Gateway) endStreams() int {
	cut := g.streams.cancelAll(errVMEnds)
	for ended := time.Now(); g.streams.count() > 0 && time.Since(ended) < endTimeout; {
		time.Sleep(drainPollInterval)
	}
	return cut
}

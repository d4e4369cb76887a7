package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleyhatch/audit"
	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/member"
	"parsleyhatch/order"
	"parsleyhatch/selector"
	"parsleyhatch/upstream"
	"parsleyhatch/vmwire"
)

const (
	// orderInterval is the period of decisions about orders.
	orderInterval = 500 * time.Millisecond
	// orderQueue is the number of results that may wait for the control loop.
	orderQueue = 64
	// reportMaxAge is the age at which an engine's report no longer delays placement.
	reportMaxAge = 10 * time.Second
	// pauseHold is how long a VM sends no orders after its process was paused. Acknowledgements from
	// before the pause have been read by then, and orders need a new confirmation of the
	// configuration.
	pauseHold = time.Second
	// fenceHistory is the number of fencing numbers kept for an engine. It covers reports that lag
	// by up to as many polls.
	fenceHistory = 16
)

// orderControl is the part of the control state that concerns orders.
type orderControl struct {
	orders *order.Table
	// engines holds the last report of each engine of the region.
	engines map[string]engineReport
	// ordered holds the engines that a placement selects; the value is false for those that do not
	// check fencing numbers and get no orders.
	ordered map[string]bool
	// placed is the number of engines of the region that a placement selects.
	placed int
	// engineChanged is set if the reported state of an engine has changed.
	engineChanged bool
	slotWaits     map[string]slotWaits
	waitsSent     time.Time
	// confirmedAt is when another VM last acknowledged a heartbeat and knew no later configuration.
	confirmedAt time.Time
	// heldUntil is the end of pauseHold, lastOrderTick the last time at which the loop ran.
	heldUntil     time.Time
	lastOrderTick time.Time
	decidedAt     time.Time
	// fences is shared with the goroutines that read engines.
	fences fenceReads
}

// engineReport is the last report of an engine.
type engineReport struct {
	// at is not later than the time of the report.
	at      time.Time
	state   order.State
	loading bool
	running int
	// fence is the number of the last order, valid if fenceRead is set.
	fence     uint64
	fenceRead bool
	// minFence is the number of this VM's last order that the engine accepted, at minFenceAt.
	// Reports with a lower number are older than the order.
	minFence   uint64
	minFenceAt time.Time
}

// orderResult is the result of an order that was sent.
type orderResult struct {
	decision order.Decision
	result   order.Result
	err      error
}

// initOrders creates the order table before the control loop starts.
func (g *Gateway) initOrders() {
	g.orders = order.New(g.Self.Slot, g.OrderLimits)
	g.orders.Log = g.Log
	g.engines = map[string]engineReport{}
	g.slotWaits = map[string]slotWaits{}
}

// applyPlacements applies the placements of a snapshot.
func (g *Gateway) applyPlacements(old, next *config.Snapshot) {
	g.queues.placed.Store(&next.Placements)
	g.orders.SetPlan(planOf(next))
	selected := selectedEngines(next, g.Self.Region)
	g.placed = len(selected)
	g.ordered = map[string]bool{}
	var kept, list []order.Upstream
	for _, u := range selected {
		o := order.Upstream{Name: u.Name, Labels: u.Labels, ChecksFencing: u.ChecksFencing, Draining: u.State == config.StateDraining}
		list = append(list, o)
		g.ordered[u.Name] = u.ChecksFencing
		if sameAddress(old, u) {
			kept = append(kept, o)
		}
	}
	// An engine with a new address counts as another engine: the fencing number that was read from
	// the old one does not apply to it.
	g.orders.SetUpstreams(kept)
	g.orders.SetUpstreams(list)
	for name := range g.engines {
		if u := next.Upstreams[name]; u == nil || !sameAddress(old, u) {
			delete(g.engines, name)
			g.fences.forget(name)
		}
	}
}

func sameAddress(old *config.Snapshot, u *config.Upstream) bool {
	return old != nil && old.Upstreams[u.Name] != nil && old.Upstreams[u.Name].Address == u.Address
}

// planOf converts the placements, in the order of their names.
func planOf(s *config.Snapshot) order.Plan {
	var plan order.Plan
	for _, p := range s.Placements {
		sel, err := selector.Parse(p.Selector)
		if err != nil {
			continue // Validate refuses such a configuration.
		}
		adapters := slices.Sorted(slices.Values(p.Adapters))
		want := order.State{Model: p.Model, Version: p.Version, Adapters: adapters, Role: p.Role}
		plan.Pools = append(plan.Pools, order.Pool{Desired: want, Allowed: sel, MinReplicas: p.MinReplicas})
	}
	slices.SortFunc(plan.Pools, func(a, b order.Pool) int {
		return strings.Compare(s.Placements[a.Desired.Model].Name, s.Placements[b.Desired.Model].Name)
	})
	return plan
}

// selectedEngines lists the engines of a region that a placement selects, each once.
func selectedEngines(s *config.Snapshot, region string) []*config.Upstream {
	seen := map[string]bool{}
	var list []*config.Upstream
	for _, p := range s.Placements {
		for _, u := range s.PlacementEngines(p, region) {
			if !seen[u.Name] {
				seen[u.Name] = true
				list = append(list, u)
			}
		}
	}
	return list
}

// unorderedEngines describes the engines that a placement selects but that get no orders.
func unorderedEngines(s *config.Snapshot, region string) []string {
	var list []string
	for _, u := range selectedEngines(s, region) {
		if !u.ChecksFencing {
			list = append(list, fmt.Sprintf("upstream %s gets no orders: it does not check fencing numbers", u.Name))
		}
	}
	slices.Sort(list)
	return list
}

// awaitsReports reports whether placements select engines and none of them has reported yet.
func (g *Gateway) awaitsReports() bool { return g.placed > 0 && len(g.engines) == 0 }

// loadedRoutes returns the route if the engine runs its model now, or if the model has no
// placement.
func (g *Gateway) loadedRoutes(s *config.Snapshot, route, engine string) []string {
	r := s.Routes[route]
	p := s.Placements[r.Model]
	if r.Kind != config.KindModel || p == nil {
		return []string{route}
	}
	e, ok := g.engines[engine]
	if !ok || e.loading || !p.SatisfiedBy(e.state.Model, e.state.Version, e.state.Adapters) {
		return nil
	}
	return []string{route}
}

// refreshRoutes updates the routes after the reported state of an engine has changed.
func (g *Gateway) refreshRoutes(now time.Time) {
	s := g.Snapshot()
	if s == nil || !g.engineChanged {
		return
	}
	g.engineChanged = false
	if len(s.Placements) == 0 {
		return
	}
	g.choices.Configure(now, g.upstreamMembers(s))
	g.publishViews(now)
}

// tickOrders decides about orders and starts to execute the decisions.
func (g *Gateway) tickOrders(ctx context.Context, now time.Time) {
	s := g.Snapshot()
	current := g.configCurrent(now)
	if s == nil || len(s.Placements) == 0 || g.leaving.Load() {
		return
	}
	g.reportWaits(ctx, now, s)
	if !current || now.Sub(g.decidedAt) < orderInterval {
		return
	}
	g.decidedAt = now
	g.orders.SetLive(g.stayingVMs(now))
	for _, d := range g.orders.Decide(now) {
		g.executeDecision(ctx, now, s, d)
	}
	if g.anyEngineLoading(now) {
		return // One replica moves at a time, and a move ends when its engine serves again.
	}
	if d, ok := g.orders.Rebalance(now, g.demands(now, s)); ok {
		g.executeDecision(ctx, now, s, d)
	}
}

// confirmConfig records an acknowledgement of another VM. current reports whether that VM knows no
// later configuration than this VM.
func (g *Gateway) confirmConfig(now time.Time, current bool) {
	if !current {
		g.confirmedAt = time.Time{}
	} else if now.Sub(g.lastOrderTick) <= member.MaxTickGap && !now.Before(g.heldUntil) {
		g.confirmedAt = now
	}
}

// configCurrent reports whether this VM may order engines: its configuration was confirmed since
// the last pause. A newly read fencing number does not protect against orders that follow from an
// outdated configuration.
func (g *Gateway) configCurrent(now time.Time) bool {
	if !g.lastOrderTick.IsZero() && now.Sub(g.lastOrderTick) > member.MaxTickGap {
		g.heldUntil = now.Add(pauseHold)
		g.confirmedAt = time.Time{}
	}
	g.lastOrderTick = now
	if s := g.Snapshot(); s != nil && len(s.VMs) == 1 {
		return !now.Before(g.heldUntil)
	}
	return now.Sub(g.confirmedAt) < member.LeaseDuration
}

// stayingVMs lists the live VMs of the region that are not leaving.
func (g *Gateway) stayingVMs(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(g.members.LiveSlots(now, g.Self.Region)), func(slot string) bool {
		row, ok := g.members.Row(slot)
		return ok && row.Leaving
	})
}

func (g *Gateway) anyEngineLoading(now time.Time) bool {
	for name, ordered := range g.ordered {
		if e := g.engines[name]; ordered && e.loading && now.Sub(e.at) < reportMaxAge {
			return true
		}
	}
	return false
}

// executeDecision sends an order, reads an engine or records a refusal, as the decision of the
// order table requires.
func (g *Gateway) executeDecision(ctx context.Context, now time.Time, s *config.Snapshot, d order.Decision) {
	u := s.Upstreams[d.Upstream]
	switch {
	case u == nil:
		event.FailInvariant(g.Log, event.BrokenOrderFence, "upstream", d.Upstream, "reason", "not configured")
	case d.ShouldSend():
		g.Audit.Add(now, audit.Entry{Kind: audit.OrderIssued, Subject: "upstream/" + u.Name, Version: s.Version, Detail: describeOrder(d)})
		g.markLoading(ctx, now, d)
		g.refreshRoutes(now)
		g.background.Go(func() { g.runOrder(ctx, u, d) })
	case d.Reason == order.ReasonRead:
		w := watchedUpstream{name: u.Name, address: u.Address, ordered: true}
		g.background.Go(func() { g.runEngineRead(ctx, w) })
	case d.Reason == order.ReasonNoFencing:
		g.Audit.Add(now, audit.Entry{Kind: audit.OrderRefused, Subject: "upstream/" + u.Name, Version: s.Version, Detail: "the upstream does not check fencing numbers"})
	}
}

// describeOrder returns the text of an order for the audit trail.
func describeOrder(d order.Decision) string {
	text := func(s order.State) string {
		return fmt.Sprintf("model %q version %q adapters %q role %q", s.Model, s.Version, s.Adapters, s.Role)
	}
	return fmt.Sprintf("%s, fencing number %d, from %s to %s", d.Reason, d.FencingNumber, text(d.From), text(d.To))
}

// markLoading removes the engine from its routes in the region until its next report, so that it is
// not sent requests which it would refuse.
func (g *Gateway) markLoading(ctx context.Context, now time.Time, d order.Decision) {
	if d.From.Model == d.To.Model && d.From.Version == d.To.Version {
		return
	}
	e := g.engines[d.Upstream]
	e.loading = true
	g.engines[d.Upstream] = e
	g.engineChanged = true
	g.sendLoad(ctx, now, &vmwire.Load{Upstreams: []vmwire.UpstreamLoad{{
		Upstream: d.Upstream, Running: int32(e.running), Age: vmwire.AgeOf(now, e.at),
		Model: e.state.Model, Version: e.state.Version, Adapters: e.state.Adapters, Role: e.state.Role,
		Loading: true,
	}}})
}

// runOrder sends an order and reports its result.
func (g *Gateway) runOrder(ctx context.Context, u *config.Upstream, d order.Decision) {
	if !u.ChecksFencing || d.FencingNumber == 0 {
		event.FailInvariant(g.Log, event.BrokenOrderFence, "upstream", u.Name, "fence", d.FencingNumber)
	}
	if g.BeforeOrder != nil {
		g.BeforeOrder(d)
	}
	err := g.Upstreams.Order(ctx, u.Address, upstream.Order{
		Fencing: d.FencingNumber, Kind: upstream.OrderKindPlacement,
		Model: d.To.Model, Version: d.To.Version, Adapters: d.To.Adapters, Role: d.To.Role,
	})
	end := orderResult{decision: d, result: order.Accepted, err: err}
	if errors.Is(err, upstream.ErrFenced) {
		end.result = order.StaleFence
	} else if err != nil {
		end.result = order.Failed
	}
	select {
	case g.orderResults <- end:
	case <-ctx.Done():
	}
}

// recordOrderResult records the result of an order.
func (g *Gateway) recordOrderResult(end orderResult) {
	now := g.Now()
	g.orders.RecordResult(now, end.decision, end.result)
	if end.result == order.Accepted {
		e := g.engines[end.decision.Upstream]
		e.at, e.state, e.minFence, e.minFenceAt = now, end.decision.To, end.decision.FencingNumber, now
		g.engines[end.decision.Upstream] = e
		return
	}
	detail := fmt.Sprintf("%s: %v", describeOrder(end.decision), end.err)
	g.Audit.Add(now, audit.Entry{Kind: audit.OrderRefused, Subject: "upstream/" + end.decision.Upstream, Detail: detail})
}

// runEngineRead reads an engine for a decision.
func (g *Gateway) runEngineRead(ctx context.Context, w watchedUpstream) {
	r := g.readEngine(ctx, w)
	if r.err != nil {
		return // The order table requests the read again.
	}
	select {
	case g.engineReads <- r:
	case <-ctx.Done():
	}
}

func (g *Gateway) recordEngineRead(r loadResult) {
	g.recordReport(r.name, reportOf(r))
	g.refreshRoutes(g.Now())
}

// readEngine reads the fencing number and then the load of an engine. The number must not be newer
// than the state: the engine would accept an order that replaces a state which this VM has not
// seen.
func (g *Gateway) readEngine(ctx context.Context, w watchedUpstream) loadResult {
	r := loadResult{name: w.name}
	if w.ordered {
		if number, err := g.Upstreams.LastFencingNumber(ctx, w.address); err == nil {
			g.fences.add(w.name, g.Now(), number)
		}
	}
	sent := g.Now()
	r.load, r.err = g.Upstreams.Load(ctx, w.address)
	age := time.Duration(r.load.AgeMillis) * time.Millisecond
	r.at = g.Now().Add(-age)
	r.stateAt = sent.Add(-age)
	r.fence, r.fenceRead = g.fences.before(w.name, r.stateAt)
	return r
}

func reportOf(r loadResult) engineReport {
	return engineReport{
		at:      r.stateAt,
		state:   stateOf(r.load.Model, r.load.Version, r.load.Adapters, r.load.Role),
		loading: r.load.Loading, running: r.load.Running + r.load.Waiting,
		fence: r.fence, fenceRead: r.fenceRead,
	}
}

// reportOfWire converts a report from another VM. A delayed message looks more recent than it is;
// an order that follows from it carries an old fencing number and is refused by the engine.
func reportOfWire(now time.Time, l vmwire.UpstreamLoad) engineReport {
	return engineReport{
		at:      now.Add(-l.StateAge.Duration()),
		state:   stateOf(l.Model, l.Version, l.Adapters, l.Role),
		loading: l.Loading, running: int(l.Running + l.Waiting),
		fence: l.Fencing, fenceRead: l.FencingRead,
	}
}

func stateOf(model, version string, adapters []string, role string) order.State {
	return order.State{Model: model, Version: version, Adapters: slices.Sorted(slices.Values(adapters)), Role: role}
}

// recordReport records the report of an engine, and passes it to the table of orders.
func (g *Gateway) recordReport(name string, r engineReport) {
	was, known := g.engines[name]
	s := g.Snapshot()
	if s == nil || s.Upstreams[name] == nil || known && r.at.Before(was.at) {
		return
	}
	if now := g.Now(); now.Sub(was.minFenceAt) < reportMaxAge && (!r.fenceRead || r.fence < was.minFence) {
		return
	}
	r.minFence, r.minFenceAt = was.minFence, was.minFenceAt
	g.engines[name] = r
	if !known || r.loading != was.loading || !r.state.Equal(was.state) {
		g.engineChanged = true
	}
	if r.fenceRead {
		g.orders.RecordRead(r.at, name, specifiedState(s, r.state), r.fence)
	}
}

// specifiedState clears the fields that the placement does not specify, so that differences in them
// cause no orders.
func specifiedState(s *config.Snapshot, state order.State) order.State {
	p := s.Placements[state.Model]
	if p == nil {
		return state
	}
	if p.Version == "" {
		state.Version = ""
	}
	if len(p.Adapters) == 0 {
		state.Adapters = nil
	}
	if p.Role == "" {
		state.Role = ""
	}
	return state
}

// fenceReads holds the last fencing numbers read from each engine, oldest first.
type fenceReads struct {
	mu   sync.Mutex
	rows map[string][]fenceRead
}

type fenceRead struct {
	at     time.Time
	number uint64
}

func (f *fenceReads) add(name string, at time.Time, number uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows == nil {
		f.rows = map[string][]fenceRead{}
	}
	list := append(f.rows[name], fenceRead{at, number})
	f.rows[name] = list[max(0, len(list)-fenceHistory):]
}

// before returns the last number that was read at or before the time.
func (f *fenceReads) before(name string, at time.Time) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.rows[name]
	for i := len(list) - 1; i >= 0; i-- {
		if !list[i].at.After(at) {
			return list[i].number, true
		}
	}
	return 0, false
}

func (f *fenceReads) forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rows, name)
}

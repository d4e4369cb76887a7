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
	// stateLife is the age at which a report no longer holds up placement.
	stateLife = 10 * time.Second
	// wakeHold is how long a VM sends no orders after a pause. It then needs a new confirmation of its
	// configuration; acknowledgements from before the pause have been read by that time.
	wakeHold = time.Second
	// fenceHistory covers reports that lag by up to as many polls.
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
	// changed says that an engine runs something else than before.
	changed   bool
	slotWaits map[string]slotWaits
	waitsSent time.Time
	// confirmedAt is when another VM last acknowledged a heartbeat and knew no later configuration.
	confirmedAt time.Time
	// heldTill is the end of wakeHold, lastOrderTick the last time at which the loop ran.
	heldTill      time.Time
	lastOrderTick time.Time
	decidedAt     time.Time
	// fences is shared with the goroutines that read engines.
	fences fenceReads
}

// engineReport is what an engine last reported.
type engineReport struct {
	// at is not later than the time of the report.
	at      time.Time
	state   order.State
	loading bool
	running int
	// fence is the number of the last order, valid if fenceRead is set.
	fence     uint64
	fenceRead bool
	// floor is the number of this VM's last order that the engine accepted, at floorAt. Reports with
	// a lower number were made before it.
	floor   uint64
	floorAt time.Time
}

// orderEnd is the result of an order that was sent.
type orderEnd struct {
	decision order.Decision
	result   order.Result
	err      error
}

// startOrders makes the table, before the control loop begins.
func (g *Gateway) startOrders() {
	g.orders = order.New(g.Self.Slot, g.OrderLimits)
	g.orders.Log = g.Log
	g.engines = map[string]engineReport{}
	g.slotWaits = map[string]slotWaits{}
}

// configureOrders puts the placements of a snapshot in force.
func (g *Gateway) configureOrders(old, next *config.Snapshot) {
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
	// Another address is another engine: the number read from the earlier one does not hold for it.
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

// unorderedEngines lists the engines that a placement selects in vain.
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

// awaitsReports reports whether no engine has reported yet what it runs.
func (g *Gateway) awaitsReports() bool { return g.placed > 0 && len(g.engines) == 0 }

// loadedRoutes returns the route if the engine runs its model now, or if nothing is placed for it.
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

// refreshRoutes applies reports that an engine runs something else than before.
func (g *Gateway) refreshRoutes(now time.Time) {
	s := g.Snapshot()
	if s == nil || !g.changed {
		return
	}
	g.changed = false
	if len(s.Placements) == 0 {
		return
	}
	g.choices.Configure(now, g.upstreamMembers(s))
	g.publish(now)
}

// tickOrders decides about orders and starts what is to be done.
func (g *Gateway) tickOrders(ctx context.Context, now time.Time) {
	s := g.Snapshot()
	current := g.configCurrent(now)
	if s == nil || len(s.Placements) == 0 || g.leaving.Load() {
		return
	}
	g.tickWaits(ctx, now, s)
	if !current || now.Sub(g.decidedAt) < orderInterval {
		return
	}
	g.decidedAt = now
	g.orders.SetLive(g.holders(now))
	for _, d := range g.orders.Decide(now) {
		g.act(ctx, now, s, d)
	}
	if g.anyLoading(now) {
		return // One replica moves at a time, and a move ends when its engine serves again.
	}
	if d, ok := g.orders.Rebalance(now, g.demands(now, s)); ok {
		g.act(ctx, now, s, d)
	}
}

// confirmConfig records an acknowledgement of another VM. current says that it knows no later
// configuration than this VM's.
func (g *Gateway) confirmConfig(now time.Time, current bool) {
	if !current {
		g.confirmedAt = time.Time{}
	} else if now.Sub(g.lastOrderTick) <= member.MaxTickGap && !now.Before(g.heldTill) {
		g.confirmedAt = now
	}
}

// configCurrent reports whether this VM may order engines: its configuration was confirmed since the
// last pause. A fencing number that is read anew does not protect against the wishes of an earlier
// configuration.
func (g *Gateway) configCurrent(now time.Time) bool {
	if !g.lastOrderTick.IsZero() && now.Sub(g.lastOrderTick) > member.MaxTickGap {
		g.heldTill = now.Add(wakeHold)
		g.confirmedAt = time.Time{}
	}
	g.lastOrderTick = now
	if s := g.Snapshot(); s != nil && len(s.VMs) == 1 {
		return !now.Before(g.heldTill)
	}
	return now.Sub(g.confirmedAt) < member.LeaseDuration
}

// holders lists the live VMs of the region that are not leaving.
func (g *Gateway) holders(now time.Time) []string {
	return slices.DeleteFunc(slices.Clone(g.members.LiveSlots(now, g.Self.Region)), func(slot string) bool {
		row, ok := g.members.Row(slot)
		return ok && row.Leaving
	})
}

func (g *Gateway) anyLoading(now time.Time) bool {
	for name, ordered := range g.ordered {
		if e := g.engines[name]; ordered && e.loading && now.Sub(e.at) < stateLife {
			return true
		}
	}
	return false
}

// act starts what a decision asks for.
func (g *Gateway) act(ctx context.Context, now time.Time, s *config.Snapshot, d order.Decision) {
	u := s.Upstreams[d.Upstream]
	switch {
	case u == nil:
		event.FailInvariant(g.Log, event.BrokenOrderFence, "upstream", d.Upstream, "reason", "not configured")
	case d.ShouldSend():
		g.Audit.Add(now, audit.Entry{Kind: audit.OrderIssued, Subject: "upstream/" + u.Name, Version: s.Version, Detail: describe(d)})
		g.expectLoad(ctx, now, d)
		g.refreshRoutes(now)
		g.wait.Go(func() { g.runOrder(ctx, u, d) })
	case d.Reason == order.ReasonRead:
		w := watchedUpstream{name: u.Name, address: u.Address, ordered: true}
		g.wait.Go(func() { g.runRead(ctx, w) })
	case d.Reason == order.ReasonNoFencing:
		g.Audit.Add(now, audit.Entry{Kind: audit.OrderRefused, Subject: "upstream/" + u.Name, Version: s.Version, Detail: "the upstream does not check fencing numbers"})
	}
}

// describe is the text of an order in the audit trail.
func describe(d order.Decision) string {
	text := func(s order.State) string {
		return fmt.Sprintf("model %q version %q adapters %q role %q", s.Model, s.Version, s.Adapters, s.Role)
	}
	return fmt.Sprintf("%s, fencing number %d, from %s to %s", d.Reason, d.FencingNumber, text(d.From), text(d.To))
}

// expectLoad takes the engine out of its routes in the region until its next report, to spare requests
// a refusal.
func (g *Gateway) expectLoad(ctx context.Context, now time.Time, d order.Decision) {
	if d.From.Model == d.To.Model && d.From.Version == d.To.Version {
		return
	}
	e := g.engines[d.Upstream]
	e.loading = true
	g.engines[d.Upstream] = e
	g.changed = true
	g.sendLoad(ctx, now, &vmwire.Load{Upstreams: []vmwire.UpstreamLoad{{
		Upstream: d.Upstream, Running: int32(e.running), AgeMillis: now.Sub(e.at).Milliseconds(),
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
	end := orderEnd{decision: d, result: order.Accepted, err: err}
	if errors.Is(err, upstream.ErrFenced) {
		end.result = order.StaleFence
	} else if err != nil {
		end.result = order.Failed
	}
	select {
	case g.orderEnds <- end:
	case <-ctx.Done():
	}
}

// endOrder records the result of an order.
func (g *Gateway) endOrder(end orderEnd) {
	now := g.Now()
	g.orders.RecordResult(now, end.decision, end.result)
	if end.result == order.Accepted {
		e := g.engines[end.decision.Upstream]
		e.at, e.state, e.floor, e.floorAt = now, end.decision.To, end.decision.FencingNumber, now
		g.engines[end.decision.Upstream] = e
		return
	}
	detail := fmt.Sprintf("%s: %v", describe(end.decision), end.err)
	g.Audit.Add(now, audit.Entry{Kind: audit.OrderRefused, Subject: "upstream/" + end.decision.Upstream, Detail: detail})
}

// runRead reads an engine for a decision.
func (g *Gateway) runRead(ctx context.Context, w watchedUpstream) {
	r := g.readEngine(ctx, w)
	if r.err != nil {
		return // The table asks again.
	}
	select {
	case g.orderReads <- r:
	case <-ctx.Done():
	}
}

func (g *Gateway) recordRead(r loadResult) {
	g.observe(r.name, reportOf(r))
	g.refreshRoutes(g.Now())
}

// readEngine reads the fencing number and then the load of an engine. The number read must not be
// later than the state: it would let an order through that replaces a state which was not seen.
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

// reportOfWire reads another VM's report. A message that was delayed looks younger than it is; an
// order that follows from it carries an old number and is refused by the engine.
func reportOfWire(now time.Time, l vmwire.UpstreamLoad) engineReport {
	return engineReport{
		at:      now.Add(-time.Duration(l.StateAgeMillis) * time.Millisecond),
		state:   stateOf(l.Model, l.Version, l.Adapters, l.Role),
		loading: l.Loading, running: int(l.Running + l.Waiting),
		fence: l.Fencing, fenceRead: l.FencingRead,
	}
}

func stateOf(model, version string, adapters []string, role string) order.State {
	return order.State{Model: model, Version: version, Adapters: slices.Sorted(slices.Values(adapters)), Role: role}
}

// observe records the report of an engine, and passes it to the table of orders.
func (g *Gateway) observe(name string, r engineReport) {
	was, known := g.engines[name]
	s := g.Snapshot()
	if s == nil || s.Upstreams[name] == nil || known && r.at.Before(was.at) {
		return
	}
	if now := g.Now(); now.Sub(was.floorAt) < stateLife && (!r.fenceRead || r.fence < was.floor) {
		return
	}
	r.floor, r.floorAt = was.floor, was.floorAt
	g.engines[name] = r
	if !known || r.loading != was.loading || !r.state.Equal(was.state) {
		g.changed = true
	}
	if r.fenceRead {
		g.orders.RecordRead(r.at, name, namedState(s, r.state), r.fence)
	}
}

// namedState drops what the placement leaves to the engine, so that no order follows from it.
func namedState(s *config.Snapshot, state order.State) order.State {
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

// before returns the last number that was read by the time.
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

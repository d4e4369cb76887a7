package order

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"parsleyhatch/event"
)

// Reason says why a decision was taken, for the audit trail.
type Reason string

// Reasons of decisions.
const (
	// ReasonIssue: the order is to be sent now.
	ReasonIssue Reason = "issue"
	// ReasonMove: the order is to be sent now and moves the replica to another model.
	ReasonMove Reason = "move"
	// ReasonRead: the last fencing number and the state must be read from the upstream first.
	ReasonRead Reason = "read"
	// ReasonNoFencing: the upstream does not check fencing numbers and gets no orders.
	ReasonNoFencing Reason = "noFencing"
	// ReasonThrottled: the load order waits for the weight store's rate.
	ReasonThrottled Reason = "throttled"
)

// Decision is the outcome for one upstream that needs a change.
type Decision struct {
	Upstream string
	Reason   Reason
	From     State
	To       State
	// Fence is the fencing number of the order, zero unless it is to be sent.
	Fence uint64

	// number tells an order from a later one with the same fencing number, which follows a time-out.
	number uint64
}

// Send reports whether an order is to be sent; Done must follow.
func (d Decision) Send() bool { return d.Reason == ReasonIssue || d.Reason == ReasonMove }

// Result is the outcome of an order that was sent.
type Result uint8

// Results of orders.
const (
	// Accepted: the upstream applies the order.
	Accepted Result = iota + 1
	// Stale: the upstream refused the fencing number.
	Stale
	// Failed: the upstream refused the order for another reason, or did not answer.
	Failed
)

// Limits bound the orders.
type Limits struct {
	// LoadsPerSecond and LoadBurst bound the load orders of this VM.
	LoadsPerSecond float64
	LoadBurst      float64
	// BackoffMin and BackoffMax bound the time after a refused order; it doubles each time.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// Timeout ends an outstanding order without a result.
	Timeout time.Duration
	// ReadFor is how long a read of the upstream is used for an order.
	ReadFor time.Duration
	// ReadEvery is the least time between two reads of one upstream.
	ReadEvery time.Duration
	// Dwell is the least time that a replica stays with a model after a move.
	Dwell time.Duration
	// MoveEvery is the least time between two moves in the region.
	MoveEvery time.Duration
	// Sustain is how long pressure must last before a replica moves.
	Sustain time.Duration
	// HighWait and LowWait are queue waits: a model above HighWait gets a replica from one below
	// LowWait. The gap between them prevents flapping.
	HighWait time.Duration
	LowWait  time.Duration
	// SpareUse is the largest use, as a share of the capacity, that the giving model may have after
	// the move.
	SpareUse float64
}

// DefaultLimits are the limits of production.
func DefaultLimits() Limits {
	return Limits{
		LoadsPerSecond: 0.1,
		LoadBurst:      2,
		BackoffMin:     2 * time.Second,
		BackoffMax:     5 * time.Minute,
		Timeout:        time.Minute,
		ReadFor:        5 * time.Second,
		ReadEvery:      time.Second,
		Dwell:          10 * time.Minute,
		MoveEvery:      time.Minute,
		Sustain:        30 * time.Second,
		HighWait:       time.Second,
		LowWait:        200 * time.Millisecond,
		SpareUse:       0.7,
	}
}

// row is what is known about one upstream.
type row struct {
	upstream Upstream
	current  State
	// fence is the last number read from the upstream, at readAt.
	fence  uint64
	readAt time.Time
	read   bool
	askAt  time.Time
	// outstanding is set while an order has no result.
	outstanding bool
	sentAt      time.Time
	endedAt     time.Time
	sent        Decision
	failures    int
	waitTill    time.Time
	movedAt     time.Time
	moved       bool
	// told is the last reason that was reported without an order, to report each change once.
	told Reason
}

// Table decides about the upstreams of a region. It belongs to the control thread.
type Table struct {
	// Log receives events; nil drops them.
	Log *slog.Logger

	self   string
	limits Limits
	plan   Plan
	live   []string
	rows   map[string]*row
	names  []string
	loads  bucket
	place  placement
	orders uint64
}

// New returns the table of a VM.
func New(self string, limits Limits) *Table {
	return &Table{self: self, limits: limits, rows: map[string]*row{}}
}

// SetPlan puts a plan in force.
func (t *Table) SetPlan(p Plan) { t.plan = p }

// SetLive sets the live slots of the region, including this one.
func (t *Table) SetLive(slots []string) { t.live = slots }

// SetUpstreams sets the engines of the region.
func (t *Table) SetUpstreams(list []Upstream) {
	rows := make(map[string]*row, len(list))
	t.names = t.names[:0]
	for _, u := range list {
		r := t.rows[u.Name]
		if r == nil {
			r = &row{}
		}
		r.upstream = u
		rows[u.Name] = r
		t.names = append(t.names, u.Name)
	}
	t.rows = rows
	slices.Sort(t.names)
}

// Observe records what was read from an upstream, by this VM or by its watcher: its state and the
// fencing number of its last order. The time is that of sending the read. A read that began before the
// last order ended is not used. Place relies on reads of all upstreams of the region.
func (t *Table) Observe(now time.Time, upstream string, s State, lastFence uint64) {
	r := t.rows[upstream]
	if r == nil || r.outstanding || now.Before(r.endedAt) {
		return
	}
	r.current = s
	r.fence = lastFence
	r.readAt = now
	r.read = true
}

// Tick returns the decisions about the upstreams that need a change, in the order of their names.
func (t *Table) Tick(now time.Time) []Decision {
	var list []Decision
	count := t.counts()
	for _, name := range t.names {
		r := t.rows[name]
		t.expire(now, r)
		if Holder(t.live, name) != t.self {
			r.told = ""
			continue
		}
		d, ok := t.decide(now, r, count)
		if !ok {
			continue
		}
		list = append(list, d)
		if d.Send() {
			count[d.From.Model]--
			count[d.To.Model]++
		}
	}
	return list
}

// counts returns the replicas of each model as last read.
func (t *Table) counts() map[string]int {
	count := map[string]int{}
	for _, r := range t.rows {
		if r.read {
			count[r.current.Model]++
		}
	}
	return count
}

// expire ends an order without a result. Whether it was applied is unknown, so a new read follows.
func (t *Table) expire(now time.Time, r *row) {
	if r.outstanding && now.Sub(r.sentAt) >= t.limits.Timeout {
		t.end(now, r, Failed)
	}
}

// decide returns the decision about an upstream of this VM, and false if nothing is to be done.
func (t *Table) decide(now time.Time, r *row, count map[string]int) (Decision, bool) {
	if r.upstream.Draining || r.outstanding || now.Before(r.waitTill) {
		return Decision{}, false
	}
	if !r.upstream.ChecksFencing {
		return t.tell(r, ReasonNoFencing, State{}, event.OrderNoFencing)
	}
	if !r.read {
		return t.ask(now, r)
	}
	want, ok := t.plan.desired(r.upstream, r.current, count)
	if !ok || r.current.Equal(want) {
		r.told = ""
		return Decision{}, false
	}
	if now.Sub(r.readAt) >= t.limits.ReadFor {
		return t.ask(now, r)
	}
	if r.current.loads(want) && !t.loads.take(now, t.limits.LoadsPerSecond, t.limits.LoadBurst) {
		return t.tell(r, ReasonThrottled, want, event.OrderThrottled)
	}
	return t.issue(now, r, ReasonIssue, want), true
}

// tell reports a reason once until it changes.
func (t *Table) tell(r *row, reason Reason, want State, e event.Event) (Decision, bool) {
	if r.told == reason {
		return Decision{}, false
	}
	r.told = reason
	e.Log(t.Log, "upstream", r.upstream.Name, "model", want.Model)
	return Decision{Upstream: r.upstream.Name, Reason: reason, From: r.current, To: want}, true
}

// ask requests a read of the upstream.
func (t *Table) ask(now time.Time, r *row) (Decision, bool) {
	if !r.askAt.IsZero() && now.Sub(r.askAt) < t.limits.ReadEvery {
		return Decision{}, false
	}
	r.askAt = now
	return Decision{Upstream: r.upstream.Name, Reason: ReasonRead, From: r.current}, true
}

// issue makes an order with the number after the last one read.
func (t *Table) issue(now time.Time, r *row, reason Reason, want State) Decision {
	if r.outstanding {
		event.Broken(t.Log, event.BrokenOrderSecond, "upstream", r.upstream.Name)
	}
	t.orders++
	d := Decision{Upstream: r.upstream.Name, Reason: reason, From: r.current, To: want, Fence: r.fence + 1, number: t.orders}
	if !r.read || !r.upstream.ChecksFencing {
		event.Broken(t.Log, event.BrokenOrderFence, "upstream", r.upstream.Name, "fence", d.Fence)
	}
	r.outstanding = true
	r.sentAt = now
	r.sent = d
	r.told = ""
	event.OrderIssued.Log(t.Log, "upstream", d.Upstream, "reason", string(reason), "fence", d.Fence,
		"model", want.Model, "version", want.Version, "adapters", strings.Join(want.Adapters, ","), "role", want.Role)
	return d
}

// Done ends an order with its result. A result of an order that has timed out is ignored.
func (t *Table) Done(now time.Time, d Decision, result Result) {
	r := t.rows[d.Upstream]
	if r == nil || !r.outstanding || r.sent.number != d.number {
		return
	}
	t.end(now, r, result)
}

// end clears the outstanding order. The upstream is read again before the next one.
func (t *Table) end(now time.Time, r *row, result Result) {
	d := r.sent
	r.outstanding = false
	r.read = false
	r.askAt = time.Time{}
	r.endedAt = now
	switch result {
	case Accepted:
		r.failures = 0
		r.current = d.To
		event.OrderAccepted.Log(t.Log, "upstream", d.Upstream, "fence", d.Fence)
		return
	case Stale:
		event.OrderStale.Log(t.Log, "upstream", d.Upstream, "fence", d.Fence)
	default:
		event.OrderFailed.Log(t.Log, "upstream", d.Upstream, "fence", d.Fence)
	}
	r.failures++
	r.waitTill = now.Add(t.backoff(r.failures))
}

// backoff doubles with each failure in a row.
func (t *Table) backoff(failures int) time.Duration {
	d := t.limits.BackoffMin
	for range failures - 1 {
		d *= 2
		if d >= t.limits.BackoffMax {
			return t.limits.BackoffMax
		}
	}
	return d
}

// Outstanding reports whether an order to the upstream has no result yet.
func (t *Table) Outstanding(upstream string) bool {
	r := t.rows[upstream]
	return r != nil && r.outstanding
}

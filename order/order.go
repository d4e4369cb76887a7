package order

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"parsleyhatch/event"
)

// Reason is the reason of a decision, for the audit trail.
type Reason string

// Reasons of decisions.
const (
	// ReasonIssue means that the order is to be sent now.
	ReasonIssue Reason = "issue"
	// ReasonMove means that the order is to be sent now and moves the replica to another model.
	ReasonMove Reason = "move"
	// ReasonRead means that the last fencing number and the state must be read from the upstream
	// first.
	ReasonRead Reason = "read"
	// ReasonNoFencing means that the upstream does not check fencing numbers and therefore gets no
	// orders.
	ReasonNoFencing Reason = "noFencing"
	// ReasonThrottled means that the load order waits for the rate limit of the weight store.
	ReasonThrottled Reason = "throttled"
)

// Decision is the outcome for one upstream that needs a change.
type Decision struct {
	Upstream string
	Reason   Reason
	From     State
	To       State
	// FencingNumber is the fencing number of the order. It is zero unless the order is to be sent.
	FencingNumber uint64

	// number identifies the order. An order that follows a time-out can have the same fencing number
	// as the earlier one.
	number uint64
}

// ShouldSend reports whether an order is to be sent. If so, RecordResult must be called with the result.
func (d Decision) ShouldSend() bool { return d.Reason == ReasonIssue || d.Reason == ReasonMove }

// Result is the result of an order that was sent.
type Result uint8

// Results of orders.
const (
	// Accepted means that the upstream applies the order.
	Accepted Result = iota + 1
	// StaleFence means that the upstream refused the fencing number.
	StaleFence
	// Failed means that the upstream refused the order for another reason or did not respond.
	Failed
)

// Limits configure when orders are sent and replicas are moved.
type Limits struct {
	// LoadsPerSecond and LoadBurst limit the load orders of this VM.
	LoadsPerSecond float64
	LoadBurst      float64
	// BackoffMin and BackoffMax bound the delay after a refused order. It doubles with each
	// consecutive failure.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// Timeout is the time after which an outstanding order without a result counts as failed.
	Timeout time.Duration
	// ReadValidity is the time after a read of the upstream during which an order may be based on it.
	ReadValidity time.Duration
	// MinReadInterval is the shortest time between two reads of one upstream.
	MinReadInterval time.Duration
	// MinDwell is the shortest time that a replica keeps a model after a move.
	MinDwell time.Duration
	// MinMoveInterval is the shortest time between two moves in the region.
	MinMoveInterval time.Duration
	// PressureDuration is how long the wait of a model must stay at or above HighWait before a replica moves
	// to it.
	PressureDuration time.Duration
	// HighWait and LowWait are queue waits. A model at or above HighWait gets a replica from a model
	// at or below LowWait. The gap between them prevents flapping.
	HighWait time.Duration
	LowWait  time.Duration
	// MaxDonorUtilisation is the highest utilisation that the model which gives up a replica may have
	// after the move.
	MaxDonorUtilisation float64
}

// DefaultLimits returns the limits for production.
func DefaultLimits() Limits {
	return Limits{
		LoadsPerSecond:      0.1,
		LoadBurst:           2,
		BackoffMin:          2 * time.Second,
		BackoffMax:          5 * time.Minute,
		Timeout:             time.Minute,
		ReadValidity:        5 * time.Second,
		MinReadInterval:     time.Second,
		MinDwell:            10 * time.Minute,
		MinMoveInterval:     time.Minute,
		PressureDuration:    30 * time.Second,
		HighWait:            time.Second,
		LowWait:             200 * time.Millisecond,
		MaxDonorUtilisation: 0.7,
	}
}

// upstreamRow is the state of one upstream.
type upstreamRow struct {
	upstream Upstream
	current  State
	// fence is the last fencing number read from the upstream, at readAt.
	fence           uint64
	readAt          time.Time
	read            bool
	readRequestedAt time.Time
	// outstanding is set while an order has no result.
	outstanding  bool
	sentAt       time.Time
	orderEndedAt time.Time
	lastOrder    Decision
	failures     int
	backoffUntil time.Time
	movedAt      time.Time
	moved        bool
	// reportedReason is the last reason that was reported without an order. Each reason is reported
	// once until it changes.
	reportedReason Reason
}

// Table decides on orders to the upstreams of a region. It is owned by the control loop.
type Table struct {
	// Log receives events; nil discards them.
	Log *slog.Logger

	self            string
	limits          Limits
	plan            Plan
	live            []string
	rows            map[string]*upstreamRow
	names           []string
	loads           tokenBucket
	placement       placementState
	lastOrderNumber uint64
}

// New returns the table of the VM in the slot self.
func New(self string, limits Limits) *Table {
	return &Table{self: self, limits: limits, rows: map[string]*upstreamRow{}}
}

// SetPlan replaces the plan.
func (t *Table) SetPlan(p Plan) { t.plan = p }

// SetLive sets the live slots of the region, including this VM's own one.
func (t *Table) SetLive(slots []string) { t.live = slots }

// SetUpstreams replaces the upstreams of the region. It keeps the state of those that remain.
func (t *Table) SetUpstreams(list []Upstream) {
	rows := make(map[string]*upstreamRow, len(list))
	t.names = t.names[:0]
	for _, u := range list {
		r := t.rows[u.Name]
		if r == nil {
			r = &upstreamRow{}
		}
		r.upstream = u
		rows[u.Name] = r
		t.names = append(t.names, u.Name)
	}
	t.rows = rows
	slices.Sort(t.names)
}

// RecordRead records the state of an upstream and the fencing number of its last order, as read by
// this VM or by the upstream's watcher. now is the time at which the read was sent. A read that
// began before the last order ended is ignored. Rebalance needs reads of all upstreams of the region.
func (t *Table) RecordRead(now time.Time, upstream string, s State, lastFence uint64) {
	r := t.rows[upstream]
	if r == nil || r.outstanding || now.Before(r.orderEndedAt) {
		return
	}
	r.current = s
	r.fence = lastFence
	r.readAt = now
	r.read = true
}

// Decide returns the decisions on upstreams that need a change, sorted by upstream name.
func (t *Table) Decide(now time.Time) []Decision {
	var list []Decision
	count := t.replicaCounts()
	for _, name := range t.names {
		r := t.rows[name]
		t.expireOrder(now, r)
		if IssuingVM(t.live, name) != t.self {
			r.reportedReason = ""
			continue
		}
		d, ok := t.decide(now, r, count)
		if !ok {
			continue
		}
		list = append(list, d)
		if d.ShouldSend() {
			count[d.From.Model]--
			count[d.To.Model]++
		}
	}
	return list
}

// replicaCounts returns the number of replicas of each model according to the last reads.
func (t *Table) replicaCounts() map[string]int {
	count := map[string]int{}
	for _, r := range t.rows {
		if r.read {
			count[r.current.Model]++
		}
	}
	return count
}

// expireOrder ends an order that has timed out. It is unknown whether the order was applied, so a
// new read follows.
func (t *Table) expireOrder(now time.Time, r *upstreamRow) {
	if r.outstanding && now.Sub(r.sentAt) >= t.limits.Timeout {
		t.endOrder(now, r, Failed)
	}
}

// decide returns the decision on an upstream of this VM, and false if there is nothing to do.
func (t *Table) decide(now time.Time, r *upstreamRow, count map[string]int) (Decision, bool) {
	if r.upstream.Draining || r.outstanding || now.Before(r.backoffUntil) {
		return Decision{}, false
	}
	if !r.upstream.ChecksFencing {
		return t.reportOnce(r, ReasonNoFencing, State{}, event.OrderNoFencing)
	}
	if !r.read {
		return t.requestRead(now, r)
	}
	want, ok := t.plan.desired(r.upstream, r.current, count)
	if !ok || r.current.Equal(want) {
		r.reportedReason = ""
		return Decision{}, false
	}
	if now.Sub(r.readAt) >= t.limits.ReadValidity {
		return t.requestRead(now, r)
	}
	if r.current.loads(want) && !t.loads.take(now, t.limits.LoadsPerSecond, t.limits.LoadBurst) {
		return t.reportOnce(r, ReasonThrottled, want, event.OrderThrottled)
	}
	return t.issueOrder(now, r, ReasonIssue, want), true
}

// reportOnce returns and logs a decision without an order, once until its reason changes.
func (t *Table) reportOnce(r *upstreamRow, reason Reason, want State, e event.Event) (Decision, bool) {
	if r.reportedReason == reason {
		return Decision{}, false
	}
	r.reportedReason = reason
	e.Log(t.Log, "upstream", r.upstream.Name, "model", want.Model)
	return Decision{Upstream: r.upstream.Name, Reason: reason, From: r.current, To: want}, true
}

// requestRead returns the decision to read the upstream, unless the last request is too recent.
func (t *Table) requestRead(now time.Time, r *upstreamRow) (Decision, bool) {
	if !r.readRequestedAt.IsZero() && now.Sub(r.readRequestedAt) < t.limits.MinReadInterval {
		return Decision{}, false
	}
	r.readRequestedAt = now
	return Decision{Upstream: r.upstream.Name, Reason: ReasonRead, From: r.current}, true
}

// issueOrder creates an order with the fencing number that follows the last one read.
func (t *Table) issueOrder(now time.Time, r *upstreamRow, reason Reason, want State) Decision {
	if r.outstanding {
		event.FailInvariant(t.Log, event.BrokenOrderSecond, "upstream", r.upstream.Name)
	}
	t.lastOrderNumber++
	d := Decision{Upstream: r.upstream.Name, Reason: reason, From: r.current, To: want, FencingNumber: r.fence + 1, number: t.lastOrderNumber}
	if !r.read || !r.upstream.ChecksFencing {
		event.FailInvariant(t.Log, event.BrokenOrderFence, "upstream", r.upstream.Name, "fence", d.FencingNumber)
	}
	r.outstanding = true
	r.sentAt = now
	r.lastOrder = d
	r.reportedReason = ""
	event.OrderIssued.Log(t.Log, "upstream", d.Upstream, "reason", string(reason), "fence", d.FencingNumber,
		"model", want.Model, "version", want.Version, "adapters", strings.Join(want.Adapters, ","), "role", want.Role)
	return d
}

// RecordResult ends an order with its result. The result of an order that has timed out is ignored.
func (t *Table) RecordResult(now time.Time, d Decision, result Result) {
	r := t.rows[d.Upstream]
	if r == nil || !r.outstanding || r.lastOrder.number != d.number {
		return
	}
	t.endOrder(now, r, result)
}

// endOrder clears the outstanding order. The upstream must be read again before the next one.
func (t *Table) endOrder(now time.Time, r *upstreamRow, result Result) {
	order := r.lastOrder
	r.outstanding = false
	r.read = false
	r.readRequestedAt = time.Time{}
	r.orderEndedAt = now
	switch result {
	case Accepted:
		r.failures = 0
		r.current = order.To
		event.OrderAccepted.Log(t.Log, "upstream", order.Upstream, "fence", order.FencingNumber)
		return
	case StaleFence:
		event.OrderStale.Log(t.Log, "upstream", order.Upstream, "fence", order.FencingNumber)
	default:
		event.OrderFailed.Log(t.Log, "upstream", order.Upstream, "fence", order.FencingNumber)
	}
	r.failures++
	r.backoffUntil = now.Add(t.backoff(r.failures))
}

// backoff returns the delay after a number of consecutive failures.
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

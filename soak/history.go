package soak

import (
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"parsleyhatch/standin/faultyupstream"
	"parsleyhatch/standin/workload"
)

// request is a request as a caller sent it.
type request struct {
	id       string
	kind     requestKind
	key      string
	vm       string
	sentAt   time.Time
	deadline time.Duration
	// resumes is the id of the request that began the stream, empty if this one does, and lastEvent the last event that the
	// caller has of it.
	resumes   string
	lastEvent int
	// lastRun is the run of that event.
	lastRun workload.Run
	// stream is the id of the first attempt of a caller that resumes its stream until it is complete, empty for other callers.
	stream string
	// atOnce means that the body is sent at once, also if the load has slow ones: the caller would leave while it sends.
	atOnce bool
	// patience is the time without an answer or an event after which the caller gives up the attempt, zero for the deadline.
	patience time.Duration
}

// response is the response to a request as the caller received it.
type response struct {
	id         string
	receivedAt time.Time
	// sentWholeAt is the time at which the last byte of the request was sent, zero if it was not.
	sentWholeAt time.Time
	status      int
	// complete says that the body was read to its regular end.
	complete bool
	// verified says that the response has the stamp and the body that an upstream generates for this request.
	verified bool
	// events are the ids of the received events of a stream; lastEvent is the id of the last event that an upstream sends.
	events    []int
	lastEvent int
	// versions are the software versions of the upstreams that the events name, each once.
	versions []string
	// origins are their services and software versions together, each pair once.
	origins []string
	// services are the services that the events name, each once. foreign is the number of events that name another request, and
	// parts that of events that are not whole.
	services       []string
	foreign, parts int
	// runChanges are the changes of the run that made the events, the first run among them unless the caller has its events already.
	runChanges []runChange
	// retryAfter is the time after which the caller may send the request again.
	retryAfter time.Duration
	// abandoned means that the caller gave the attempt up.
	abandoned bool
	err       string
}

// Parts that a fault may disturb. A disturbed VM is identified by its name instead.
const (
	partStore     = "store"
	partUpstreams = "upstreams"
)

// partProcessOf is the part that stands for the process of a VM: it is disturbed while it is stopped, started or frozen.
func partProcessOf(vm string) string { return "process of " + vm }

// partLinksOf is the part that stands for the links of a VM to all upstreams.
func partLinksOf(vm string) string { return "links of " + vm }

// partLinkTo is the part that stands for the link to an upstream.
func partLinkTo(upstream string) string { return "link to " + upstream }

// disturbance is the time span in which a fault or planned work affects one part. end is zero while it lasts.
type disturbance struct {
	part       string
	planned    bool
	start, end time.Time
}

// history records requests, executions, responses and disturbances. It is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	requests     map[string]request
	executions   map[string][]faultyupstream.Execution
	responses    map[string]response
	disturbances []*disturbance
	// keyWithdrawnAt maps withdrawn keys to the time of their withdrawal.
	keyWithdrawnAt map[string]time.Time
	// keySuccessors maps withdrawn keys to the keys that the same version of the configuration adds.
	keySuccessors map[string]string
	// drainingSince maps draining upstreams to the time at which they were registered as draining.
	drainingSince map[string]time.Time
	// limitedArrivals are the requests that arrived at upstreams while they announced a rate limit, in the order of arrival.
	limitedArrivals []arrival
	// brittleTimes are the times in which upstreams are brittle.
	brittleTimes []*brittleTime
	// holdBacks are the refusals with Retry-After.
	holdBacks []holdBack
	// cuts are the times in which VMs are cut from all upstreams.
	cuts []*cut
	// arrivals are the requests that arrived at upstreams.
	arrivals []arrival
	// planned are the stops and reloads of VMs.
	planned []plannedWork
	// workspaces maps keys to their workspaces.
	workspaces map[string]string
	// regions maps VMs and upstreams to their regions.
	regions map[string]string
	// services maps upstreams to their services.
	services map[string]string
	// lateBodies are the bodies that upstreams read after they had refused their requests.
	lateBodies []lateBody
	// vmsByIP maps the IPs from which VMs reach upstreams to the VMs.
	vmsByIP map[string]string
	// serving are the times in which upstreams are registered as ready.
	serving []*servingTime
	// coldStarts are the starts of upstreams that are cold for a time.
	coldStarts []coldStart
	// splits are the splits of the route of streams.
	splits []splitTime
	// endedVMs are the VMs that don't run at the end of the run although no fault has removed them.
	endedVMs []string
}

func newHistory() *history {
	return &history{
		requests: map[string]request{}, executions: map[string][]faultyupstream.Execution{}, responses: map[string]response{},
		keyWithdrawnAt: map[string]time.Time{}, keySuccessors: map[string]string{}, drainingSince: map[string]time.Time{}, workspaces: map[string]string{}, regions: map[string]string{},
		vmsByIP: map[string]string{}, services: map[string]string{},
	}
}

func (h *history) recordRequest(r request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[r.id] = r
}

// recordExecution records the start of an execution. The returned function records its end.
func (h *history) recordExecution(e faultyupstream.Execution) (end func(brokeOff bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := len(h.executions[e.ID])
	h.executions[e.ID] = append(h.executions[e.ID], e)
	return func(brokeOff bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		ended := &h.executions[e.ID][index]
		ended.EndedAt, ended.BrokeOff = time.Now(), brokeOff
	}
}

func (h *history) recordResponse(r response) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses[r.id] = r
}

// record appends an item to one of the lists of the history.
func record[T any](h *history, list *[]T, item T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*list = append(*list, item)
}

// startDisturbance records the start of a fault at parts. The returned function records its end.
func (h *history) startDisturbance(parts ...string) (end func()) {
	return h.addDisturbances(parts, false)
}

// startPlannedDisturbance is startDisturbance for planned work.
func (h *history) startPlannedDisturbance(parts ...string) (end func()) {
	return h.addDisturbances(parts, true)
}

func (h *history) addDisturbances(parts []string, planned bool) (end func()) {
	var ends []func()
	for _, part := range parts {
		d := &disturbance{part: part, planned: planned}
		record(h, &h.disturbances, d)
		ends = append(ends, h.startSpan(&d.start, &d.end))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// startSpan records the start of a time span. The returned function records its end.
func (h *history) startSpan(start, end *time.Time) (finish func()) {
	set := func(at *time.Time) {
		h.mu.Lock()
		defer h.mu.Unlock()
		*at = time.Now()
	}
	set(start)
	return func() { set(end) }
}

// violation is a request that violates an invariant.
type violation struct {
	invariant string
	id        string
	detail    string
}

// String describes the violation.
func (v violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.invariant, v.id, v.detail)
}

// bounds are the limits that the invariants allow for changes, responses and recovery.
type bounds struct {
	// revoke is the longest time for which a withdrawn key works, drain the longest time for which a draining upstream
	// receives requests, and settle the time after a disturbance until the other bounds hold again.
	revoke, drain, settle time.Duration
	// rollback is the time after the first effect of a version of the configuration at a VM from which the VM may not obey an older one.
	rollback time.Duration
	// limitSettle is the time after the first announcement of a rate limit from which it holds. In each limitWindow an
	// upstream may get limitOverage times what the limit allows, and limitSlack requests.
	limitSettle, limitWindow time.Duration
	limitOverage             float64
	limitSlack               int
	// In each retryWindow the retries of all VMs may be retryRatio times the requests, and retrySlack more.
	retryWindow time.Duration
	retryRatio  float64
	retrySlack  int
	// From settle after VMs were cut from all upstreams, their callers are served at least cutServedShare times as often as the
	// others, or at most cutFailures and cutFailureShare times all first attempts fail there.
	cutFailures                     int
	cutServedShare, cutFailureShare float64
	lost                            lostBounds
	// From holdBackAfter after a refusal with Retry-After, an upstream may get holdBackRequests requests from the VM until the end
	// of that time.
	holdBackAfter    time.Duration
	holdBackRequests int
	// While the upstreams are brittle they may crash brittleCrashes times, and brittleCrashShare times their number more.
	brittleCrashes    int
	brittleCrashShare float64
	// resumeSettle is the time after a disturbance of a VM, and after the registration of an upstream, from which resumed streams go on.
	resumeSettle time.Duration
	// responseSlack is the time after the deadline within which the final response must arrive.
	responseSlack time.Duration
	// successRate is the least share of requests that must succeed after all faults have ended, and workspaceShare that of the requests of
	// a workspace below its share in relation to all requests.
	successRate, workspaceShare float64
	// routes are the bounds of each kind of request, and cold those of each service whose upstreams are cold after their start.
	routes map[requestKind]routeBounds
	cold   map[string]coldBounds
}

// checkFunc reports the requests that violate an invariant. The caller holds the history's mu.
type checkFunc func(h *history, b bounds, report reportFunc)

// reportFunc takes the id of a request, or a word for several, and a description.
type reportFunc func(id, format string, args ...any)

// violations returns what a check reports.
func (check checkFunc) violations(h *history, b bounds) []violation {
	var found []violation
	check(h, b, func(id, format string, args ...any) {
		found = append(found, violation{id: id, detail: fmt.Sprintf(format, args...)})
	})
	return found
}

// invariant is a rule that holds at all times. reference names the section of the documentation that states it.
type invariant struct {
	name      string
	reference string
	check     checkFunc
}

// invariants are the rules that a soak checks.
var invariants = []invariant{
	{"unsafe runs once", "RULES TWICE", checkUnsafeRunsOnce},
	{"requests run at few upstreams", "RULES BUDGET, max_attempts", checkRuns},
	{"requests run in home regions only", "RULES HOME", checkHomes},
	{"cold upstreams get few requests", "RULES FAILBACK", checkCold},
	{"refused has not run", "RULES REFUSED", checkRefusedNotRun},
	{"answers are whole and an upstream's", "RULES MIXED", checkResponses},
	{"streams have no gap and no repeat", "RULES ORDER", checkStreamEvents},
	{"streams hold events of one software version", "RULES ORDER", checkStreamVersions},
	{"streams hold complete events of one run", "RULES ORDER", checkStreamRuns},
	{"runs go on after the last event of the caller", "RULES ORDER", checkRunChanges},
	{"callers' streams hold events of one service and software version", "RULES ORDER", checkStreamOrigins},
	{"callers resume while their version serves", "RULES LOST", checkResumptions},
	{"upstreams get what callers sent", "RULES UNASKED", checkForwardedRequests},
	{"requests run at a service of their route", "RULES ROUTE", checkServices},
	{"refused requests keep their bodies", "RULES UNASKED, a replica may answer before it has read a long body", checkLateBodies},
	{"upstreams get nothing for callers that left", "RULES GONE", checkGone},
	{"withdrawn keys stop working", "RULES CONFIG, strict_revoke", checkWithdrawnKeys},
	{"vms obey no older configuration again", "RULES CONFIG, rollback_slack_ms", checkRollback},
	{"leaving upstreams get nothing new", "RULES DRAIN", checkDraining},
	{"upstreams that say that they leave get nothing new", "RULES DRAIN, Server-Leaving", checkLeaving},
	{"upstreams that want nothing get nothing", "RULES BUDGET, Retry-After", checkHoldBacks},
	{"vms that are cut from all upstreams serve", "RULES RECOVER", checkCuts},
	{"announced rate limits hold", "RULES LIMIT", checkRateLimits},
	{"brittle upstreams rarely crash", "RULES LIMIT, brittle", checkBrittle},
	{"retries of all VMs stay within the budget", "RULES BUDGET, retry_budget_ratio", checkRetryBudget},
	{"planned work loses no request", "RULES LOST, around planned work", checkPlannedWork},
	{"no workspace below its share is starved", "docs/design/hard-load.md, C", checkShares},
	{"vms that no fault ended live", "docs/design/hard-load.md, F", checkEndedVMs},
	{"each request gets an answer in time", "RULES CONFIG, timeout_ms", checkResponseTimes},
	{"service returns after faults", "RULES RECOVER", checkRecovery},
}

// check returns all violations, grouped by invariant.
func (h *history) check(b bounds) []violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []violation
	for _, inv := range invariants {
		found := inv.check.violations(h, b)
		sort.Slice(found, func(i, j int) bool { return found[i].id < found[j].id })
		for _, v := range found {
			v.invariant = inv.name
			all = append(all, v)
		}
	}
	return all
}

func checkUnsafeRunsOnce(h *history, _ bounds, report reportFunc) {
	for id, executions := range h.executions {
		if req, ok := h.requests[id]; ok && req.kind.runsOnce() && len(executions) > 1 {
			report(id, "ran %d times%s", len(executions), describeExecutions(executions))
		}
	}
}

func checkRefusedNotRun(h *history, _ bounds, report reportFunc) {
	for id, r := range h.responses {
		if (r.status == 429 || r.status == 503) && len(h.executions[id]) > 0 && h.requests[id].kind.runsOnce() {
			report(id, "answered %d although it ran", r.status)
		}
	}
}

func checkResponses(h *history, _ bounds, report reportFunc) {
	for id, r := range h.responses {
		if r.status == 200 && r.complete && !r.verified {
			report(id, "a success that no upstream gave")
		}
	}
}

func checkForwardedRequests(h *history, _ bounds, report reportFunc) {
	for id, executions := range h.executions {
		req, known := h.requests[id]
		for _, e := range executions {
			switch {
			case !known:
				report(id, "no caller sent it")
			case e.KeyPresent:
				report(id, "the key reached upstream %s", e.Upstream)
			case e.Workspace != h.workspaces[req.key]:
				report(id, "ran for workspace %s", e.Workspace)
			case !e.Unmodified:
				report(id, "method, path or body changed")
			}
		}
	}
}

func checkDraining(h *history, b bounds, report reportFunc) {
	for id, executions := range h.executions {
		for _, e := range executions {
			since, ok := h.drainingSince[e.Upstream]
			vm := h.requests[id].vm
			// Only VMs of the upstream's region send it requests.
			if !ok || h.regions[vm] != h.regions[e.Upstream] || !e.StartedAt.After(since.Add(b.drain)) {
				continue
			}
			if !h.disturbedBetween(since.Add(-b.settle), e.StartedAt, vm, partStore) {
				report(id, "reached upstream %s %v after it said that it leaves", e.Upstream, e.StartedAt.Sub(since))
			}
		}
	}
}

// checkRateLimits checks the limit of each upstream from limitSettle after its first announcement. While the link to the upstream
// is disturbed, no VM may learn of the limit.
func checkRateLimits(h *history, b bounds, report reportFunc) {
	byUpstream := map[string][]arrival{}
	for _, a := range h.limitedArrivals {
		list := byUpstream[a.upstream]
		if len(list) > 0 && list[len(list)-1].limit != a.limit {
			list = nil // Another limit, which is checked by itself.
		}
		byUpstream[a.upstream] = append(list, a)
	}
	for upstream, arrivals := range byUpstream {
		from := arrivals[0].at
		for _, d := range h.disturbances {
			if d.part == partLinkTo(upstream) && d.end.After(from) {
				from = d.end
			}
		}
		allowed := int(b.limitOverage*arrivals[0].limit*b.limitWindow.Seconds()) + b.limitSlack
		if most := mostInWindow(arrivals, from.Add(b.limitSettle), b.limitWindow); most > allowed {
			report("many", "%d reached upstream %s in %v at a limit of %v a second, allowed %d", most, upstream, b.limitWindow, arrivals[0].limit, allowed)
		}
	}
}

// mostInWindow returns the largest number of arrivals after a time in one window.
func mostInWindow(arrivals []arrival, from time.Time, window time.Duration) int {
	first, most := 0, 0
	for i, a := range arrivals {
		for first < i && (arrivals[first].at.Before(from) || a.at.Sub(arrivals[first].at) > window) {
			first++
		}
		if !a.at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func checkResponseTimes(h *history, b bounds, report reportFunc) {
	for id, req := range h.requests {
		deadline := req.sentAt.Add(req.deadline + b.responseSlack)
		got, ok := h.responses[id]
		if ok && (got.status != 0 || got.abandoned) && !got.receivedAt.After(deadline) || h.disturbedBetween(req.sentAt.Add(-b.settle), deadline, req.vm) {
			continue
		}
		report(id, "no answer in time: %s", got.err)
	}
}

// disturbedBetween reports whether one of the parts was disturbed at any time between from and to.
func (h *history) disturbedBetween(from, to time.Time, parts ...string) bool {
	return slices.ContainsFunc(h.disturbances, func(d *disturbance) bool { return slices.Contains(parts, d.part) && d.overlaps(from, to) })
}

func (d *disturbance) overlaps(from, to time.Time) bool {
	return d.start.Before(to) && (d.end.IsZero() || d.end.After(from))
}

// lastDisturbanceEnd returns the end of the last disturbance, or the zero time if none has ended.
func (h *history) lastDisturbanceEnd() time.Time {
	var at time.Time
	for _, d := range h.disturbances {
		if d.end.After(at) {
			at = d.end
		}
	}
	return at
}

func checkRecovery(h *history, b bounds, report reportFunc) {
	lastEnd := h.lastDisturbanceEnd()
	var after servedCount
	for id, req := range h.requests {
		if _, withdrawn := h.keyWithdrawnAt[req.key]; withdrawn || lastEnd.IsZero() || req.sentAt.Before(lastEnd.Add(b.settle)) {
			continue
		}
		after.add(h.responses[id])
	}
	if after.sent > 0 && after.share() < b.successRate {
		report("all", "%v requests succeed after all faults have ended", after)
	}
}

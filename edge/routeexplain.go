package edge

import (
	"net/http"
	"time"

	"parsleyhatch/place"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/vmwire"
)

// RouteExplanation is the answer to a RouteQuery: where the request would be sent now, and the figures on which that depends.
type RouteExplanation struct {
	Decision RouteDecision `json:"decision"`
	// VM is the VM that would decide, and Region its region.
	VM     string `json:"vm"`
	Region string `json:"region"`
	// Config is the version of the configuration in force.
	Config        uint64 `json:"config"`
	KeysAgeMillis int64  `json:"keysAgeMillis"`

	Route     *ExplainedRoute `json:"route,omitempty"`
	Workspace string          `json:"workspace,omitempty"`
	Service   string          `json:"service,omitempty"`
	// Rank is the urgency from 0, the most urgent.
	Rank int `json:"rank"`
	// Charge is what the quota of the workspace is charged, in tokens or requests.
	Charge int64 `json:"charge"`
	// WithinShare is set if the workspace asks for no more than its share of the service.
	WithinShare bool `json:"withinShare"`
	// MaxWaitMillis is the expected time to the first answer above which the request is refused.
	MaxWaitMillis int64 `json:"maxWaitMillis"`
	// HomeRegion is the region of requests with the same shared prompt parts, empty if there is none.
	HomeRegion string `json:"homeRegion,omitempty"`

	Regions   []ExplainedRegion   `json:"regions"`
	Upstreams []ExplainedUpstream `json:"upstreams"`
}

// Actions of a RouteDecision.
const (
	actionSend = "send"
	// actionForward means that a VM of another region gets the request, and actionThroughOthers one of this region, since this VM cannot
	// reach the upstreams.
	actionForward       = "forward"
	actionThroughOthers = "forwardInRegion"
	// actionWait means that the request waits at this VM for room, and is refused if there is none in time.
	actionWait   = "wait"
	actionRefuse = "refuse"
)

// RouteDecision is what would happen to a request now.
type RouteDecision struct {
	Action string `json:"action"`
	// Destination is the upstream or the region.
	Destination    string `json:"destination,omitempty"`
	ExpectedMillis int64  `json:"expectedMillis"`
	// WaitMillis is the longest time for which the request would wait for room.
	WaitMillis int64 `json:"waitMillis,omitempty"`
	// Reason, Status, Detail and RetryAfterMillis describe a refusal, also that at the end of a wait. RetryAfterMillis is zero if the caller
	// would get no retry time. It includes a random part, and is not the promised retry time that a caller of this VM may get instead.
	Reason           string `json:"reason,omitempty"`
	Status           int    `json:"status,omitempty"`
	Detail           string `json:"detail,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name                string           `json:"name"`
	TimeoutMillis       int64            `json:"timeoutMillis"`
	TargetLatencyMillis int64            `json:"targetLatencyMillis"`
	Split               []ExplainedShare `json:"split"`
}

// ExplainedShare is a service with its weight in the split of a route.
type ExplainedShare struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ExplainedRegion is a region with its figures, or the reason why the request would not go there.
type ExplainedRegion struct {
	Name     string `json:"name"`
	Excluded string `json:"excluded,omitempty"`
	*RegionFigures
}

// RegionFigures are the figures of a region that are compared.
type RegionFigures struct {
	// WaitMillis is the expected time to the first answer, and CostMillis the same with penalties. QueuedMillis is the part of it for work
	// that was sent to another region since its report.
	WaitMillis   int64 `json:"waitMillis"`
	QueuedMillis int64 `json:"queuedMillis"`
	CostMillis   int64 `json:"costMillis"`
	// ReportAgeMillis is the age of the report of another region, absent for this one.
	ReportAgeMillis *int64 `json:"reportAgeMillis,omitempty"`
}

// ExplainedUpstream is an upstream of this region with its figures, or the reason why it may not get the request.
type ExplainedUpstream struct {
	ID          string `json:"id"`
	Excluded    string `json:"excluded,omitempty"`
	FirstMillis int64  `json:"firstMillis"`
	CostMillis  int64  `json:"costMillis"`
	Slots       int    `json:"slots"`
	Running     int    `json:"running"`
	ReadTokens  int64  `json:"readTokens"`
	AheadTokens int64  `json:"aheadTokens"`
	HeldTokens  int64  `json:"heldTokens"`
	// GapMillis is the time between two events of a stream, and Speed the number of prompt tokens read in a millisecond.
	GapMillis int64   `json:"gapMillis"`
	Speed     float64 `json:"speed"`
	// Limit is what keeps the upstream from taking the request, empty if nothing does.
	Limit           string  `json:"limit,omitempty"`
	Slowness        float64 `json:"slowness"`
	FailureShare    float64 `json:"failureShare"`
	Cold            bool    `json:"cold"`
	HasSharedPrompt bool    `json:"hasSharedPrompt"`
	// OthersAgeMillis is the age of the oldest report of another VM in Running and the token counts, absent if none counts.
	OthersAgeMillis *int64 `json:"othersAgeMillis,omitempty"`
}

// explainRoute answers a query with the decisions that requests take. It sends and counts nothing.
func (e *Edge) explainRoute(q RouteQuery) (*RouteExplanation, error) {
	r, err := q.request()
	if err != nil {
		return nil, err
	}
	now, t := e.Now(), e.table()
	x := &RouteExplanation{
		VM: e.Settings.Name, Region: e.Settings.Region, KeysAgeMillis: int64(vmwire.AgeOf(now, e.Watcher.FreshAt())),
		Regions: []ExplainedRegion{}, Upstreams: []ExplainedUpstream{},
	}
	out, ok := e.mayAdmit(now, t)
	if t != nil {
		x.Config = t.Config.Version
	}
	if ok {
		out, ok = e.findRoute(now, t, r, q.Path)
	}
	if !ok {
		x.Decision = refusalOf(out)
		return x, nil
	}
	if err := q.describe(t, r); err != nil {
		return nil, err
	}
	x.addRequest(r)
	if r.service == nil {
		x.Decision = refusalOf(refuse(NoUpstream, noServiceDetail, defaultRetryAfter))
		return x, nil
	}
	r.withinShare = e.Shares.IsWithin(now, r.shareKey())
	x.WithinShare = r.withinShare
	x.Decision = e.explainDecision(now, r)
	x.HomeRegion, x.MaxWaitMillis = e.affinityRegion(r), e.maxExpectedWait(now, r).Milliseconds()
	x.Regions, x.Upstreams = e.explainRegions(now, r), e.explainUpstreams(now, r)
	return x, nil
}

// describe sets what admission sets of a request.
func (q *RouteQuery) describe(t *route.Table, r *request) error {
	if err := q.setWorkspace(t, r); err != nil {
		return err
	}
	if err := setService(t, r, q.Service); err != nil {
		return err
	}
	r.setDeadline()
	prompt, err := replica.ParsePrompt(q.PromptPrefix, q.TokenUsage)
	if err != nil {
		return &queryError{http.StatusBadRequest, "the prompt parts or token counts are malformed"}
	}
	r.prompt = prompt
	return nil
}

// addRequest adds what the configuration makes of the request.
func (x *RouteExplanation) addRequest(r *request) {
	x.Workspace, x.Rank = r.workspaceName(), r.rank()
	if r.service != nil {
		x.Service = r.service.Name
	}
	if r.workspace != nil {
		x.Charge = r.charge()
	}
	x.Route = &ExplainedRoute{
		Name: r.route.Name, TimeoutMillis: r.route.Timeout.Milliseconds(), TargetLatencyMillis: r.route.TargetLatency.Milliseconds(),
	}
	for _, target := range r.route.Split {
		x.Route.Split = append(x.Route.Split, ExplainedShare(target))
	}
}

// explainDecision returns what admission and the first attempt would decide. Unlike them it charges nothing, picks no upstream, and starts no
// probe of a quarantined prompt part.
func (e *Edge) explainDecision(now time.Time, r *request) RouteDecision {
	if len(e.quarantinedParts(r)) > 0 {
		return refusalOf(refuse(Quarantined, partQuarantinedDetail, 0))
	}
	if r.workspace != nil {
		if ok, wait := e.Quota.Room(now, r.workspace.Name, r.charge()); !ok {
			return refusalOf(refuse(RateLimited, "the workspace is over its rate", wait))
		}
	}
	region, out := e.chooseRegion(now, r)
	switch {
	case out.Reason == Overloaded && e.mayWait(now, r):
		d := refusalOf(out)
		d.Action, d.WaitMillis = actionWait, e.waitLeft(r).Milliseconds()
		return d
	case region == "":
		return refusalOf(e.delayReturn(now, r, out))
	case !e.mayStart(now, r, r.expectedWait):
		return refusalOf(refuseLeaving(leavingRetryAfter))
	case region != e.Settings.Region:
		return RouteDecision{Action: actionForward, Destination: region, ExpectedMillis: r.expectedWait.Milliseconds()}
	case r.throughOthers:
		return RouteDecision{Action: actionThroughOthers, Destination: region, ExpectedMillis: r.expectedWait.Milliseconds()}
	}
	pick, ok := e.Replicas.Estimate(now, e.replicaRequest(r))
	if !ok {
		return refusalOf(e.delayReturn(now, r, refuse(NoUpstream, e.noRegion(now, r), defaultRetryAfter)))
	}
	return RouteDecision{Action: actionSend, Destination: pick.ID, ExpectedMillis: pick.Cost.Milliseconds()}
}

func refusalOf(out Outcome) RouteDecision {
	return RouteDecision{
		Action: actionRefuse, Reason: string(out.Reason), Status: out.Status, Detail: out.Detail, RetryAfterMillis: out.RetryAfter.Milliseconds(),
	}
}

// explainRegions returns all regions, with the figures of those that are candidates.
func (e *Edge) explainRegions(now time.Time, r *request) []ExplainedRegion {
	candidates := map[string]place.Region{}
	for _, region := range e.candidateRegions(now, r) {
		candidates[region.Name] = region
	}
	ready, q := e.Fleet.Regions(now), e.placeRequest(r)
	list := []ExplainedRegion{}
	for _, name := range e.regionNames() {
		x := ExplainedRegion{Name: name}
		region, found := candidates[name]
		switch {
		case found:
			c := place.Weigh(region, q)
			x.RegionFigures = &RegionFigures{
				WaitMillis: c.Wait.Milliseconds(), QueuedMillis: region.Queued.Milliseconds(), CostMillis: c.Cost.Milliseconds(),
				ReportAgeMillis: e.reportAge(now, r, region),
			}
		case !route.Allowed(r.route, r.workspace, name):
			x.Excluded = "not allowed"
		case name == e.Settings.Region:
			x.Excluded = "without a usable upstream"
		default:
			x.Excluded = e.regionExclusion(r, name, ready)
		}
		list = append(list, x)
	}
	return list
}

// reportAge returns the age of the report of another region, nil for this one.
func (e *Edge) reportAge(now time.Time, r *request, region place.Region) *int64 {
	if region.Local {
		return nil
	}
	_, at, ok := e.waitReports(now, r.service.Name)(now, region.Name, r.service.Name, r.rank())
	return ageMillis(now.Sub(at), ok)
}

// explainUpstreams returns the upstreams of this region, if the request may run here.
func (e *Edge) explainUpstreams(now time.Time, r *request) []ExplainedUpstream {
	list := []ExplainedUpstream{}
	if !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return list
	}
	q := e.replicaRequest(r)
	q.ThroughOthers = r.throughOthers
	for _, w := range e.Replicas.Weigh(now, q) {
		in := w.LoadInputs
		list = append(list, ExplainedUpstream{
			ID: w.ID, Excluded: string(w.Excluded), FirstMillis: w.FirstToken.Milliseconds(), CostMillis: w.Cost.Milliseconds(), Slots: w.Slots,
			Running: in.Running, ReadTokens: in.UncachedTokens, AheadTokens: in.TokensAhead, HeldTokens: in.Held,
			GapMillis: in.Figures.Gap.Milliseconds(), Speed: roundHundredths(in.Figures.Speed), Limit: string(w.Limit),
			Slowness: roundHundredths(in.Slowness), FailureShare: roundHundredths(in.Failures), Cold: w.Cold, HasSharedPrompt: w.Preferred,
			OthersAgeMillis: ageMillis(w.OthersAge, w.OthersKnown),
		})
	}
	return list
}

func ageMillis(age time.Duration, known bool) *int64 {
	if !known {
		return nil
	}
	ms := age.Milliseconds()
	return &ms
}

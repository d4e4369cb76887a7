package edge

import (
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/fleet"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/vmwire"
)

// recordPressure records the first decision of an attempt at a request that does not yield and may run in this region, whether or not the request is
// then queued. Requests beyond the share of their workspace do not count: less urgent requests of others need not make room for them.
func (e *Edge) recordPressure(now time.Time, r *request, out Outcome) {
	if r.service.Engine == nil || !r.withinShare || e.isLessUrgent(r.service.Name, r.route) || !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return
	}
	refused := out.Reason == Overloaded
	if refused && !e.wouldFitIdle(now, r) {
		return
	}
	e.pressures.Record(now, r.service.Name, refused)
}

// wouldFitIdle reports whether an idle upstream would answer a request within its objective and its deadline. If not, other
// requests are not the cause of its refusal.
func (e *Edge) wouldFitIdle(now time.Time, r *request) bool {
	idle := e.Replicas.IdleFirstTokenTime(now, r.service.Name, r.prompt, r.rank())
	return idle <= r.route.TargetLatency && r.remaining(time.Now()) >= r.route.TargetLatency
}

// collectPressures applies the shares that other VMs report. The refusals of another region count only if its urgent requests may run here:
// otherwise they cannot use the capacity that less urgent requests leave.
func (e *Edge) collectPressures(now time.Time) {
	t := e.table()
	if t == nil {
		return
	}
	others := map[string]float64{}
	for _, region := range append(e.Fleet.Regions(now), e.Settings.Region) {
		for service, share := range meanPressures(e.Fleet.ReadyMembers(now, region)) {
			if e.urgentMayRunHere(t, service) {
				others[service] = max(others[service], share)
			}
		}
	}
	e.pressures.SetOthers(others)
}

// meanPressures returns the means of the VMs' shares, weighted by their capacities. A VM that does not report its capacity has the least weight.
func meanPressures(members []fleet.Member) map[string]float64 {
	reports := make([]contention.WeightedShares, 0, len(members))
	for _, m := range members {
		reports = append(reports, contention.WeightedShares{Weight: float64(max(1, m.Weight)), Shares: m.Pressures})
	}
	return contention.MeanShares(reports)
}

// fillPressures adds this VM's own shares to a presence.
func (e *Edge) fillPressures(now time.Time, p *vmwire.Presence) {
	for _, r := range e.pressures.Report(now) {
		p.Pressures = append(p.Pressures, vmwire.ServicePressure{Service: r.Service, Percent: r.Percent})
	}
}

// urgentMayRunHere reports whether the most urgent streams of a service may run in this region.
func (e *Edge) urgentMayRunHere(t *route.Table, service string) bool {
	r := t.StreamingRoute(service, t.MostUrgent(service))
	return r != nil && route.Allowed(r, nil, e.Settings.Region)
}

// isLessUrgent reports whether a route leaves room for the most urgent ones of a service. The priority of a workspace does not count here: it orders
// requests at the engines, while a workspace with a high priority must not take the room of all others with its least urgent work.
func (e *Edge) isLessUrgent(service string, r *route.Route) bool {
	t := e.table()
	return t != nil && contention.Yields(routeRank(r), replica.Rank(t.MostUrgent(service)))
}

// routeRank returns the rank of a route, whatever the workspace.
func routeRank(r *route.Route) int { return replica.Rank(r.Priority) }

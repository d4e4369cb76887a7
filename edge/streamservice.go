package edge

import (
	"time"

	"parsleyhatch/event"
	"parsleyhatch/platform"
	"parsleyhatch/route"
	"parsleyhatch/vmwire"
)

// A stream belongs to the service that began it: no other service can continue it. Whoever resumes it runs it there or refuses it.

// noServiceDetail explains the refusal of a request whose service the configuration does not define.
const noServiceDetail = "the route has no service"

// chooseService sets the service of a request. A forwarded one keeps the service that the first VM has chosen, if the configuration of
// this VM allows it.
func (e *Edge) chooseService(t *route.Table, r *request) (Outcome, bool) {
	r.service = t.Target(r.route, r.splitKey())
	if r.service == nil {
		return refuse(NoUpstream, noServiceDetail, defaultRetryAfter), false
	}
	if r.chosenService == "" || e.keepService(t, r, r.chosenService) {
		return Outcome{}, true
	}
	if r.headSent || r.streamVersion.bound {
		return e.refuseService(r, r.chosenService, streamAnswer{}, "the route no longer has the service that began the stream"), false
	}
	return Outcome{}, true
}

// keepService sets the service of a request to the given one, if the configuration allows it.
func (e *Edge) keepService(t *route.Table, r *request, name string) bool {
	service := t.Service(name)
	if service == nil || !r.route.Allows(name) {
		return false
	}
	r.service = service
	return true
}

// refuseService refuses a stream that cannot go on at the service that began it, which is empty if it is unknown. The answer is that of the
// other VMs, if they were asked.
func (e *Edge) refuseService(r *request, began string, a streamAnswer, detail string) Outcome {
	e.Metrics.AddCounter("streams_service_unknown", 1)
	event.StreamServiceUnknown.Log(e.Log, "request", r.id, "resumes", r.header.Get(platform.HeaderResumes), "route", r.route.Name,
		"service", began, "selected", r.service.Name, "forwarded", r.forwarded, "asked", a.asked, "replies", a.replies, "unknown", a.unknown,
		"missesSessions", e.Fleet.MissesSessions(e.Now()))
	return refuse(VersionUnknown, detail, defaultRetryAfter)
}

// adoptService sets the service of a request to the one at which another VM runs it. It differs if the configuration of the other VM is
// newer and does not allow the service that this VM has chosen.
func (e *Edge) adoptService(r *request, name string) {
	if name == "" || name == r.service.Name {
		return
	}
	r.service = e.service(name)
	if r.service == nil {
		r.service = &route.Service{Name: name}
	}
}

// targetsSince returns the earliest time at which the service of a stream that a caller resumes may have been chosen: another VM may
// have had an older configuration for a while.
func (e *Edge) targetsSince(now time.Time, r *request) time.Time {
	return e.startedSince(now, earliestStart(now, r.route), r.host, r.path).Add(-e.maxStateAge())
}

// startedSince returns the earliest time at which a stream that a caller resumes may have started: at start under the present configuration, or
// before that under an earlier one that gave streams more time.
func (e *Edge) startedSince(now, start time.Time, host, path string) time.Time {
	t := e.table()
	if t == nil {
		return start
	}
	for _, r := range t.Earlier(host, path) {
		if s := earliestStart(now, r.Route); !r.Until.Before(s.Add(-e.maxStateAge())) {
			start = earlier(start, s)
		}
	}
	return start
}

// serviceCertain reports whether a stream that no VM knows can have begun at the chosen service only: all configurations since its
// earliest start have chosen it, at this VM and at those that were asked.
func (e *Edge) serviceCertain(now time.Time, r *request, a streamAnswer) bool {
	targets, known := e.possibleTargets(e.targetsSince(now, r), r.host, r.path, r.splitKey())
	for _, target := range append(targets, a.targets...) {
		if target != r.service.Name {
			return false
		}
	}
	return known || a.targetsKnown
}

// addTargets adds the services that the configurations of this VM have chosen to the reply to a question for a stream.
func (e *Edge) addTargets(now time.Time, m *vmwire.StreamQuery, reply *vmwire.StreamReply) {
	// The VM that asks may not know the earlier configurations.
	since := earlier(m.TargetsAge.Moment(now), e.startedSince(now, now, m.Host, m.Path).Add(-e.maxStateAge()))
	reply.Targets, reply.TargetsKnown = e.possibleTargets(since, m.Host, m.Path, m.Key)
}

// possibleTargets returns the services at which a resumable stream may have begun since a time, as far as this VM knows. known is set if it
// knows all configurations since then.
func (e *Edge) possibleTargets(since time.Time, host, path, key string) (services []string, known bool) {
	t := e.table()
	if t == nil {
		return nil, false
	}
	services, known = t.TargetsSince(since, host, path, key)
	r := t.Match(host, path)
	if r == nil || time.Unix(0, e.otherProtocolAt.Load()).Before(since) {
		return services, known
	}
	// VMs with another protocol may choose services by another key, and cannot be asked.
	for _, target := range r.Split {
		services = append(services, target.Service)
	}
	return services, known
}

// recordOtherProtocol records that there is a VM that speaks another protocol, as while VMs are replaced by those of another program.
func (e *Edge) recordOtherProtocol(uint32) { e.otherProtocolAt.Store(e.Now().UnixNano()) }

package edge

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/fleet"
	"parsleyhatch/platform"
	"parsleyhatch/route"
	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// streamQueryTimeout bounds a query to other VMs for the version of a stream. It exceeds a round trip between regions.
	streamQueryTimeout = 250 * time.Millisecond
	// sessionWait bounds the time for which a resumed stream waits for sessions with more VMs: one of them may know its version, or reach
	// upstreams of it. After a reset of all connections, or a restart of other VMs, sessions are established again within this time.
	sessionWait = time.Second
	// streamQueryInterval is the longest time between two queries for a stream that waits.
	streamQueryInterval = 400 * time.Millisecond
	// sessionPoll is the interval at which a stream that waits for upstreams looks for them.
	sessionPoll = 50 * time.Millisecond
	// maxVersionsAge is the age, in timeouts of a watch, up to which the known registrations show all versions. A watch without changes
	// confirms them once in its timeout, and the rest is for the delay of the answer.
	maxVersionsAge = 1.5
	// maxStreamQueries is the maximum number of VMs of this region to which a query is sent.
	maxStreamQueries = 8
)

// streamQueries holds the queries for versions of streams that wait for replies, by id.
type streamQueries struct {
	mu      sync.Mutex
	last    uint64
	pending map[uint64]chan peerReply
	// changed is closed when another query may return more. It is nil if nobody waits for it.
	changed chan struct{}
}

// peerReply is a reply with the VM that sent it.
type peerReply struct {
	peer vm.Identity
	vmwire.StreamReply
}

// nextChange returns a channel that is closed when the next session opens, or the history in the store has been read.
func (q *streamQueries) nextChange() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.changed == nil {
		q.changed = make(chan struct{})
	}
	return q.changed
}

// wake ends the waits on the channel of nextChange.
func (q *streamQueries) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.changed != nil {
		close(q.changed)
		q.changed = nil
	}
}

// bindResumed binds a stream that a caller resumes to the service and the version that started it. It returns a refusal and false if no VM
// knows the stream and more than one service or version may have started it. While sessions are missing, it waits for them up to sessionWait.
func (e *Edge) bindResumed(ctx context.Context, r *request) (Outcome, bool) {
	if r.lastEvent == "" || !r.route.Resumable {
		return Outcome{}, true
	}
	r.resumedByCaller = true
	ctx, cancel := context.WithTimeout(ctx, sessionWait)
	defer cancel()
	id, selected := r.header.Get(platform.HeaderResumes), r.service.Name
	found, answer := e.findStream(ctx, r, id)
	switch {
	case found.Service == "" && !e.serviceCertain(e.Now(), r, answer):
		return e.refuseService(r, "", answer, "no vm knows the service that began the stream"), false
	case found.Service == "" || found.Version == version.Uncertain:
		event.StreamVersionUnknown.Log(e.Log, "request", r.id, "resumes", id, "service", r.service.Name, "asked", answer.asked,
			"replies", answer.replies, "unknown", answer.unknown, "missesSessions", e.Fleet.MissesSessions(e.Now()),
			"versionsConfirmed", e.versionsConfirmed(e.Now(), answer))
		return refuse(VersionUnknown, "no vm knows the version of the upstream that began the stream", defaultRetryAfter), false
	case !e.keepService(e.table(), r, found.Service):
		return e.refuseService(r, found.Service, answer, "the route no longer has the service that began the stream"), false
	}
	if r.service.Name != selected {
		event.StreamServiceKept.Log(e.Log, "request", r.id, "resumes", id, "route", r.route.Name, "service", r.service.Name, "selected", selected)
	}
	r.streamVersion = streamVersion{bound: true, version: found.Version, source: answer.source}
	e.Metrics.AddCounter("streams_bound_"+string(answer.source), 1)
	if id != "" {
		e.Streams.Begin(e.Now(), id, found)
	}
	e.awaitUpstream(ctx, r)
	return Outcome{}, true
}

// awaitUpstream waits until a stream has a usable upstream of its version, or ctx ends, if sessions are missing: there may be one in
// a region with which none is open.
func (e *Edge) awaitUpstream(ctx context.Context, r *request) {
	missing := e.Fleet.MissesSessions(e.Now())
	for missing {
		if _, out := e.chooseRegion(e.Now(), r); out.Reason != NoUpstream {
			return
		}
		select {
		case <-time.After(sessionPoll):
		case <-ctx.Done():
			return
		}
	}
}

// versionSource is the source of the version of a stream that a caller resumes, as written to logs and metrics.
type versionSource string

const (
	// fromTable and fromForwarded are streams that this VM started or forwarded.
	fromTable     versionSource = "table"
	fromForwarded versionSource = "forwarded"
	// fromOtherVM is a stream that another VM knew.
	fromOtherVM versionSource = "vm"
	// fromRegistrations means that only one version has served, according to the registrations and, before the VM's start, the history
	// of the store or another VM.
	fromRegistrations versionSource = "registrations"
	// fromOrigins means that all streams of the same content started at one version.
	fromOrigins versionSource = "origins"
)

// streamAnswer combines the replies of other VMs to a query for a stream.
type streamAnswer struct {
	// source is set if the stream is known.
	source versionSource
	// found is the stream, if a VM knew it.
	found version.Stream
	ok    bool
	// asked is the number of VMs to which the query was sent, and replies the number of those that replied.
	asked, replies int
	// targets are the services that configurations of VMs that replied have chosen since the earliest start of the stream, and targetsKnown is
	// set if one of these VMs knows all configurations since then.
	targets      []string
	targetsKnown bool
	// knownAt is the time up to which all versions are known to this VM or to one that replied.
	knownAt time.Time
	// origins are those of streams of equal requests, if the caller has not named the stream, and unknown is the reason for which they do not
	// say where the stream began.
	origins originAnswer
	unknown string
}

// findStream returns the stream that an attempt of a caller started, or a zero Stream. If no VM knows the attempt, the stream has the only
// service that can have started it, and the only version that has served, if there was only one. Other VMs are asked first, since this one
// may not know a new version yet. They are asked again while sessions are missing, the history is being read or the registrations are too
// old.
func (e *Edge) findStream(ctx context.Context, r *request, id string) (version.Stream, streamAnswer) {
	if id != "" {
		if found, ok := e.Streams.Find(e.Now(), id); ok {
			return found, streamAnswer{source: fromTable}
		}
	}
	for {
		changed := e.queries.nextChange()
		answer := e.askStream(ctx, r, id)
		if answer.ok {
			answer.source = fromOtherVM
			return answer.found, answer
		}
		now := e.Now()
		if found, ok := e.Streams.FindForwarded(now, id); ok && answer.replies == answer.asked && !e.Fleet.MissesSessions(now) {
			answer.source = fromForwarded
			return found, answer
		}
		since := e.startedSince(now, earliestStart(now, r.route), r.host, r.path)
		only, single := e.Watcher.Versions.Only(r.service.Name, since, id != "")
		if single && e.versionsConfirmed(now, answer) && e.serviceCertain(now, r, answer) {
			answer.source = fromRegistrations
			return version.Stream{Service: r.service.Name, Version: only}, answer
		}
		origin, unknown := e.onlyStreamOrigin(now, r, &answer)
		if unknown == "" {
			answer.source = fromOrigins
			return origin, answer
		}
		answer.unknown = unknown
		if !e.Fleet.MissesSessions(now) && !e.Watcher.ReadsPast() && !e.versionsStale(now, answer) {
			return version.Stream{}, answer
		}
		select {
		case <-changed:
		case <-time.After(streamQueryInterval): // The earliest possible start moves on with time, into the known history.
		case <-ctx.Done():
			return version.Stream{}, answer
		}
	}
}

// askStream asks other VMs for the service and the version of a stream, until one has it. The versions that they know are added to what
// this VM knows.
func (e *Edge) askStream(ctx context.Context, r *request, id string) streamAnswer {
	now := e.Now()
	replies := make(chan peerReply, maxStreamReplies)
	e.queries.mu.Lock()
	e.queries.last++
	query := &vmwire.StreamQuery{
		ID: e.queries.last, RequestID: id, Service: r.service.Name, Host: r.host, Path: r.path, Key: r.splitKey(),
		TargetsAge: vmwire.AgeOf(now, e.targetsSince(now, r)), StartAge: vmwire.UnknownAge,
	}
	e.queries.pending[query.ID] = replies
	e.queries.mu.Unlock()
	defer func() {
		e.queries.mu.Lock()
		defer e.queries.mu.Unlock()
		delete(e.queries.pending, query.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	a := streamAnswer{knownAt: e.Watcher.FreshAt()}
	if id != "" || !e.sendOriginQuery(now, r, query, &a) {
		a.asked = e.sendStreamQuery(query)
	}
	for a.replies < a.asked && !a.ok {
		select {
		case <-ctx.Done():
			return a
		case reply := <-replies:
			a.replies++
			a.knownAt = latest(a.knownAt, e.mergeReply(r.service.Name, reply.StreamReply))
			a.origins.add(reply.peer, &reply.StreamReply)
			a.targets, a.targetsKnown = append(a.targets, reply.Targets...), a.targetsKnown || reply.TargetsKnown
			a.found, a.ok = version.Stream{Service: reply.Service, Version: reply.Version}, reply.Found
		}
	}
	return a
}

// versionsConfirmed reports whether all versions are known after other VMs were asked. If none replied although there are others, this
// VM may be cut off.
func (e *Edge) versionsConfirmed(now time.Time, a streamAnswer) bool {
	if e.versionsStale(now, a) {
		return false
	}
	return a.replies > 0 || !e.Fleet.SeenSince(now.Add(-e.maxStateAge()))
}

// versionsStale reports whether the latest known registrations are so old that a stream may have started at a later version. VMs that are cut
// off from the store together reply to each other, and serve requests until their keys are too old.
func (e *Edge) versionsStale(now time.Time, a streamAnswer) bool {
	return a.knownAt.IsZero() || now.Sub(a.knownAt) > time.Duration(maxVersionsAge*float64(e.Watcher.WatchTimeout))
}

// sendStreamQuery sends a query to the VMs of this region that keep the stream if they know it, and to those of other regions with
// which this one has sessions. It returns their number.
func (e *Edge) sendStreamQuery(query *vmwire.StreamQuery) int {
	asked := e.Fleet.SendToOtherRegions(vmwire.KindStreamQuery, query)
	now, region := e.Now(), e.Settings.Region
	local := append(e.Fleet.ConnectedMembers(now, region), e.Fleet.StoppingMembers(now, region)...)
	for _, m := range longestRunning(local, query.RequestID) {
		if e.Fleet.SendTo(m.Slot, vmwire.KindStreamQuery, query) {
			asked++
		}
	}
	return asked
}

// longestRunning returns up to maxStreamQueries of the VMs that keep a stream if they ran when it started: those that have run longest.
func longestRunning(members []fleet.Member, id string) []fleet.Member {
	holders := byAge(rendezvousOrder(members, id, memberSlot, maxLocalHolders))
	return holders[:min(maxStreamQueries, len(holders))]
}

// mergeReply adds the versions that another VM knows, and returns the time up to which it knows them.
func (e *Edge) mergeReply(service string, reply vmwire.StreamReply) time.Time {
	now := e.Now()
	k := version.Knowledge{Service: service, Since: now, Seen: seenVersions(now, reply.Seen)}
	e.Watcher.Versions.Merge(k)
	return reply.KnownAge.Moment(now)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// maxStreamReplies bounds the replies to one query that are kept.
const maxStreamReplies = 256

// answerStreamQuery replies to the query of another VM for the version of a stream.
func (e *Edge) answerStreamQuery(s *vm.Session, m *vmwire.StreamQuery) {
	now := e.Now()
	found, ok := e.Streams.Find(now, m.RequestID)
	reply := &vmwire.StreamReply{ID: m.ID, Found: ok && m.RequestID != "", Service: found.Service, Version: found.Version}
	reply.KnownAge = vmwire.AgeOf(now, e.Watcher.FreshAt())
	e.addTargets(now, m, reply)
	if m.StartAge != vmwire.UnknownAge {
		// The VM that asks may not know earlier configurations that gave streams more time.
		e.addOrigins(now, e.startedSince(now, m.StartAge.Moment(now), m.Host, m.Path), m.Key, reply)
	}
	for _, k := range e.Watcher.Versions.Knowledge(now) {
		if k.Service == m.Service {
			reply.Seen = toSeenVersions(now, k.Seen)
		}
	}
	s.SendControl(vmwire.KindStreamReply, reply)
}

func (e *Edge) receiveStreamReply(peer vm.Identity, m vmwire.StreamReply) {
	e.queries.mu.Lock()
	defer e.queries.mu.Unlock()
	select {
	case e.queries.pending[m.ID] <- peerReply{peer, m}:
	default: // Nobody waits for it any more.
	}
}

// sendVersions sends what this VM knows of the versions of all services, and of earlier configurations, to a VM with which a session has opened.
func (e *Edge) sendVersions(s *vm.Session) {
	now := e.Now()
	m := &vmwire.VersionKnowledge{}
	if t := e.table(); t != nil {
		u := t.Unchanged()
		m.UnchangedFrom, m.UnchangedTo = u.From, u.To
		m.UnchangedAge, m.First = vmwire.AgeOf(now, u.Since), u.Since.IsZero()
	}
	for _, k := range e.Watcher.Versions.Knowledge(now) {
		m.Services = append(m.Services, vmwire.ServiceVersions{
			Service: k.Service, KnownAge: vmwire.AgeOf(now, k.Since), Versions: toSeenVersions(now, k.Seen),
		})
	}
	if len(m.Services) > 0 || m.UnchangedTo > 0 {
		s.SendControl(vmwire.KindVersionKnowledge, m)
	}
}

// receiveVersions adds what another VM knows of the versions of services and of earlier configurations.
func (e *Edge) receiveVersions(now time.Time, m *vmwire.VersionKnowledge) {
	if m.UnchangedTo > 0 {
		u := route.Unchanged{From: m.UnchangedFrom, To: m.UnchangedTo}
		if !m.First {
			u.Since = now.Add(-m.UnchangedAge.Duration())
		}
		e.Watcher.ExtendPast(u)
	}
	for _, service := range m.Services {
		since := service.KnownAge.Moment(now)
		if since.IsZero() {
			since = now
		}
		e.Watcher.Versions.Merge(version.Knowledge{Service: service.Service, Since: since, Seen: seenVersions(now, service.Versions)})
	}
}

func toSeenVersions(now time.Time, list []version.Seen) []vmwire.SeenVersion {
	var versions []vmwire.SeenVersion
	for _, seen := range list {
		versions = append(versions, vmwire.SeenVersion{Version: seen.Version, Age: vmwire.AgeOf(now, seen.LastAt)})
	}
	return versions
}

func seenVersions(now time.Time, list []vmwire.SeenVersion) []version.Seen {
	var versions []version.Seen
	for _, seen := range list {
		versions = append(versions, version.Seen{Version: seen.Version, LastAt: now.Add(-seen.Age.Duration())})
	}
	return versions
}

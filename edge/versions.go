package edge

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/fleet"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// streamLifetime is the time for which the version of a stream is kept. It exceeds the timeouts of routes.
	streamLifetime = time.Minute
	// resumeMargin is added to the timeout of a route for the time since which a stream may have begun.
	resumeMargin = 2 * time.Second
	// streamHolders is the number of other VMs that keep the version of a stream, too, while several versions serve, so that it
	// outlives the loss of a few VMs at once.
	streamHolders = 3
	// streamQueryTimeout bounds the question to other VMs for the version of a stream. It exceeds a round trip between regions.
	streamQueryTimeout = 250 * time.Millisecond
	// maxStreamQueries is the number of VMs of this region that are asked. It exceeds streamHolders, since VMs may know different
	// members of the region.
	maxStreamQueries = 8
)

// streamVersion is the software version that a stream is bound to.
type streamVersion struct {
	bound   bool
	version string
}

// streamQueries are the questions for versions of streams that wait for replies, by id.
type streamQueries struct {
	mu      sync.Mutex
	last    uint64
	pending map[uint64]chan vmwire.StreamReply
}

// streamBegan binds a stream to the version of the upstream that sent its first event.
func (e *Edge) streamBegan(r *request, v string) {
	if r.streamVersion.bound || !r.route.Resumable {
		return
	}
	r.streamVersion = streamVersion{bound: true, version: v}
	now := e.Now()
	e.Streams.Add(now, r.id, version.Stream{Service: r.service.Name, Version: v})
	if r.forwarded {
		return // The VM that the caller is connected to reports it.
	}
	if _, only := e.Watcher.Versions.Only(r.service.Name, e.earliestStart(now, r)); !only {
		e.reportStream(now, &vmwire.StreamBegan{RequestID: r.id, Service: r.service.Name, Version: v})
	}
}

// reportStream sends the version of a stream to streamHolders VMs of this region, since this one may end.
func (e *Edge) reportStream(now time.Time, m *vmwire.StreamBegan) {
	for _, slot := range e.rendezvousVMs(now, m.RequestID, streamHolders) {
		e.Fleet.SendTo(slot, vmwire.KindStreamBegan, m)
	}
}

// rendezvousVMs returns the n ready VMs of this region that rendezvous hashing orders first for a request.
func (e *Edge) rendezvousVMs(now time.Time, id string, n int) []string {
	ready := e.Fleet.ReadyMembers(now, e.Settings.Region)
	key := replica.NameKey(id)
	slices.SortFunc(ready, func(a, b fleet.Member) int {
		return cmp.Compare(replica.RendezvousWeight(key, b.Slot), replica.RendezvousWeight(key, a.Slot))
	})
	var slots []string
	for _, m := range ready[:min(n, len(ready))] {
		slots = append(slots, m.Slot)
	}
	return slots
}

// earliestStart returns the earliest time at which a stream that a caller resumes may have begun.
func (e *Edge) earliestStart(now time.Time, r *request) time.Time {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return now.Add(-timeout - resumeMargin)
}

// bindResumed binds a stream that a caller resumes to the version that began it. It reports false with a refusal if no VM knows it,
// and more than one version may have begun it.
func (e *Edge) bindResumed(ctx context.Context, r *request) (Outcome, bool) {
	if r.lastEvent == "" || !r.route.Resumable {
		return Outcome{}, true
	}
	r.resumedByCaller = true
	id := r.header.Get(platform.HeaderResumes)
	found, ok := e.findStream(ctx, r, id)
	if !ok || found.Service != r.service.Name {
		event.StreamVersionUnknown.Log(e.Log, "request", r.id, "resumes", id, "service", r.service.Name)
		return refuse(VersionUnknown, "no vm knows the version of the upstream that began the stream", defaultRetryAfter), false
	}
	r.streamVersion = streamVersion{bound: true, version: found.Version}
	if id != "" {
		e.Streams.Add(e.Now(), id, found)
	}
	return Outcome{}, true
}

// findStream returns the stream that an attempt of a caller began. If no VM knows the attempt, the stream has the only version that
// has served, if there was only one. Other VMs are asked first, since this one may not know yet of a version that has joined.
func (e *Edge) findStream(ctx context.Context, r *request, id string) (version.Stream, bool) {
	if id != "" {
		if found, ok := e.Streams.Find(e.Now(), id); ok {
			return found, true
		}
	}
	found, ok, confirmed := e.askStream(ctx, id, r.service.Name)
	if ok {
		return found, true
	}
	if !confirmed {
		return version.Stream{}, false
	}
	only, ok := e.Watcher.Versions.Only(r.service.Name, e.earliestStart(e.Now(), r))
	return version.Stream{Service: r.service.Name, Version: only}, ok
}

// askStream asks other VMs for the version of a stream, and returns the first reply that has it. If none has it, confirmed
// reports whether all versions that have served are known, with what the replies added.
func (e *Edge) askStream(ctx context.Context, id, service string) (found version.Stream, ok, confirmed bool) {
	replies := make(chan vmwire.StreamReply, maxStreamReplies)
	e.queries.mu.Lock()
	e.queries.last++
	query := &vmwire.StreamQuery{ID: e.queries.last, RequestID: id, Service: service}
	e.queries.pending[query.ID] = replies
	e.queries.mu.Unlock()
	defer func() {
		e.queries.mu.Lock()
		defer e.queries.mu.Unlock()
		delete(e.queries.pending, query.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	knownAt, replied := e.Watcher.FreshAt(), false
	for asked := e.sendStreamQuery(query); asked > 0; asked-- {
		select {
		case <-ctx.Done():
			asked = 0
		case reply := <-replies:
			if reply.Found {
				return version.Stream{Service: reply.Service, Version: reply.Version}, true, true
			}
			replied, knownAt = true, latest(knownAt, e.mergeReply(service, reply))
		}
	}
	return version.Stream{}, false, e.versionsConfirmed(e.Now(), replied, knownAt)
}

// versionsConfirmed reports whether all versions are known, if they are known up to a time. replied is set if another VM has added
// what it knows; if none did although there are others, this VM may be cut off.
func (e *Edge) versionsConfirmed(now time.Time, replied bool, knownAt time.Time) bool {
	if knownAt.IsZero() || now.Sub(knownAt) > e.maxStateAge() {
		return false
	}
	return replied || !e.Fleet.SeenSince(now.Add(-e.maxStateAge()))
}

// sendStreamQuery sends a query to the VMs of this region that keep the stream if they know it, and to those of other regions with
// which this one has sessions. It returns their number.
func (e *Edge) sendStreamQuery(query *vmwire.StreamQuery) int {
	asked := e.Fleet.SendToOtherRegions(vmwire.KindStreamQuery, query)
	for _, slot := range e.rendezvousVMs(e.Now(), query.RequestID, maxStreamQueries) {
		if e.Fleet.SendTo(slot, vmwire.KindStreamQuery, query) {
			asked++
		}
	}
	return asked
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

// maxStreamReplies bounds the replies to a question that are kept.
const maxStreamReplies = 256

// answerStreamQuery answers the question of another VM for the version of a stream.
func (e *Edge) answerStreamQuery(s *vm.Session, m *vmwire.StreamQuery) {
	now := e.Now()
	found, ok := e.Streams.Find(now, m.RequestID)
	reply := &vmwire.StreamReply{ID: m.ID, Found: ok && m.RequestID != "", Service: found.Service, Version: found.Version}
	reply.KnownAge = vmwire.AgeOf(now, e.Watcher.FreshAt())
	for _, k := range e.Watcher.Versions.Knowledge(now) {
		if k.Service == m.Service {
			reply.Seen = toSeenVersions(now, k.Seen)
		}
	}
	s.SendControl(vmwire.KindStreamReply, reply)
}

func (e *Edge) receiveStreamReply(m vmwire.StreamReply) {
	e.queries.mu.Lock()
	defer e.queries.mu.Unlock()
	select {
	case e.queries.pending[m.ID] <- m:
	default: // Nobody waits for it any more.
	}
}

// sendVersions sends what this VM knows of the versions of all services to a VM with which a session has opened.
func (e *Edge) sendVersions(s *vm.Session) {
	now := e.Now()
	m := &vmwire.VersionKnowledge{}
	for _, k := range e.Watcher.Versions.Knowledge(now) {
		m.Services = append(m.Services, vmwire.ServiceVersions{
			Service: k.Service, KnownAge: vmwire.AgeOf(now, k.Since), Versions: toSeenVersions(now, k.Seen),
		})
	}
	if len(m.Services) > 0 {
		s.SendControl(vmwire.KindVersionKnowledge, m)
	}
}

// receiveVersions adds what another VM knows of the versions of services.
func (e *Edge) receiveVersions(now time.Time, m *vmwire.VersionKnowledge) {
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

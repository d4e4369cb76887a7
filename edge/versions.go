package edge

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/event"
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
	ready := e.Fleet.ReadyMembers(now, e.Settings.Region)
	key := replica.NameKey(m.RequestID)
	for range min(streamHolders, len(ready)) {
		best := 0
		for i := range ready {
			if replica.RendezvousWeight(key, ready[i].Slot) > replica.RendezvousWeight(key, ready[best].Slot) {
				best = i
			}
		}
		e.Fleet.SendTo(ready[best].Slot, vmwire.KindStreamBegan, m)
		ready = append(ready[:best], ready[best+1:]...)
	}
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
	now := e.Now()
	id := r.header.Get(platform.HeaderResumes)
	found, ok := e.Streams.Find(now, id)
	if !ok || id == "" {
		found.Version, ok = e.Watcher.Versions.Only(r.service.Name, e.earliestStart(now, r))
		found.Service = r.service.Name
	}
	if !ok && id != "" {
		found, ok = e.askStream(ctx, id)
	}
	if !ok || found.Service != r.service.Name {
		event.StreamVersionUnknown.Log(e.Log, "request", r.id, "resumes", id, "service", r.service.Name)
		return refuse(VersionUnknown, "no vm knows the version of the upstream that began the stream", defaultRetryAfter), false
	}
	r.streamVersion = streamVersion{bound: true, version: found.Version}
	if id != "" {
		e.Streams.Add(now, id, found)
	}
	return Outcome{}, true
}

// askStream asks the other VMs for the version of a stream, and returns the first reply that has it.
func (e *Edge) askStream(ctx context.Context, id string) (version.Stream, bool) {
	replies := make(chan vmwire.StreamReply, maxStreamReplies)
	e.queries.mu.Lock()
	e.queries.last++
	query := &vmwire.StreamQuery{ID: e.queries.last, RequestID: id}
	e.queries.pending[query.ID] = replies
	e.queries.mu.Unlock()
	defer func() {
		e.queries.mu.Lock()
		defer e.queries.mu.Unlock()
		delete(e.queries.pending, query.ID)
	}()
	ctx, cancel := context.WithTimeout(ctx, streamQueryTimeout)
	defer cancel()
	for asked := e.Fleet.Broadcast(vmwire.KindStreamQuery, query, false); asked > 0; asked-- {
		select {
		case <-ctx.Done():
			return version.Stream{}, false
		case reply := <-replies:
			if reply.Found {
				return version.Stream{Service: reply.Service, Version: reply.Version}, true
			}
		}
	}
	return version.Stream{}, false
}

// maxStreamReplies bounds the replies to a question that are kept.
const maxStreamReplies = 256

// answerStreamQuery answers the question of another VM for the version of a stream.
func (e *Edge) answerStreamQuery(s *vm.Session, m *vmwire.StreamQuery) {
	found, ok := e.Streams.Find(e.Now(), m.RequestID)
	s.SendControl(vmwire.KindStreamReply, &vmwire.StreamReply{ID: m.ID, Found: ok, Service: found.Service, Version: found.Version})
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
		service := vmwire.ServiceVersions{Service: k.Service, KnownAge: vmwire.AgeOf(now, k.Since)}
		for _, seen := range k.Seen {
			service.Versions = append(service.Versions, vmwire.SeenVersion{Version: seen.Version, Age: vmwire.AgeOf(now, seen.LastAt)})
		}
		m.Services = append(m.Services, service)
	}
	if len(m.Services) > 0 {
		s.SendControl(vmwire.KindVersionKnowledge, m)
	}
}

// receiveVersions adds what another VM knows of the versions of services.
func (e *Edge) receiveVersions(now time.Time, m *vmwire.VersionKnowledge) {
	for _, service := range m.Services {
		k := version.Knowledge{Service: service.Service, Since: now.Add(-service.KnownAge.Duration())}
		for _, seen := range service.Versions {
			k.Seen = append(k.Seen, version.Seen{Version: seen.Version, LastAt: now.Add(-seen.Age.Duration())})
		}
		e.Watcher.Versions.Merge(k)
	}
}

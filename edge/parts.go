package edge

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/http"
	"time"

	"parsleyhatch/place"
	"parsleyhatch/poison"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/upstream"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// steadyAnswerTime is the time after its first event for which an answer may still be the cause of a crash. A part
	// that crashes upstreams does so when they begin to answer.
	steadyAnswerTime = time.Second
	// minUnframedEvents is the number of events from which a stream that ends with its connection counts as complete.
	minUnframedEvents = 2
	// maxSharedParts bounds the parts of a prompt that are suspected and checked.
	maxSharedParts = 256
	// partQuarantinedDetail explains the refusal of a request with a quarantined part.
	partQuarantinedDetail = "a part of the prompt crashed the upstreams that ran it"
)

// sharedParts returns the ids of the prompt parts that other requests may share: all but the last.
func (r *request) sharedParts() []uint64 {
	n := min(len(r.prompt.Parts)-1, maxSharedParts)
	if n <= 0 {
		return nil
	}
	ids := make([]uint64, n)
	for i := range ids {
		ids[i] = r.prompt.Parts[i].ID
	}
	return ids
}

// quarantinedParts returns the parts of the prompt that are quarantined.
func (e *Edge) quarantinedParts(r *request) []poison.Part {
	return e.Parts.Quarantined(e.Now(), r.service.Name, r.sharedParts())
}

// mayProbe reports whether a request may be sent although parts of its prompt are quarantined, to test whether its only
// quarantined part still crashes upstreams. One VM decides this for all requests with the part in the regions of a route.
func (e *Edge) mayProbe(r *request, parts []poison.Part) bool {
	if r.probe {
		return true // The VM that forwarded the request decided it.
	}
	now := e.Now()
	if len(parts) != 1 || !e.decidesProbes(now, r, parts[0]) {
		return false
	}
	if e.Parts.TryProbe(now, parts[0]) {
		r.probe, r.probedPart = true, parts[0]
	}
	return r.probe
}

// endProbe allows another request to test a quarantine if this one was to do so and has not run.
func (e *Edge) endProbe(r *request, out Outcome) {
	if r.probedPart != (poison.Part{}) && out.Ran == NotRun {
		e.Parts.CancelProbe(r.probedPart)
	}
}

// decidesProbes reports whether this VM sends the probes of a part. It is chosen by rendezvous hashing.
func (e *Edge) decidesProbes(now time.Time, r *request, p poison.Part) bool {
	key := partKey(p)
	capacity := map[string]int{}
	for region, slots := range e.Watcher.Capacity(p.Service) {
		if route.Allowed(r.route, r.workspace, region) {
			capacity[region] = slots
		}
	}
	if place.HomeRegion(key, capacity) != e.Settings.Region || !e.Ready(now) {
		return false
	}
	own := replica.RendezvousWeight(key, e.Settings.Name)
	for _, m := range e.Fleet.ReadyMembers(now, e.Settings.Region) {
		if replica.RendezvousWeight(key, m.Slot) > own {
			return false
		}
	}
	return true
}

// partKey returns the key of a part for rendezvous hashing.
func partKey(p poison.Part) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(p.Service), p.ID))
	return h.Sum64()
}

// broadcastSuspect sends what is known of a suspect request to all other VMs.
func (e *Edge) broadcastSuspect(now time.Time, f poison.Fingerprint) {
	for _, m := range e.Poison.Messages(now, f) {
		e.Fleet.BroadcastSuspect(&m, false)
	}
}

// isConnectionLoss reports whether an attempt failed because its connection ended, and not because the answer was late,
// invalid or too long.
func isConnectionLoss(err error) bool {
	var f *upstream.Failure
	if errors.As(err, &f) && f.Kind != upstream.Broken {
		return false
	}
	var limit *upstream.LimitError
	return !upstream.IsTimeout(err) && !errors.As(err, &limit) && !errors.Is(err, upstream.ErrMalformed)
}

func lifetimeOf(pick *replica.Pick) poison.Lifetime {
	return poison.Lifetime{Upstream: pick.ID, Born: pick.Born}
}

// recordAnswer records that an upstream answered a request that was sent at a time. A misdirected request was answered by
// another upstream at the address.
func (e *Edge) recordAnswer(pick *replica.Pick, a *upstream.Response, sentAt time.Time) {
	if a.Status != http.StatusMisdirectedRequest {
		e.broadcastParts(e.Parts.RecordAnswer(e.Now(), lifetimeOf(pick), sentAt))
	}
}

// recordCompletion records that an upstream completed its answer to a request. An answer that only the end of the
// connection delimits may have been cut by a crash, unless it has events after the first.
func (e *Edge) recordCompletion(r *request, a *upstream.Response, out Outcome) {
	if !out.Complete || !a.Framed && r.events < minUnframedEvents || !isSuccess(a.Status) {
		return
	}
	now := e.Now()
	if e.Poison.RecordCompletion(now, r.fingerprint) {
		e.broadcastSuspect(now, r.fingerprint)
	}
	e.broadcastParts(e.Parts.RecordCompletion(now, r.service.Name, r.sharedParts()))
}

// broadcastParts sends a report to all other VMs, unless it is nil.
func (e *Edge) broadcastParts(report *vmwire.PartReport) {
	if report != nil {
		e.Fleet.BroadcastParts(report, false)
	}
}

// applyPartReport applies a report of another VM. A VM has sessions with few VMs of another region, which pass on within
// their region what is new to them. What a reply changed was reported by this VM, which therefore corrects it everywhere.
func (e *Edge) applyPartReport(s *vm.Session, m *vmwire.PartReport) {
	changed, reply := e.Parts.Merge(e.Now(), m)
	if reply != nil {
		s.SendControl(vmwire.KindPartReport, reply)
	}
	switch {
	case changed == nil:
	case m.Reply:
		e.Fleet.BroadcastParts(changed, false)
	case s.Peer.Region != e.Settings.Region:
		e.Fleet.BroadcastParts(changed, true)
	}
}

// suspectBatch is the number of messages on suspect requests that are sent at once, and suspectBatchInterval the time
// between two batches, so that they do not fill the queue of a session.
const (
	suspectBatch         = 64
	suspectBatchInterval = 20 * time.Millisecond
)

// sendKnowledge sends a VM with which a session has opened what it must know before it sends requests to upstreams.
func (e *Edge) sendKnowledge(s *vm.Session) {
	e.queries.wake()
	e.sendLimits(s)
	e.sendVersions(s)
	e.sendSuspects(s)
}

// sendSuspects sends the suspected prompt parts and requests to a VM with which a session has opened.
func (e *Edge) sendSuspects(s *vm.Session) {
	for _, report := range e.Parts.Export(e.Now()) {
		s.SendControl(vmwire.KindPartReport, report)
	}
	for i, m := range e.Poison.Export(e.Now()) {
		if i%suspectBatch == suspectBatch-1 {
			select {
			case <-s.Done():
				return
			case <-time.After(suspectBatchInterval):
			}
		}
		s.SendControl(vmwire.KindSuspectRequest, &m)
	}
}

package edge

import (
	"slices"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// A caller that resumes a stream need not name the attempt that began it. Then only the content of its request identifies the stream, and
// another caller may have sent an equal request. So the stream goes on only if all streams of equal requests began at one service and version,
// and every process that may have started one has reported.

// maxOriginVMs is the number of other VMs up to which all of them are asked for the origins of a stream.
const maxOriginVMs = 32

// originAnswer is what other VMs said of the streams of equal requests.
type originAnswer struct {
	// asked is set if all VMs were asked, for streams that began at since or later.
	asked bool
	since time.Time
	// streams are the origins that are known, and processes the processes that may have started others.
	streams   []version.Stream
	processes []fleet.Process
	// replied holds the incarnations of the VMs that replied. incomplete is set if one of them does not keep all streams, and runsSince if one
	// has run since then.
	replied               []vm.Identity
	incomplete, runsSince bool
}

// add adds the reply of a VM.
func (o *originAnswer) add(peer vm.Identity, reply *vmwire.StreamReply) {
	o.replied = append(o.replied, peer)
	o.incomplete = o.incomplete || !reply.OriginsKnown
	o.runsSince = o.runsSince || reply.RunsSince
	for _, origin := range reply.Origins {
		o.streams = append(o.streams, version.Stream{Service: origin.Service, Version: origin.Version})
	}
	for _, p := range reply.Processes {
		o.processes = append(o.processes, fleet.Process{Slot: p.Slot, Incarnation: p.Incarnation, HandedOver: p.HandedOver})
	}
}

// unaccounted returns the VM of a process that has neither replied nor handed over its streams to one that has, empty if there is none.
func (o *originAnswer) unaccounted() string {
	var handedOver []uint64
	for _, p := range o.processes {
		if p.HandedOver {
			handedOver = append(handedOver, p.Incarnation)
		}
	}
	for _, p := range o.processes {
		replied := slices.ContainsFunc(o.replied, func(peer vm.Identity) bool {
			return peer.Incarnation == p.Incarnation || p.Incarnation == 0 && peer.Slot == p.Slot
		})
		if !replied && !slices.Contains(handedOver, p.Incarnation) {
			return p.Slot
		}
	}
	return ""
}

// recordStreamOrigin records the origin of a stream that this VM passes to its caller. The VM that forwarded a request records its stream itself.
func (e *Edge) recordStreamOrigin(r *request, stream version.Stream) {
	if !r.forwarded {
		e.Origins.Add(e.Now(), r.contentKey(), stream)
	}
}

// sendOriginQuery sends a query about a stream that its caller does not name to all other VMs. It reports false if they are too many.
func (e *Edge) sendOriginQuery(now time.Time, r *request, query *vmwire.StreamQuery, a *streamAnswer) bool {
	since := e.startedSince(now, earliestStart(now, r.route), r.host, r.path)
	processes := e.Fleet.Processes(since)
	if len(processes) > maxOriginVMs || !r.route.KeepsService() {
		return false
	}
	a.origins = originAnswer{asked: true, since: since, processes: processes}
	query.StartAge = vmwire.AgeOf(now, since)
	a.asked = e.Fleet.Broadcast(vmwire.KindStreamQuery, query, false)
	return true
}

// onlyStreamOrigin returns the service and the version at which all streams of requests equal to r began, or the reason for which it is not
// known.
func (e *Edge) onlyStreamOrigin(now time.Time, r *request, a *streamAnswer) (version.Stream, string) {
	o := a.origins
	if !o.asked {
		return version.Stream{}, "vms not asked"
	}
	local := &vmwire.StreamReply{}
	e.addOrigins(now, o.since, r.contentKey(), local)
	o.add(e.Fleet.Endpoint.Self, local)
	lost := o.unaccounted()
	switch {
	case a.replies < a.asked:
		return version.Stream{}, "replies missing"
	case lost != "":
		return version.Stream{}, "process lost: " + lost
	case o.incomplete:
		return version.Stream{}, "streams dropped, or other protocol"
	case !o.runsSince:
		return version.Stream{}, "all vms started since"
	case len(o.streams) == 0:
		return version.Stream{}, "no stream known"
	}
	first := o.streams[0]
	if first.Version == version.Uncertain || slices.ContainsFunc(o.streams, func(s version.Stream) bool { return s != first }) {
		return version.Stream{}, "equal requests at several"
	}
	return first, ""
}

// addOrigins adds to a reply what this VM knows of the streams with a key that began since a time.
func (e *Edge) addOrigins(now, since time.Time, key string, reply *vmwire.StreamReply) {
	streams, complete := e.Origins.Find(now, since, key)
	for _, stream := range streams {
		reply.Origins = append(reply.Origins, vmwire.StreamOrigin{Service: stream.Service, Version: stream.Version})
	}
	// VMs with another protocol cannot be asked.
	reply.OriginsKnown = complete && time.Unix(0, e.otherProtocolAt.Load()).Before(since)
	reply.RunsSince = !e.startedAt.After(since)
	for _, p := range e.Fleet.Processes(since) {
		reply.Processes = append(reply.Processes, vmwire.VMProcess{Slot: p.Slot, Incarnation: p.Incarnation, HandedOver: p.HandedOver})
	}
}

// handOverOrigins sends the origins of all streams that callers may resume to the other VMs, received ones included: VMs that have started
// since do not have them. Their ages go with them, so that they expire although VMs stop in turn. This VM starts no stream any more. A VM that
// misses the last message counts this process as lost.
func (e *Edge) handOverOrigins(now time.Time) {
	processes := e.Fleet.Processes(now)
	if len(processes) > maxOriginVMs {
		return
	}
	all, droppedUntil := e.Origins.All(now)
	rows := make([]vmwire.KeyedOrigin, 0, len(all))
	for _, s := range all {
		origin := vmwire.StreamOrigin{Service: s.Service, Version: s.Version}
		rows = append(rows, vmwire.KeyedOrigin{Key: s.Key, Origin: origin, Age: vmwire.AgeRoundedDown(now, s.At)})
	}
	last := &vmwire.StreamsBegan{Last: true, DroppedAge: vmwire.AgeRoundedDown(now, droppedUntil)}
	for _, p := range processes {
		e.sendOrigins(p.Slot, rows, last)
	}
}

// sendOrigins hands over origins to one VM.
func (e *Edge) sendOrigins(slot string, rows []vmwire.KeyedOrigin, last *vmwire.StreamsBegan) {
	for part := range slices.Chunk(rows, maxReportedStreams) {
		if !e.Fleet.SendTo(slot, vmwire.KindStreamsBegan, &vmwire.StreamsBegan{Origins: part}) {
			return
		}
	}
	e.Fleet.SendTo(slot, vmwire.KindStreamsBegan, last)
}

// receiveOrigins keeps the origins that another VM hands over.
func (e *Edge) receiveOrigins(now time.Time, peer vm.Identity, m *vmwire.StreamsBegan) {
	for _, row := range m.Origins {
		stream := version.Stream{Service: row.Origin.Service, Version: row.Origin.Version}
		e.Origins.Keep(now, version.KeyedStream{Key: row.Key, Stream: stream, At: row.Age.Moment(now)})
	}
	if m.Last {
		e.Origins.RecordDropped(m.DroppedAge.Moment(now))
		e.Fleet.RecordHandover(now, peer)
	}
}

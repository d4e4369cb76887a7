package edge

import (
	"cmp"
	"slices"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// streamLifetime is the time for which the version of a stream is kept. It exceeds the timeouts of routes.
	streamLifetime = time.Minute
	// resumeMargin is added to the timeout of a route for the time since which a stream may have begun.
	resumeMargin = 2 * time.Second
	// maxLocalHolders bounds the VMs of the region of the VM that began a stream that keep its version, too, while several versions serve.
	// In smaller regions all keep it: if most VMs are lost at once, callers resume their streams at those that are left.
	maxLocalHolders = 32
	// remoteHolders is the number of VMs that keep it in each of remoteHolderRegions others, so that it outlives the loss of its region
	// beside a cut.
	remoteHolders       = 2
	remoteHolderRegions = 2
	// minLocalCopies is the number of VMs: if fewer of this region keep a stream that is handed over, it is also sent to leaving VMs and to
	// other regions.
	minLocalCopies = 2
	// sureHolders is the number of VMs of a region with more than maxLocalHolders that were certainly among the holders of a stream when it was
	// reported. The others may only have become holders since then, as some were stopped.
	sureHolders = maxLocalHolders / 2
	// reportDelay is the time for which streams that began are collected for one message to each VM that keeps them.
	reportDelay = 50 * time.Millisecond
	// maxReportedStreams is the number of streams in one message to another VM.
	maxReportedStreams = 512
)

// streamBegan binds a stream to the version of the upstream that sent its first event.
func (e *Edge) streamBegan(r *request, v string) {
	e.recordStreamOrigin(r, version.Stream{Service: r.service.Name, Version: v})
	// The VM that forwarded a request may have a configuration in which its stream can be resumed.
	if r.streamVersion.bound || !r.route.Resumable && !r.forwarded {
		return
	}
	r.streamVersion = streamVersion{bound: true, version: v}
	now, stream := e.Now(), version.Stream{Service: r.service.Name, Version: v}
	if r.forwarded {
		// Its events may be lost, and the VM that the caller is connected to may begin the stream elsewhere. That VM reports it.
		e.Streams.AddForwarded(now, r.id, stream)
		return
	}
	e.Streams.Begin(now, r.id, stream)
	if e.needsReports(r.service.Name, earliestStart(now, r.route)) {
		e.scheduleReports()
	}
}

// scheduleReports reports the streams that begin within reportDelay together.
func (e *Edge) scheduleReports() {
	if e.reportScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(reportDelay, e.reportCollectedStreams)
	}
}

// needsReports reports whether other VMs cannot derive where the streams of a service that began since a time go on: several versions have
// served it, or the split of its route has changed. Otherwise they know the version from the registrations and the service from the split.
func (e *Edge) needsReports(service string, since time.Time) bool {
	_, only := e.Watcher.Versions.Only(service, since, true)
	t := e.table()
	return !only || t != nil && t.SplitChanged(since, service)
}

// reportCollectedStreams reports the streams that began within reportDelay.
func (e *Edge) reportCollectedStreams() {
	e.reportScheduled.Store(false)
	e.reportAllStreams()
}

// reportAllStreams reports the streams that no other VM was notified of, of the services that need it.
func (e *Edge) reportAllStreams() { e.reportServices(e.reportStreams) }

// handOverStreams reports the streams that callers may still resume to the VMs that may not know them, before this VM ends: once another version
// has joined, other VMs can no longer derive the versions of those that began while one served, and VMs may have started since a report.
func (e *Edge) handOverStreams() {
	e.reportServices(func(now time.Time, service string, since time.Time) {
		holders := e.newStreamHolders(now)
		if !holders.connected {
			return
		}
		reports := streamReports{}
		for _, s := range e.Streams.TakeReported(now, service, since) {
			reports.add(streamBeganMessage(now, &s.StartedStream), holders.startedSince(s.ID, s.ReportedAt))
		}
		for _, s := range e.Streams.TakeUnreported(now, service, since) {
			reports.add(streamBeganMessage(now, &s), holders.of(s.ID))
		}
		e.sendReports(reports)
	})
}

// handOverOrphans hands over the streams that this VM keeps for others that no longer run. If VMs are restarted in turn, each of those that
// keep a stream ends.
func (e *Edge) handOverOrphans() {
	e.reportServices(func(now time.Time, service string, since time.Time) {
		runs := func(p version.Process) bool { return e.Fleet.Runs(p.Slot, p.Incarnation) }
		holders := e.newStreamHolders(now)
		reports := streamReports{}
		for _, k := range e.Streams.Orphans(service, since, runs) {
			m := streamBeganMessage(now, &k.StartedStream)
			m.HandedOver = true
			reports.add(m, holders.receivers(&k))
		}
		e.sendReports(reports)
	})
}

// reportServices calls report for each service, with the earliest start of the streams that callers may still resume.
func (e *Edge) reportServices(report func(now time.Time, service string, since time.Time)) {
	t := e.table()
	if t == nil {
		return
	}
	now := e.Now()
	earliest := now
	for i := range t.Config.Routes {
		if r := &t.Config.Routes[i]; r.Resumable {
			earliest = earlier(earliest, earliestStart(now, r))
		}
	}
	for i := range t.Config.Services {
		report(now, t.Config.Services[i].Name, earliest)
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// reportStreams reports the streams of a service that began since a time if other VMs need to know of them.
func (e *Edge) reportStreams(now time.Time, service string, since time.Time) {
	if e.needsReports(service, since) {
		e.sendUnreported(now, service, since)
	}
}

// sendUnreported notifies other VMs of the streams of a service that began at this VM since a time, so that callers can resume them
// after the loss of this VM. Without a connected VM, they stay unreported.
func (e *Edge) sendUnreported(now time.Time, service string, since time.Time) {
	if e.newStreamHolders(now).connected {
		e.sendStreams(now, e.Streams.TakeUnreported(now, service, since))
	}
}

// sendStreams sends streams of a service to the VMs that are to keep them.
func (e *Edge) sendStreams(now time.Time, streams []version.StartedStream) {
	holders := e.newStreamHolders(now)
	reports := streamReports{}
	for _, began := range streams {
		reports.add(streamBeganMessage(now, &began), holders.of(began.ID))
	}
	e.sendReports(reports)
}

func streamBeganMessage(now time.Time, began *version.StartedStream) vmwire.StreamBegan {
	return vmwire.StreamBegan{RequestID: began.ID, Service: began.Service, Version: began.Version, Age: vmwire.AgeOf(now, began.At)}
}

// streamReports holds streams by the VM to which they are to be reported.
type streamReports map[string][]vmwire.StreamBegan

func (r streamReports) add(m vmwire.StreamBegan, slots []string) {
	for _, slot := range slots {
		r[slot] = append(r[slot], m)
	}
}

// sendReports sends each VM the streams that it is to keep. A report that the queue of its session does not take is lost.
func (e *Edge) sendReports(reports streamReports) {
	for slot, list := range reports {
		for part := range slices.Chunk(list, maxReportedStreams) {
			e.Fleet.SendTo(slot, vmwire.KindStreamsBegan, &vmwire.StreamsBegan{Streams: part})
		}
	}
}

// receiveStreams keeps streams that began at another VM.
func (e *Edge) receiveStreams(now time.Time, peer vm.Identity, m *vmwire.StreamsBegan) {
	from := version.Process{Slot: peer.Slot, Incarnation: peer.Incarnation}
	for _, began := range m.Streams {
		started := version.StartedStream{
			ID: began.RequestID, Stream: version.Stream{Service: began.Service, Version: began.Version}, At: began.Age.Moment(now),
		}
		fewCopies := began.HandedOver || peer.Region != e.Settings.Region
		e.Streams.Keep(now, version.KeptStream{StartedStream: started, From: from, KeptAt: now, FewCopies: fewCopies})
	}
	e.receiveOrigins(now, peer, m)
}

// streamHolders chooses the other VMs that keep the versions of the streams of one report.
type streamHolders struct {
	edge *Edge
	now  time.Time
	// connected is set if this VM has a session with a VM that can keep streams, and otherRegions are the other regions with a ready one.
	connected    bool
	otherRegions []string
	// stopping are the VMs of this region that are leaving. They keep streams until they end, and then hand them over.
	stopping []fleet.Member
	// members holds the responsive VMs of the regions that were looked up.
	members map[string][]fleet.Member
	// localHolders holds the responsive VMs of this region, those that have run longest first.
	localHolders []version.Holder
}

func (e *Edge) newStreamHolders(now time.Time) *streamHolders {
	regions := e.Fleet.ConnectedRegions(now)
	h := &streamHolders{edge: e, now: now, stopping: e.Fleet.StoppingMembers(now, e.Settings.Region), members: map[string][]fleet.Member{}}
	h.connected = len(regions) > 0 || len(h.stopping) > 0
	h.otherRegions = slices.DeleteFunc(regions, func(region string) bool { return region == e.Settings.Region })
	return h
}

// of returns the VMs that keep the version of a stream: some of this region, and some of other regions.
func (h *streamHolders) of(id string) []string {
	slots := rendezvousVMs(h.responsiveMembers(h.edge.Settings.Region), id, maxLocalHolders)
	slots = append(slots, rendezvousVMs(h.stopping, id, maxLocalHolders-len(slots))...)
	return append(slots, h.ofOtherRegions(id)...)
}

// ofOtherRegions returns the VMs of other regions that keep the version of a stream.
func (h *streamHolders) ofOtherRegions(id string) []string {
	var slots []string
	for _, region := range rendezvousOrder(h.otherRegions, id, func(region string) string { return region }, remoteHolderRegions) {
		slots = append(slots, rendezvousVMs(h.responsiveMembers(region), id, remoteHolders)...)
	}
	return slots
}

// receivers returns the VMs to which a stream of a VM that no longer runs is handed over. If hardly any VM of this region is left, some of other
// regions keep it as well.
func (h *streamHolders) receivers(k *version.KeptStream) []string {
	slots, copies := k.Receivers(h.local(k.ID))
	if copies < minLocalCopies {
		slots = append(slots, rendezvousVMs(h.stopping, k.ID, maxLocalHolders-len(slots))...)
		slots = append(slots, h.ofOtherRegions(k.ID)...)
	}
	return slots
}

// local returns the VMs of this region that stay and keep a stream that begins now, in the order in which they are asked for it.
func (h *streamHolders) local(id string) []version.Holder {
	if h.localHolders == nil {
		h.localHolders = holdersByAge(h.responsiveMembers(h.edge.Settings.Region), nil)
	}
	if len(h.localHolders) <= maxLocalHolders {
		return h.localHolders
	}
	list := rendezvousOrder(h.responsiveMembers(h.edge.Settings.Region), id, memberSlot, maxLocalHolders)
	return holdersByAge(slices.Clone(list), list[:sureHolders])
}

// holdersByAge returns VMs that keep streams, those that have run longest first. Those that are not among the sure ones may be new; nil means that
// all are sure.
func holdersByAge(members, sure []fleet.Member) []version.Holder {
	holders := make([]version.Holder, 0, len(members))
	for _, m := range byAge(members) {
		mayBeNew := sure != nil && !slices.ContainsFunc(sure, func(s fleet.Member) bool { return s.Slot == m.Slot })
		holders = append(holders, version.Holder{Slot: m.Slot, StartedAt: m.ProcessStartedAt(), MayBeNew: mayBeNew})
	}
	return holders
}

// startedSince returns the VMs among those that keep a stream that may not have got a report of it at a time.
func (h *streamHolders) startedSince(id string, reportedAt time.Time) []string {
	return slices.DeleteFunc(h.of(id), func(slot string) bool {
		m, ok := h.edge.Fleet.Member(slot)
		return ok && version.RanBefore(m.ProcessStartedAt(), reportedAt)
	})
}

func (h *streamHolders) responsiveMembers(region string) []fleet.Member {
	list, ok := h.members[region]
	if !ok {
		list = h.edge.Fleet.ResponsiveMembers(h.now, region)
		h.members[region] = list
	}
	return list
}

func memberSlot(m fleet.Member) string { return m.Slot }

// byAge sorts VMs, those that have run longest first. Clocks of VMs may differ, which changes only their order.
func byAge(members []fleet.Member) []fleet.Member {
	slices.SortStableFunc(members, func(a, b fleet.Member) int { return a.StartedAt.Compare(b.StartedAt) })
	return members
}

// rendezvousVMs returns the n VMs that rendezvous hashing orders first for a request.
func rendezvousVMs(members []fleet.Member, id string, n int) []string {
	var slots []string
	for _, m := range rendezvousOrder(members, id, memberSlot, n) {
		slots = append(slots, m.Slot)
	}
	return slots
}

// rendezvousOrder returns the n elements that rendezvous hashing of their names orders first for a request.
func rendezvousOrder[T any](list []T, id string, name func(T) string, n int) []T {
	key := replica.NameKey(id)
	slices.SortFunc(list, func(a, b T) int {
		return cmp.Compare(replica.RendezvousWeight(key, name(b)), replica.RendezvousWeight(key, name(a)))
	})
	return list[:min(n, len(list))]
}

// earliestStart returns the earliest time at which a stream of a route that a caller resumes may have begun.
func earliestStart(now time.Time, r *route.Route) time.Time {
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return now.Add(-timeout - resumeMargin)
}

package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// ReadyMembers returns the VMs of a region that are ready for callers and not leaving, sorted by name.
func (f *Fleet) ReadyMembers(now time.Time, region string) []Member {
	return f.acceptingMembers(now, region, false)
}

// ConnectedMembers returns the ready members of a region with which this VM has a session, sorted by name. The others may still count
// as alive, but nothing can be sent to them.
func (f *Fleet) ConnectedMembers(now time.Time, region string) []Member {
	return slices.DeleteFunc(f.ReadyMembers(now, region), func(m Member) bool { return !m.DisconnectedAt.IsZero() })
}

// Member returns the VM of a slot, if a presence of it has arrived.
func (f *Fleet) Member(slot string) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[slot]
	if m == nil {
		return Member{}, false
	}
	return *m, true
}

// StoppingMembers returns the members of a region that are leaving and with which this VM has a session, sorted by name. Their processes
// still answer other VMs.
func (f *Fleet) StoppingMembers(now time.Time, region string) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Member
	for _, m := range f.members {
		if m.Region == region && m.Leaving && m.Alive(now) && m.DisconnectedAt.IsZero() {
			list = append(list, *m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Slot, b.Slot) })
	return list
}

// Runs reports whether this VM has a session with a process of another one.
func (f *Fleet) Runs(slot string, incarnation uint64) bool {
	s := f.session(slot)
	return s != nil && s.Peer.Incarnation == incarnation
}

// ResponsiveMembers returns the connected members of a region whose latest presence is not overdue, or all of them if each one's is. A VM
// that was cut off stays connected for some seconds.
func (f *Fleet) ResponsiveMembers(now time.Time, region string) []Member {
	connected := f.ConnectedMembers(now, region)
	var responsive []Member
	for _, m := range connected {
		if m.responsive(now) {
			responsive = append(responsive, m)
		}
	}
	if len(responsive) == 0 {
		return connected
	}
	return responsive
}

// MissesSessions reports whether sessions are likely to open soon: a VM of this region that was seen recently is not connected, or none
// of another region is. VMs that have announced that they leave are not missing.
func (f *Fleet) MissesSessions(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	connectedRegions := map[string]bool{}
	for _, c := range f.candidates {
		if c.slot == f.Endpoint.Self.Slot || now.Sub(c.lastSeenAt) > vmListMaxAge {
			continue
		}
		if m := f.members[c.slot]; m != nil && m.Leaving {
			continue
		}
		connected := c.slot != "" && len(f.sessions[c.slot]) > 0
		if !f.isRemoteCandidate(c) && !connected {
			return true
		}
		connectedRegions[c.region] = connectedRegions[c.region] || connected
	}
	for _, connected := range connectedRegions {
		if !connected {
			return true
		}
	}
	return false
}

// LeavingMembers returns the VMs of a region that are leaving but still accept callers, sorted by name.
func (f *Fleet) LeavingMembers(now time.Time, region string) []Member {
	return f.acceptingMembers(now, region, true)
}

func (f *Fleet) acceptingMembers(now time.Time, region string, leaving bool) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Member
	for _, m := range f.members {
		if m.Region == region && m.accepts(now, leaving) && m.CallerAddress != "" {
			list = append(list, *m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Slot, b.Slot) })
	return list
}

// Regions returns the regions that have a ready VM, sorted by name.
func (f *Fleet) Regions(now time.Time) []string {
	return f.regionsOf(func(m *Member) bool { return m.accepts(now, false) })
}

// LeavingRegions returns the regions that have a VM that is leaving but still accepts callers, sorted by name.
func (f *Fleet) LeavingRegions(now time.Time) []string {
	return f.regionsOf(func(m *Member) bool { return m.accepts(now, true) })
}

// ConnectedRegions returns the regions, this one included, that have a connected member, sorted by name.
func (f *Fleet) ConnectedRegions(now time.Time) []string {
	return f.regionsOf(func(m *Member) bool {
		return m.accepts(now, false) && m.CallerAddress != "" && m.DisconnectedAt.IsZero()
	})
}

// regionsOf returns the regions of the VMs that match, sorted by name.
func (f *Fleet) regionsOf(matches func(m *Member) bool) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, m := range f.members {
		if matches(m) && !slices.Contains(list, m.Region) {
			list = append(list, m.Region)
		}
	}
	slices.Sort(list)
	return list
}

// SameRegionSlots returns the names of the VMs of this region, including this one, that share the bounds of the
// region's upstreams. A lost VM may only be cut off and counts until its retention ends. A VM that is only listed by others
// counts, too: where all VMs start at once, they learn the names long before they are connected, and must agree on the shares.
func (f *Fleet) SameRegionSlots(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := []string{f.Endpoint.Self.Slot}
	for slot, m := range f.members {
		if !m.sharesBounds(now) {
			delete(f.members, slot)
			continue
		}
		if !m.remote {
			names = append(names, slot)
		}
	}
	for _, c := range f.candidates {
		if f.isListedOnly(now, c) {
			names = append(names, c.slot)
		}
	}
	return names
}

// isListedOnly reports whether a candidate is another VM of this region from which no presence has come.
func (f *Fleet) isListedOnly(now time.Time, c *candidate) bool {
	return c.slot != "" && c.slot != f.Endpoint.Self.Slot && !f.isRemoteCandidate(c) && f.members[c.slot] == nil && now.Sub(c.lastSeenAt) <= vmListMaxAge
}

// SameRegionCount returns the number of VMs of this region, including this one, that probably send requests: the known ones except
// those that were lost more than a minute ago.
func (f *Fleet) SameRegionCount(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 1
	for _, m := range f.members {
		if !m.remote && now.Sub(m.LastPresenceAt) <= leftRetention {
			n++
		}
	}
	for _, c := range f.candidates {
		if f.isListedOnly(now, c) {
			n++
		}
	}
	return n
}

// ReportedRegionCount returns the largest number of VMs of this region that a live VM of the region knows. A VM that has just started
// does not know all of them itself.
func (f *Fleet) ReportedRegionCount(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.members {
		if !m.remote && m.Alive(now) {
			n = max(n, m.RegionVMs)
		}
	}
	return n
}

// LongestRun returns the run time of the live VM of this region that has run longest, zero if there is none whose count of VMs can be used.
func (f *Fleet) LongestRun(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := time.Duration(0)
	for _, m := range f.members {
		if !m.remote && m.Alive(now) && m.hasCounted(now) {
			longest = max(longest, m.Running)
		}
	}
	return longest
}

// UsageReporter returns the lowest name among the live VMs of another region that report its usage, or an empty string.
func (f *Fleet) UsageReporter(now time.Time, region string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := ""
	for slot, m := range f.members {
		if m.Region == region && m.ReportsUsage && m.Alive(now) && (first == "" || slot < first) {
			first = slot
		}
	}
	return first
}

// ReportsUsage reports whether this VM reports the usage of its region to other regions: each VM of a small region, and
// those with the lowest names of a large one.
func (f *Fleet) ReportsUsage(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	local, lower := 0, 0
	for slot, m := range f.members {
		if m.remote || !m.Alive(now) {
			continue
		}
		local++
		if m.Ready && !m.Leaving && slot < f.Endpoint.Self.Slot {
			lower++
		}
	}
	return local <= maxDirectReceivers || lower < usageReporters
}

// ExpectedWait returns the lowest expected time to the first token of a service for a priority rank at the connected VMs of another
// region, and the time of the presence that reported it. VMs whose upstreams are full do not count.
func (f *Fleet) ExpectedWait(now time.Time, region, service string, rank int) (wait time.Duration, presenceAt time.Time, found bool) {
	return f.expectedWait(now, region, service, rank, false)
}

// ExpectedWaitOnceRoom is ExpectedWait with the VMs whose upstreams are full.
func (f *Fleet) ExpectedWaitOnceRoom(now time.Time, region, service string, rank int) (wait time.Duration, presenceAt time.Time, found bool) {
	return f.expectedWait(now, region, service, rank, true)
}

func (f *Fleet) expectedWait(now time.Time, region, service string, rank int, orFull bool) (wait time.Duration, presenceAt time.Time, found bool) {
	for _, m := range f.ConnectedMembers(now, region) {
		if !orFull && slices.Contains(m.FullServices, service) {
			continue
		}
		if waits := m.ExpectedWaits[service]; rank < len(waits) && (!found || waits[rank] < wait) {
			wait, presenceAt, found = waits[rank], m.LastPresenceAt, true
		}
	}
	return wait, presenceAt, found
}

// HasRoom reports whether a region has room for streams of routes of a rank, as at least half of its VMs see it.
func (f *Fleet) HasRoom(now time.Time, region, service string, rank int) bool {
	room, full := 0, 0
	for _, m := range f.ConnectedMembers(now, region) {
		if from := m.FullFrom[service]; from > 0 && rank >= from-1 {
			full++
		} else {
			room++
		}
	}
	return room >= full
}

// HasLocalRunner reports whether another VM of this region, except those that were tried, can run the service.
func (f *Fleet) HasLocalRunner(now time.Time, service string, tried []string) bool {
	return len(f.runners(now, f.Endpoint.Self.Region, service, tried)) > 0
}

// runners returns the connected VMs of a region that can run the service, except those that were tried. A VM of another region says so by an
// expected wait, one of this region is not cut from the upstreams of the service.
func (f *Fleet) runners(now time.Time, region, service string, tried []string) []Member {
	return slices.DeleteFunc(f.ConnectedMembers(now, region), func(m Member) bool {
		if slices.Contains(tried, m.Slot) || slices.Contains(m.CutServices, service) {
			return true
		}
		return m.remote && len(m.ExpectedWaits[service]) == 0
	})
}

// ErrNoVM means that no VM of the region can run the request.
var ErrNoVM = errors.New("no vm of the region can run the request")

// OpenStream starts a stream to a VM of a region that can run the service, and returns the VM's name. Of two random
// VMs it picks the one with fewer open requests.
func (f *Fleet) OpenStream(ctx context.Context, now time.Time, region, service string, open *vmwire.Open, tried []string) (string, *vm.Stream, error) {
	list := f.runners(now, region, service, tried)
	if len(list) == 0 {
		return "", nil, ErrNoVM
	}
	if withRoom := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return slices.Contains(m.FullServices, service) }); len(withRoom) > 0 {
		list = withRoom
	}
	m := list[rand.IntN(len(list))]
	if other := list[rand.IntN(len(list))]; other.OpenRequests < m.OpenRequests {
		m = other
	}
	s := f.session(m.Slot)
	if s == nil {
		return "", nil, ErrNoVM
	}
	st, err := s.OpenStream(ctx, open)
	return m.Slot, st, err
}

// StoreRank returns the number of other VMs of this region that reach the store and have a lower name.
func (f *Fleet) StoreRank(now time.Time) int {
	rank := 0
	for _, m := range f.storeReaders(now, f.Endpoint.Self.Region) {
		if m.Slot < f.Endpoint.Self.Slot {
			rank++
		}
	}
	return rank
}

// storeReaders returns the connected ready VMs of a region with current knowledge of withdrawn keys and a reachable store.
func (f *Fleet) storeReaders(now time.Time, region string) []Member {
	return slices.DeleteFunc(f.ConnectedMembers(now, region), func(m Member) bool { return !m.KeysCurrent || m.StoreDown })
}

// SendStoreQuery sends a store query to the first VM by name of this region that reaches the store, or else to one of
// another region, and returns the VM's name. It reports false if no VM took the query.
func (f *Fleet) SendStoreQuery(now time.Time, question *vmwire.StoreQuery) (string, bool) {
	for _, region := range append([]string{f.Endpoint.Self.Region}, f.Regions(now)...) {
		for _, reader := range f.storeReaders(now, region) {
			if s := f.session(reader.Slot); s != nil && s.SendControl(vmwire.KindStoreQuery, question) {
				return reader.Slot, true
			}
		}
	}
	return "", false
}

// SendStoreQueryTo sends a store query to a VM. It reports false if the VM did not take it.
func (f *Fleet) SendStoreQueryTo(slot string, query *vmwire.StoreQuery) bool {
	s := f.session(slot)
	return s != nil && s.SendControl(vmwire.KindStoreQuery, query)
}

// LatestConfig returns the highest version of the configuration that a live VM has, and whether one of these VMs was running
// settleTime before this one started, so that it has followed the changes.
func (f *Fleet) LatestConfig(now time.Time, settleTime time.Duration) (version uint64, settled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.Alive(now) && m.ConfigVersion > 0 {
			version = max(version, m.ConfigVersion)
			settled = settled || f.Endpoint.Self.StartedAt.Sub(m.StartedAt) > settleTime
		}
	}
	return version, settled
}

// SeenSince reports whether a presence of any other VM has arrived since a time.
func (f *Fleet) SeenSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.LastPresenceAt.After(since) {
			return true
		}
	}
	return false
}

// FoundNone reports whether this VM knows the address of another VM, or of a seed, but has received nothing from any.
func (f *Fleet) FoundNone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members) == 0 && f.knowsOthers()
}

// KnowsOthers reports whether this VM knows the address of another VM, or of a seed.
func (f *Fleet) KnowsOthers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.knowsOthers()
}

func (f *Fleet) knowsOthers() bool {
	for _, c := range f.candidates {
		if c.slot != f.Endpoint.Self.Slot {
			return true
		}
	}
	return false
}

// Broadcast sends a message over all sessions, or with sameRegion only to VMs of this region. It returns the number of VMs that it was
// sent to.
func (f *Fleet) Broadcast(kind uint8, m msgp.Marshaler, sameRegion bool) int {
	sent := 0
	for _, slot := range f.connectedSlots() {
		if s := f.session(slot); s != nil && !(sameRegion && f.remote(s)) && s.SendControl(kind, m) {
			sent++
		}
	}
	return sent
}

// SendToOtherRegions sends a message over the sessions with VMs of other regions, and returns their number.
func (f *Fleet) SendToOtherRegions(kind uint8, m msgp.Marshaler) int {
	sent := 0
	for _, slot := range f.connectedSlots() {
		if s := f.session(slot); s != nil && f.remote(s) && s.SendControl(kind, m) {
			sent++
		}
	}
	return sent
}

// SendTo sends a message to a VM. It reports false if the VM did not take it.
func (f *Fleet) SendTo(slot string, kind uint8, m msgp.Marshaler) bool {
	s := f.session(slot)
	return s != nil && s.SendControl(kind, m)
}

// BroadcastSuspect sends the state of a suspect request over all sessions, or with sameRegion only to VMs of this
// region.
func (f *Fleet) BroadcastSuspect(suspect *vmwire.SuspectRequest, sameRegion bool) {
	for _, s := range f.allSessions() {
		if !sameRegion || !f.remote(s) {
			s.SendControl(vmwire.KindSuspectRequest, suspect)
		}
	}
}

// BroadcastParts sends a report on suspected prompt parts over all sessions, or with sameRegion only to VMs of this region.
func (f *Fleet) BroadcastParts(report *vmwire.PartReport, sameRegion bool) {
	for _, s := range f.allSessions() {
		if !sameRegion || !f.remote(s) {
			s.SendControl(vmwire.KindPartReport, report)
		}
	}
}

// BroadcastLoss reports an upstream that this VM does not reach to all VMs of this region.
func (f *Fleet) BroadcastLoss(loss *vmwire.UpstreamLoss) {
	for _, s := range f.allSessions() {
		if !f.remote(s) {
			s.SendControl(vmwire.KindUpstreamLoss, loss)
		}
	}
}

// BroadcastLimits sends the rate limits of upstreams to all VMs of this region.
func (f *Fleet) BroadcastLimits(limits *vmwire.UpstreamLimits) {
	for _, s := range f.allSessions() {
		if !f.remote(s) {
			s.SendControl(vmwire.KindUpstreamLimits, limits)
		}
	}
}

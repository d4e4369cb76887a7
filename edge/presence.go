package edge

import (
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/place"
	"parsleyhatch/quota"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/vmwire"
)

// FillPresence fills in the state that this VM reports to other VMs: all of it if full is set, otherwise the
// recent changes.
func (e *Edge) FillPresence(now time.Time, p *vmwire.Presence, sameRegion, full bool) {
	e.divideUpstreamBounds(now)
	e.collectPressures(now)
	e.fillPressures(now, p)
	if e.acceptsRequests(now) {
		p.Flags |= vmwire.FlagReady
	}
	if leaving, _ := e.isLeaving(now); leaving {
		p.Flags |= vmwire.FlagLeaving
	}
	if e.keysFresh(now) {
		p.Flags |= vmwire.FlagKeysCurrent
	}
	if e.Watcher.StoreDown() {
		p.Flags |= vmwire.FlagStoreDown
	}
	p.Open = int32(e.OpenRequests())
	p.CutServices = e.Replicas.LendShares(now, e.Fleet.CutRetention())
	p.RunningSeconds = int32(min(now.Sub(e.startedAt).Seconds(), vmwire.MaxRunningSeconds))
	if full && e.Quota.Settled(now) {
		p.Flags |= vmwire.FlagUsageKnown
	}
	p.Weight = int32(e.weight())
	p.RegionVMs = int32(e.Fleet.SameRegionCount(now))
	e.describeUsage(now, p, sameRegion, full)
	if sameRegion {
		e.fillShares(now, p, full)
		e.fillPromises(now, p)
	}
	if t := e.table(); t != nil {
		p.ConfigVersion = t.Config.Version
		if !sameRegion { // VMs of this region choose upstreams themselves.
			e.describeWaits(now, t, p)
		}
	}
}

// describeUsage adds the usage that this VM reports: its own within the region, and that of the region to other ones. The
// levels are only for VMs that have started, which get a full presence.
func (e *Edge) describeUsage(now time.Time, p *vmwire.Presence, sameRegion, full bool) {
	var reports map[string]quota.Report
	switch {
	case sameRegion:
		reports = e.Quota.Reports(now, full)
	case e.Fleet.ReportsUsage(now):
		p.Flags |= vmwire.FlagRegionUsage
		reports = e.Quota.RegionReports(now, full)
	}
	for workspace, r := range reports {
		usage := vmwire.WorkspaceUsage{Workspace: workspace, Amount: r.Spent}
		if full {
			usage.Level = r.Level
		}
		p.Spent = append(p.Spent, usage)
	}
}

func (e *Edge) describeWaits(now time.Time, t *route.Table, p *vmwire.Presence) {
	for i := range t.Config.Services {
		s := &t.Config.Services[i]
		if e.Replicas.IsCut(s.Name) {
			continue
		}
		w := vmwire.ServiceWait{Service: s.Name, Millis: e.expectedWaits(now, s)}
		w.FullFrom = e.fullFrom(now, t, s)
		if len(w.Millis) == 0 {
			w.Millis, w.Full = e.waitsOnceRoom(now, s), true
		}
		if len(w.Millis) > 0 {
			p.Waits = append(p.Waits, w)
		}
	}
}

// expectedWaits returns the expected times to the first token of an empty prompt, in milliseconds by rank. It is
// empty if no upstream of the region is usable.
func (e *Edge) expectedWaits(now time.Time, s *route.Service) []int32 {
	return e.waitsByRank(now, replica.Request{Service: s})
}

// waitsOnceRoom is expectedWaits for the time at which an upstream that is full now has room again.
func (e *Edge) waitsOnceRoom(now time.Time, s *route.Service) []int32 {
	return e.waitsByRank(now, replica.Request{Service: s, IgnoreRoom: true})
}

func (e *Edge) waitsByRank(now time.Time, q replica.Request) []int32 {
	var expectedWaits []int32
	for q.Rank = range replica.RankCount {
		if pick, ok := e.estimateForOthers(now, q); ok {
			expectedWaits = append(expectedWaits, int32(pick.Wait.Milliseconds()))
		}
	}
	return expectedWaits
}

// estimateForOthers returns the estimate that is reported to other regions. An upstream with a rate limit appears idle, but accepts few requests:
// it counts only if there is no other. One that pauses after a refusal counts if nothing else does and the pause ends before a request of
// another region arrives, since the report holds for much longer than the pause.
func (e *Edge) estimateForOthers(now time.Time, q replica.Request) (replica.Pick, bool) {
	q.SkipLimited = true
	if pick, ok := e.Replicas.Estimate(now, q); ok {
		return pick, true
	}
	q.SkipLimited = false
	if pick, ok := e.Replicas.Estimate(now, q); ok {
		return pick, true
	}
	q.ArrivesIn = place.LinkDelay
	return e.Replicas.Estimate(now, q)
}

// ApplyPresence applies the state that another VM reported.
func (e *Edge) ApplyPresence(now time.Time, m fleet.Member, p *vmwire.Presence) {
	e.followConfig(now, m.Slot, p.ConfigVersion)
	reports := make(map[string]quota.Report, len(p.Spent))
	for _, s := range p.Spent {
		reports[s.Workspace] = quota.Report{Spent: s.Amount, Level: s.Level}
	}
	e.Retries.SetVMs(e.Quota.VMs())
	origin := quota.Sender{Name: m.Slot, Incarnation: m.Incarnation, VMs: 1, Settled: p.Flags&vmwire.FlagUsageKnown != 0}
	if m.Region != e.Settings.Region {
		// Each VM of a region reports totals for the whole region, so the report of one VM counts.
		if m.ReportsUsage {
			origin.Name, origin.Reporter, origin.VMs, origin.OtherRegion = "region "+m.Region, m.Slot, int(p.RegionVMs), true
			origin.Standby = e.Fleet.UsageReporter(now, m.Region) != m.Slot
			e.Quota.ApplyReports(now, origin, reports)
		}
		return
	}
	e.applyPromises(now, m, p)
	origin.Interval = m.PresenceInterval
	e.Quota.ApplyReports(now, origin, reports)
	e.applyShares(now, m, p)
}

// divideUpstreamBounds divides the bounds of upstreams among the known VMs of the region.
func (e *Edge) divideUpstreamBounds(now time.Time) {
	slots := e.Fleet.SameRegionSlots(now)
	e.Replicas.SetVMs(e.Settings.Name, slots, e.sharers(now, len(slots)))
	e.Replicas.SetCutVMs(e.Fleet.CutVMs(now))
	e.othersLoad.Store(e.loadOfOthers(now))
}

// hundredth is the unit of relative loads.
const hundredth = 100

// loadOfOthers returns the load of the other VMs of this region relative to that of this one, in hundredths: callers are spread by the
// capacities of the VMs.
func (e *Edge) loadOfOthers(now time.Time) int64 {
	sum, known := 0, 1
	for _, m := range e.Fleet.ReadyMembers(now, e.Settings.Region) {
		sum += max(1, m.Weight)
		known++
	}
	// VMs that are not known yet send requests, too.
	unknown := max(0, e.Fleet.SameRegionCount(now)-known)
	return int64(hundredth*sum/e.weight() + hundredth*unknown)
}

// weight returns this VM's capacity in hundredths of a core, limited by the bandwidth of its link.
func (e *Edge) weight() int {
	s := e.Settings
	return max(1, int(100*min(s.Cores, s.LinkMbps/linkMbpsPerCore)))
}

// linkMbpsPerCore is the bandwidth that the load of one core needs, in Mbit/s: about 250 prompts of 10 KB per
// second.
const linkMbpsPerCore = 20

// sharers returns the number of VMs that share the bounds of an upstream if n are known. A VM counts those that another VM knows, and
// one that has just started assumes a minimum, since it does not know all of them yet, unless a VM of its region that has run for longer
// has counted them.
func (e *Edge) sharers(now time.Time, n int) int {
	n = max(n, e.Fleet.ReportedRegionCount(now))
	switch age := max(now.Sub(e.startedAt), e.Fleet.LongestRun(now)); {
	case age < initialDiscoveryTime:
		return max(n, initialSharers)
	case age < discoveryTime, e.Fleet.FoundNone():
		return max(n, minSharersInDiscovery)
	default:
		return n
	}
}

const (
	// initialDiscoveryTime is the time after its start in which a VM discovers most other VMs. Until then, it
	// assumes at least initialSharers VMs in its region, because all of them may start at once.
	initialDiscoveryTime = 3 * time.Second
	initialSharers       = 32
	// discoveryTime is the time after its start in which a VM discovers all other VMs. Until then, and until it has found
	// one, it assumes at least minSharersInDiscovery VMs in its region.
	discoveryTime         = 15 * time.Second
	minSharersInDiscovery = 4
)

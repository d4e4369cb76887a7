package edge

import (
	"time"

	"parsleyhatch/quota"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Describe fills in what this VM shares with the others: all of it, or what has changed lately.
func (e *Edge) Describe(now time.Time, p *vmwire.Presence, sameRegion, whole bool) {
	e.shareBounds(now)
	if e.accepts(now) {
		p.Flags |= vmwire.FlagReady
	}
	if leaving, _ := e.isLeaving(now); leaving {
		p.Flags |= vmwire.FlagLeaving
	}
	if e.keysFresh(now) {
		p.Flags |= vmwire.FlagFresh
	}
	if e.Source.Down() {
		p.Flags |= vmwire.FlagStoreDown
	}
	p.Open = int32(e.Open())
	if whole && e.Quota.Settled(now) {
		p.Flags |= vmwire.FlagSettled
	}
	p.Weight = int32(e.weight())
	p.RegionVMs = int32(e.Fleet.Sharers(now))
	reports := e.Quota.Reports(now, whole)
	if !sameRegion {
		reports = e.Quota.RegionReports(now, whole)
	}
	for workspace, r := range reports {
		p.Spent = append(p.Spent, vmwire.WorkspaceSpent{Workspace: workspace, Amount: r.Spent, Level: r.Level})
	}
	if t := e.table(); t != nil {
		p.ConfigVersion = t.Config.Version
		e.describeWaits(now, t, p)
	}
}

func (e *Edge) describeWaits(now time.Time, t *route.Table, p *vmwire.Presence) {
	for i := range t.Config.Services {
		s := &t.Config.Services[i]
		if waits := e.waits(now, s); len(waits) > 0 {
			p.Waits = append(p.Waits, vmwire.ServiceWait{Service: s.Name, Millis: waits})
		}
	}
}

// waits returns the expected times to the first token of an empty prompt, in milliseconds by rank, or nothing if
// no upstream of the region is usable.
func (e *Edge) waits(now time.Time, s *route.Service) []int32 {
	var waits []int32
	for rank := range replica.Ranks {
		if pick, ok := e.Replicas.Estimate(now, replica.Request{Service: s, Rank: rank}); ok {
			waits = append(waits, int32(pick.Wait.Milliseconds()))
		}
	}
	return waits
}

// Heard takes over what another VM shares.
func (e *Edge) Heard(now time.Time, m vm.Identity, p *vmwire.Presence) {
	reports := make(map[string]quota.Report, len(p.Spent))
	for _, s := range p.Spent {
		reports[s.Workspace] = quota.Report{Spent: s.Amount, Level: s.Level}
	}
	e.Retries.SetSlack(e.Settings.Bounds.RetrySlack / max(minSlackVMs, slackReserve*float64(e.Quota.VMs())))
	origin := quota.Origin{Name: m.Slot, Incarnation: m.Incarnation, VMs: 1, Settled: p.Flags&vmwire.FlagSettled != 0}
	if m.Region != e.Settings.Region {
		// Each VM of a region reports for all of it; one is enough.
		if e.Fleet.First(now, m.Region) == m.Slot {
			origin.Name, origin.VMs, origin.Far = "region "+m.Region, int(p.RegionVMs), true
			e.Quota.Heard(now, origin, reports)
		}
		return
	}
	e.Quota.Heard(now, origin, reports)
	e.shareBounds(now)
}

// shareBounds divides the bounds of upstreams among the VMs that are known now.
func (e *Edge) shareBounds(now time.Time) {
	e.Replicas.SetVMs(e.Settings.Name, e.Fleet.Near(now), e.sharers(now))
}

// weight is this VM's share of work, in hundredths of a core, bounded by what its link carries.
func (e *Edge) weight() int {
	s := e.Settings
	return max(1, int(100*min(s.Cores, s.LinkMbps/linkPerCore)))
}

// linkPerCore is the bandwidth that a core's work takes, in Mbit/s: about 250 prompts a second of 10 KB.
const linkPerCore = 20

// sharers returns the number of VMs that share the bounds of an upstream. A VM that has just started has not
// heard of all of them yet.
func (e *Edge) sharers(now time.Time) int {
	n := e.Fleet.Sharers(now)
	switch age := now.Sub(e.started); {
	case age < firstMeetingTime:
		return max(n, startSharers)
	case age < meetingTime:
		return max(n, unknownSharers)
	default:
		return n
	}
}

const (
	// firstMeetingTime is the time in which a VM that starts hears of most others, and startSharers the number
	// of VMs of a region that is assumed up to then: all of them may start at once.
	firstMeetingTime = 3 * time.Second
	startSharers     = 32
	// meetingTime is the time in which it hears of all others, and unknownSharers the number that is assumed up
	// to then.
	meetingTime    = 15 * time.Second
	unknownSharers = 4
)

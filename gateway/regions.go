package gateway

import (
	"context"
	"slices"
	"time"

	"parsleyhatch/choose"
	"parsleyhatch/config"
	"parsleyhatch/vmwire"
)

const (
	// summaryInterval is the period at which a region's summary is sent to others.
	summaryInterval = time.Second
	// slowSummaryInterval applies with more than manyRegions regions, to keep the control messages
	// within their byte budget.
	slowSummaryInterval = 2 * time.Second
	manyRegions         = 9
	// summaryMaxAge is the age at which the entry VMs of a region expire.
	summaryMaxAge = 5 * time.Second
	// maxEntries bounds the entry VMs in a summary.
	maxEntries = 4
	// defaultLinkBytes and defaultLinkDelay describe a pair of regions without a configured link.
	defaultLinkBytes = 1e9 / 8
	defaultLinkDelay = 50 * time.Millisecond
)

func (g *Gateway) setProfiles() {
	for name := range g.Snapshot().Routes {
		g.choices.SetProfile(name, g.profiles.Get(name))
	}
}

// setLinks divides each link over the live VMs of the region.
func (g *Gateway) setLinks(now time.Time, s *config.Snapshot) {
	vms := len(g.members.LiveSlots(now, g.Self.Region))
	for i := range s.File.Regions {
		name := s.File.Regions[i].Name
		if name == g.Self.Region {
			continue
		}
		link := choose.Link{Region: name, OneWay: defaultLinkDelay, BytesPerSecond: defaultLinkBytes, VMs: vms}
		if l := s.Links[[2]string{g.Self.Region, name}]; l != nil {
			link.OneWay = time.Duration(l.OneWayMillis * float64(time.Millisecond))
			link.BytesPerSecond = l.MegabitsPerSecond * 1e6 / 8
		}
		g.choices.SetLink(now, link)
	}
}

// tickSummary sends this region's summary to the representatives of the others.
func (g *Gateway) tickSummary(now time.Time) {
	s := g.Snapshot()
	interval := summaryInterval
	if s != nil && len(s.File.Regions) > manyRegions {
		interval = slowSummaryInterval
	}
	if s == nil || now.Sub(g.lastSummary) < interval {
		return
	}
	g.lastSummary = now
	slots := g.members.CrossRegionTargets(now)
	if len(slots) == 0 {
		return
	}
	summary := g.summary(now, s)
	for _, slot := range slots {
		if session := g.sessions.get(slot); session != nil {
			session.SendControl(vmwire.KindSummary, summary)
		}
	}
}

func (g *Gateway) summary(now time.Time, s *config.Snapshot) *vmwire.Summary {
	w := &vmwire.Summary{Region: g.Self.Region, Entries: g.ownEntries(now)}
	view := g.view.Load()
	for name := range s.Routes {
		c := view.Capacity(name)
		if c.Slots == 0 {
			continue
		}
		w.Pools = append(w.Pools, vmwire.PoolSummary{
			Route: name, Slots: c.Slots, Outstanding: c.Outstanding,
			FirstTokenMillis: c.FirstToken.Milliseconds(), RunMillis: c.RunTime.Milliseconds(),
		})
	}
	return w
}

// ownEntries lists the least loaded VMs of the region that accept requests.
func (g *Gateway) ownEntries(now time.Time) []vmwire.IngressVM {
	var list []vmwire.IngressVM
	for _, slot := range g.members.LiveSlots(now, g.Self.Region) {
		row, _ := g.members.Row(slot)
		queue := g.peerQueues[slot]
		if slot == g.Self.Slot {
			queue = int32(g.streams.count())
		}
		if row.Ready && !row.Leaving {
			list = append(list, vmwire.IngressVM{Slot: slot, Queue: queue})
		}
	}
	slices.SortStableFunc(list, func(a, b vmwire.IngressVM) int { return int(a.Queue - b.Queue) })
	return list[:min(len(list), maxEntries)]
}

// onSummary records the summary of another region. The first VM of a region that receives it
// forwards it to the others of its region.
func (g *Gateway) onSummary(ctx context.Context, m controlMessage) {
	var w vmwire.Summary
	if !g.decode(m, &w) || w.Region == g.Self.Region {
		return
	}
	now := g.Now()
	at := now.Add(-w.Age.Duration())
	if !at.After(g.entryVMs[w.Region].at) {
		return
	}
	if _, known := g.entryVMs[w.Region]; !known {
		g.fleetChanged = true
	}
	g.entryVMs[w.Region] = regionEntries{at: at, list: w.Entries}
	pools := make(map[string]choose.Capacity, len(w.Pools))
	for _, p := range w.Pools {
		pools[p.Route] = choose.Capacity{Slots: p.Slots, Outstanding: p.Outstanding, Profile: choose.Profile{
			FirstToken: time.Duration(p.FirstTokenMillis) * time.Millisecond,
			RunTime:    time.Duration(p.RunMillis) * time.Millisecond,
		}}
	}
	g.choices.RecordSummary(at, w.Region, pools)
	if m.from.Peer.Region != w.Region {
		return
	}
	w.Age = vmwire.AgeOf(now, at)
	for _, slot := range g.members.LiveSlots(now, g.Self.Region) {
		if s := g.sessions.get(slot); s != nil {
			s.SendControl(vmwire.KindSummary, &w)
		} else {
			g.dial(ctx, slot)
		}
	}
}

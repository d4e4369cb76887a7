package gateway

import (
	"slices"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/directory"
	"parsleyhatch/limit"
	"parsleyhatch/member"
	"parsleyhatch/vmwire"
)

// fleetInterval is the period of rebuilding the view of the VMs when no VM's state has changed. A
// rebuild takes time in proportion to the size of the roster.
const fleetInterval = 500 * time.Millisecond

// regionEntries are the VMs of another region that accept forwarded requests.
type regionEntries struct {
	at   time.Time
	list []vmwire.IngressVM
}

// fleetView is the view of the VMs that request goroutines read. It is immutable.
type fleetView struct {
	// vms are those of the own region, and the entry VMs of others.
	vms []directory.VM
	// info lists the roster for the status.
	info []VMStatus
}

// VMStatus is the state of a VM in Status.
type VMStatus struct {
	Name        string `json:"name"`
	Region      string `json:"region"`
	Address     string `json:"address"`
	Alive       bool   `json:"alive"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	Queue       int    `json:"queue"`
	Incarnation uint64 `json:"incarnation"`
}

// publishViews builds the views that request goroutines read.
func (g *Gateway) publishViews(now time.Time) {
	snapshot := g.Snapshot()
	if snapshot == nil {
		return
	}
	g.setProfiles()
	g.setLinks(now, snapshot)
	g.view.Store(g.choices.BuildView(now))
	if !g.fleetChanged && now.Sub(g.lastFleet) < fleetInterval {
		return
	}
	g.fleetChanged, g.lastFleet = false, now
	f := &fleetView{}
	for i := range snapshot.File.VMs {
		m := &snapshot.File.VMs[i]
		f.addVM(now, g, m)
	}
	g.fleet.Store(f)
}

// addVM appends one VM of the roster.
func (f *fleetView) addVM(now time.Time, g *Gateway, m *config.VM) {
	row, ok := g.members.Row(m.Name)
	if !ok {
		return
	}
	info := VMStatus{
		Name: m.Name, Region: m.Region, Address: m.CallerAddress,
		Alive: g.members.Alive(now, m.Name), Ready: row.Ready, Leaving: row.Leaving,
		Queue: int(g.peerQueues[m.Name]), Incarnation: row.Incarnation.Number,
	}
	if m.Name == g.Self.Slot {
		info.Ready, info.Leaving, info.Queue = g.ready.Load(), g.leaving.Load(), g.streams.count()
	}
	if m.Region != g.Self.Region {
		g.fillFromSummary(now, &info)
	}
	f.info = append(f.info, info)
	v := directory.VM{
		Slot: m.Name, Region: m.Region, FailureDomain: m.FailureDomain,
		Listed: row.ListedLive, ListedLeaving: row.ListedLeaving,
		Ready: info.Ready, Leaving: info.Leaving, Queue: info.Queue, QueueLimit: g.Settings.MaxStreams,
	}
	switch {
	case info.Alive:
		v.Heartbeat = now
	case row.Incarnation.Number != 0:
		v.Heartbeat = now.Add(-member.HeartbeatTimeout) // The VM has been silent at least since this time.
	}
	f.vms = append(f.vms, v)
}

// fillFromSummary sets the state of another region's VM from the region's summary, if the summary
// is not older than summaryMaxAge. Heartbeats are not sufficient: most VMs of other regions only
// acknowledge ours, and an acknowledgement does not contain whether its sender is ready. A VM that
// is missing from the summary gets no forwarded requests.
func (g *Gateway) fillFromSummary(now time.Time, info *VMStatus) {
	entryVMs, ok := g.entryVMs[info.Region]
	if !ok || now.Sub(entryVMs.at) > summaryMaxAge {
		return
	}
	for _, e := range entryVMs.list {
		if e.Slot == info.Name {
			info.Leaving = info.Alive && info.Leaving
			info.Alive, info.Ready, info.Queue = true, true, int(e.Queue)
			return
		}
	}
	info.Ready = false
}

// VMs lists the roster as this VM sees it, itself included.
func (g *Gateway) VMs() []VMStatus { return g.fleet.Load().info }

// OtherVMs returns the VMs of the own region that accept requests, or of all regions if there is none.
func (g *Gateway) OtherVMs(s *config.Snapshot) []*config.VM {
	var own, all []*config.VM
	for _, info := range g.VMs() {
		m := s.VMs[info.Name]
		if m == nil || info.Name == g.Self.Slot || !info.Alive || !info.Ready || info.Leaving {
			continue
		}
		all = append(all, m)
		if info.Region == g.Self.Region {
			own = append(own, m)
		}
	}
	if len(own) == 0 {
		return all
	}
	return own
}

// Directory returns the VMs that a caller of the workspace should use, best first.
func (g *Gateway) Directory(now time.Time, s *config.Snapshot, r *config.Route, w *config.Workspace, callerRegion string) []*config.VM {
	allowed := s.AllowedRegions(r, w)
	var holders []string
	for _, region := range allowed {
		holders = append(holders, limit.Holders(w.Name, region, s.File.VMs)...)
	}
	if callerRegion == "" {
		callerRegion = w.Home
	}
	slots := directory.Order(now, g.fleet.Load().vms, directory.Query{
		Workspace: w.Name, Allowed: allowed, Holders: holders, Region: callerRegion,
	})
	list := make([]*config.VM, 0, len(slots))
	for _, slot := range slots {
		if m := s.VMs[slot]; m != nil {
			list = append(list, m)
		}
	}
	return list
}

// Tickets returns idempotency tickets that this incarnation owns, if this VM may run the calls.
func (g *Gateway) Tickets(now time.Time, s *config.Snapshot, r *config.Route, w *config.Workspace, n int) []string {
	if r.Idempotent || !g.Ready() || !slices.Contains(s.AllowedRegions(r, w), g.Self.Region) {
		return nil
	}
	tickets := make([]string, 0, n)
	for range n {
		tickets = append(tickets, g.calls.IssueTicket(now, w.Name))
	}
	return tickets
}

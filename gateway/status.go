package gateway

import (
	"fmt"

	"parsleyhatch/config"
)

// Status is the state of a VM as operators see it.
type Status struct {
	Slot          string           `json:"slot"`
	Incarnation   uint64           `json:"incarnation"`
	Region        string           `json:"region"`
	FailureDomain string           `json:"failureDomain"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	ConfigVersion config.Version   `json:"configVersion"`
	VMs           []VMStatus       `json:"vms"`
	Upstreams     []UpstreamStatus `json:"upstreams"`
	OpenStreams   int              `json:"openStreams"`
	// Workspaces lists the tokens that this slot holds.
	Workspaces []WorkspaceStatus `json:"workspaces"`
	Problems   []string          `json:"problems"`
}

// UpstreamStatus is the state of an upstream of the own region.
type UpstreamStatus struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Running is the number of running and waiting requests of all VMs in the last load report.
	Running int `json:"running"`
	// Outstanding is the number of requests that this VM runs there.
	Outstanding int `json:"outstanding"`
}

// WorkspaceStatus is this slot's share of a workspace's tokens.
type WorkspaceStatus struct {
	Name  string `json:"name"`
	Level int64  `json:"level"`
	Cap   int64  `json:"cap"`
}

// Status returns the VM's state.
func (g *Gateway) Status() Status {
	s := Status{
		Slot:          g.Self.Slot,
		Incarnation:   g.Self.Incarnation,
		Region:        g.Self.Region,
		FailureDomain: g.Self.FailureDomain,
		Ready:         g.ready.Load(),
		Leaving:       g.leaving.Load(),
		VMs:           g.VMs(),
		OpenStreams:   g.streams.count(),
	}
	snapshot := g.Snapshot()
	if snapshot == nil {
		s.Problems = append(s.Problems, "no configuration has been accepted yet")
		return s
	}
	s.ConfigVersion = snapshot.Version
	s.Upstreams = g.upstreamStatus(snapshot)
	for _, l := range g.tokens.Levels(g.Now()) {
		s.Workspaces = append(s.Workspaces, WorkspaceStatus{Name: l.Workspace, Level: l.Level, Cap: l.Cap})
	}
	s.Problems = append(s.Problems, g.problems()...)
	s.Problems = append(s.Problems, unorderedEngines(snapshot, g.Self.Region)...)
	return s
}

// upstreamStatus lists the upstreams of the own region.
func (g *Gateway) upstreamStatus(s *config.Snapshot) []UpstreamStatus {
	var list []UpstreamStatus
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if u.Region != g.Self.Region {
			continue
		}
		state := u.State
		if state == "" {
			state = config.StateActive
		}
		list = append(list, UpstreamStatus{Name: u.Name, State: state, Running: g.running.ReportedLoad(u.Name), Outstanding: g.running.Count(u.Name)})
	}
	return list
}

// problems lists the conditions that need an operator's attention.
func (g *Gateway) problems() []string {
	var list []string
	dead := 0
	for _, info := range g.VMs() {
		if info.Region == g.Self.Region && !info.Alive {
			dead++
		}
	}
	if dead > 0 {
		list = append(list, fmt.Sprintf("%d vms of the region do not respond", dead))
	}
	return list
}

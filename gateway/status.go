package gateway

import (
	"time"

	"parsleyhatch/config"
)

// Status is what operators see of a VM.
type Status struct {
	Slot          string           `json:"slot"`
	Incarnation   uint64           `json:"incarnation"`
	Region        string           `json:"region"`
	FailureDomain string           `json:"failureDomain"`
	Ready         bool             `json:"ready"`
	Leaving       bool             `json:"leaving"`
	ConfigVersion config.Version   `json:"configVersion"`
	VMs           []PeerInfo       `json:"vms"`
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
	// Running is the number of requests in the last load report.
	Running int `json:"running"`
	// Outstanding is the number of requests that this VM has there.
	Outstanding int `json:"outstanding"`
}

// WorkspaceStatus is this slot's share of a workspace's tokens.
type WorkspaceStatus struct {
	Name  string `json:"name"`
	Level int64  `json:"level"`
	Cap   int64  `json:"cap"`
}

// Status returns the VM's state.
func (g *Gateway) Status(now time.Time) Status {
	s := Status{
		Slot:          g.Self.Slot,
		Incarnation:   g.Self.Incarnation,
		Region:        g.Self.Region,
		FailureDomain: g.Self.FailureDomain,
		Ready:         g.ready.Load(),
		Leaving:       g.leaving.Load(),
		VMs:           g.VMs(now),
		OpenStreams:   g.streams.count(),
	}
	snapshot := g.Snapshot()
	if snapshot == nil {
		s.Problems = append(s.Problems, "no configuration has been accepted yet")
		return s
	}
	s.ConfigVersion = snapshot.Version
	s.Upstreams = g.upstreamStatus(snapshot, now)
	return s
}

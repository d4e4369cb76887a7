package vmwire

import (
	"fmt"
	"testing"
)

// BenchmarkPresence reports the size of a presence within a region and between regions.
func BenchmarkPresence(b *testing.B) {
	for _, c := range []struct {
		name                         string
		workspaces, upstreams, costs int
	}{
		{"near/5 workspaces/9 upstreams", 5, 9, 2},
		{"near/16 workspaces/20 upstreams", 16, 20, 2},
		{"near/100 workspaces/60 upstreams", 100, 60, 8},
		{"far/16 workspaces", 16, 0, 2},
		{"far/100 workspaces", 100, 0, 8},
	} {
		b.Run(c.name, func(b *testing.B) {
			p := &Presence{Address: "10.1.0.25:8229", CallerAddress: "10.1.0.25:8221", Weight: 40, RegionVMs: 21, ConfigVersion: 1000}
			for i := range c.workspaces {
				p.Spent = append(p.Spent, WorkspaceSpent{Workspace: fmt.Sprintf("wksp%d", i), Amount: 1 << 24, Level: 1 << 20})
			}
			for i := range c.upstreams {
				p.Uses = append(p.Uses, UpstreamUse{Upstream: fmt.Sprintf("i-%010x", i), Running: 9, Prefill: []int64{2000, 9000, 0}, Held: 90000})
			}
			for i := range c.costs {
				p.Costs = append(p.Costs, ServiceCost{Service: fmt.Sprintf("svc%d", i), CostMillis: 120})
			}
			size := 0
			for b.Loop() {
				data, err := p.MarshalMsg(nil)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

package vmwire

import (
	"fmt"
	"testing"

	"github.com/tinylib/msgp/msgp"
)

// BenchmarkPresence reports the encoded size of a presence by number of workspaces and services, in bytes.
func BenchmarkPresence(b *testing.B) {
	for _, c := range []struct {
		name                 string
		workspaces, services int
	}{
		{"5 workspaces", 5, 2},
		{"16 workspaces", 16, 2},
		{"100 workspaces", 100, 8},
	} {
		b.Run(c.name, func(b *testing.B) {
			p := &Presence{Address: "10.1.0.25:8229", CallerAddress: "10.1.0.25:8221", Weight: 40, RegionVMs: 21, ConfigVersion: 1000}
			for i := range c.workspaces {
				p.Spent = append(p.Spent, WorkspaceUsage{Workspace: fmt.Sprintf("wksp%d", i), Amount: 1 << 24, Level: 1 << 20})
			}
			for i := range c.services {
				p.Waits = append(p.Waits, ServiceWait{Service: fmt.Sprintf("svc%d", i), Millis: []int32{120, 130, 130}})
			}
			benchmarkSize(b, p)
		})
	}
}

// BenchmarkUses reports the encoded size of a load report, in bytes: full reports on 9 to 60 upstreams, and the
// changes of a tenth of a second, which concern about 2.
func BenchmarkUses(b *testing.B) {
	for _, upstreams := range []int{2, 9, 20, 60} {
		b.Run(fmt.Sprintf("%d upstreams", upstreams), func(b *testing.B) {
			m := &UpstreamLoads{}
			for i := range upstreams {
				m.Uses = append(m.Uses, SenderLoad{Upstream: fmt.Sprintf("i-%010x", i), Running: 9, Prefill: []int64{2000, 9000, 0}, Held: 90000})
			}
			benchmarkSize(b, m)
		})
	}
}

func benchmarkSize(b *testing.B, m msgp.Marshaler) {
	size := 0
	for b.Loop() {
		data, err := m.MarshalMsg(nil)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}

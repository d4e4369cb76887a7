package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"parsleyhatch/config"
)

var workspaceCounts = []int{100, 1000, 5900}

func benchShares(n int) []Share {
	shares := make([]Share, n)
	for i := range shares {
		shares[i] = Share{Workspace: fmt.Sprint("workspace-", i), Slot: "a", Rate: 1e6, Burst: 1e9, TotalRate: 1e6, TotalBurst: 1e9}
	}
	return shares
}

func benchTable(shares []Share) (*Table, time.Time) {
	t := New("a")
	t.Configure(epoch, shares)
	return t, runTable(t, epoch.Add(IncreaseDelay), 10*time.Second)
}

// BenchmarkTakeSettle measures the admission and settlement of one request, and the memory per workspace.
func BenchmarkTakeSettle(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			shares := benchShares(n)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			t, now := benchTable(shares)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				if i%1000 == 0 {
					t.ExtendLease(now, now, now.Add(MaxLease))
				}
				c, _ := t.Take(now, shares[i%n].Workspace, 100)
				t.Settle(now, c, 60)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/workspace")
		})
	}
}

// BenchmarkTick measures a tick when nothing expires, which is the usual case.
func BenchmarkTick(b *testing.B) {
	for _, n := range workspaceCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, now := benchTable(benchShares(n))
			for range b.N {
				now = now.Add(100 * time.Millisecond)
				t.Tick(now)
			}
		})
	}
}

// BenchmarkShares measures the computation of all shares at the target scale. It is repeated for each new
// configuration.
func BenchmarkShares(b *testing.B) {
	var vms []config.VM
	shares := map[string]float64{}
	for i := range 730 {
		r := fmt.Sprint("region-", i%35)
		vms = append(vms, config.VM{Name: fmt.Sprint("vm-", i), Region: r, FailureDomain: fmt.Sprint(r, i%4)})
		shares[r] = 1.0 / 35
	}
	for name, split := range map[string]map[string]float64{"home": nil, "35regions": shares} {
		b.Run(name, func(b *testing.B) {
			workspaces := make([]config.Workspace, 5900)
			for i := range workspaces {
				workspaces[i] = config.Workspace{Name: fmt.Sprint("workspace-", i), Home: "region-1", Rate: 1e6, Burst: 1e9, RegionShares: split}
			}
			for b.Loop() {
				ComputeShares(workspaces, vms, "vm-1")
			}
		})
	}
}

package quota

import (
	"fmt"
	"testing"
	"time"

	"parsleyhatch/route"
)

// BenchmarkRegion measures the messages and charges of one VM in a region of 100 VMs with 40 workspaces.
func BenchmarkRegion(b *testing.B) {
	const vms, workspaces = 99, 40
	now := time.Unix(1000, 0)
	table := New(now)
	var list []route.Workspace
	for i := range workspaces {
		list = append(list, route.Workspace{Name: fmt.Sprintf("w%d", i), Rate: 1e6, Burst: 1e6})
	}
	table.Configure(now, list)
	spent := map[string]int64{}
	apply := func(i int) {
		now = now.Add(time.Millisecond)
		reports := map[string]Report{}
		for w := range 10 {
			name := list[(i+w)%workspaces].Name
			spent[name] += 10
			reports[name] = Report{Spent: spent[name]}
		}
		table.ApplyReports(now, Sender{Name: fmt.Sprintf("vm%d", i%vms), Interval: 1500 * time.Millisecond}, reports)
	}
	for i := range 10 * vms {
		apply(i)
	}
	b.Run("report", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			apply(i)
		}
	})
	b.Run("charge", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now = now.Add(time.Millisecond)
			table.Charge(now, list[i%workspaces].Name, 1)
		}
	})
	b.Run("ownReport", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			table.Reports(now, false)
		}
	})
	b.Run("regionReport", func(b *testing.B) {
		for b.Loop() {
			now = now.Add(time.Millisecond)
			table.RegionReports(now, false)
		}
	})
}

package directory

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyhatch/fixedseed"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.RunTests(m, fixedseed.Defaults{Seed: "1"})) }

// liveVMs returns three live VMs for each region.
func liveVMs() []VM {
	var list []VM
	for _, region := range []string{"norte", "centro", "sul"} {
		for i := range 3 {
			list = append(list, VM{
				Slot: fmt.Sprint(region, i), Region: region, FailureDomain: fmt.Sprint(region, i%2),
				Heartbeat: now.Add(-200 * time.Millisecond), Listed: true, Ready: true, QueueLimit: 100,
			})
		}
	}
	return list
}

// Guards against a wrong order of VMs and against VMs that must not be returned. Each case names its failure.
func TestOrder(t *testing.T) {
	all := []string{"norte", "centro", "sul"}
	home := Query{Workspace: "w", Allowed: []string{"norte"}, Holders: []string{"norte2", "sul0"}, Region: "norte"}
	cases := []struct {
		name   string // The failure that the case guards against.
		change func(v []VM)
		q      Query
		first  string
		absent string
	}{
		{"holder ignored", nil, home, "norte2", "sul0"},
		{"holder leaving", func(v []VM) { v[2].Leaving = true }, home, "", "norte2"},
		{"holder overloaded", func(v []VM) { v[2].Queue = 80 }, home, "", ""},
		{"holder dead but listed", func(v []VM) { v[2].Heartbeat = now.Add(-2 * time.Second) }, home, "", "norte2"},
		{"holder alive but not listed", func(v []VM) { v[2].Listed, v[2].ListedLeaving = false, true }, home, "norte2", ""},
		{"caller's region ignored", nil, Query{Workspace: "w", Allowed: all, Holders: []string{"norte2", "sul0"}, Region: "sul"}, "sul0", ""},
		{"holder of any region ignored", nil, Query{Workspace: "w", Allowed: all, Holders: []string{"centro1"}}, "centro1", ""},
		{"only leaving VM dropped", func(v []VM) {
			v[0].Leaving, v[1].Heartbeat, v[2].Heartbeat = true, time.Time{}, time.Time{}
			v[1].Listed, v[2].Listed = false, false
		}, home, "norte0", "norte2"},
		{"listed VM without a heartbeat before live ones", func(v []VM) { v[2].Heartbeat = time.Time{} }, home, "", ""},
	}
	for _, c := range cases {
		vms := liveVMs()
		if c.change != nil {
			c.change(vms)
		}
		got := Order(now, vms, c.q)
		if len(got) == 0 || (c.first != "" && got[0] != c.first) || slices.Contains(got, c.absent) {
			t.Errorf("%s: got %v", c.name, got)
		}
		if c.first == "" && got[0] == "norte2" {
			t.Errorf("%s: got %v first", c.name, got[0])
		}
	}
}

// Guards against results that contain VMs of regions that are not allowed or dead VMs, and against an empty
// result while a VM is live.
func TestOrderProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := liveVMs()
		for i := range vms {
			v := &vms[i]
			v.Leaving, v.Ready = rapid.Bool().Draw(rt, "leaving"), rapid.Bool().Draw(rt, "ready")
			v.Queue = rapid.IntRange(0, 120).Draw(rt, "queue")
			v.Heartbeat = now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(rt, "age")) * time.Millisecond)
		}
		allowed := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"norte", "centro", "sul"}), func(s string) string { return s }).Draw(rt, "allowed")
		limit := rapid.IntRange(0, 4).Draw(rt, "limit")
		got := Order(now, vms, Query{Workspace: "w", Allowed: allowed, Limit: limit})
		live, ready := 0, 0
		for _, v := range vms {
			alive := now.Sub(v.Heartbeat) < heartbeatTimeout && slices.Contains(allowed, v.Region)
			if !alive && slices.Contains(got, v.Slot) {
				rt.Fatalf("%s was returned although it is dead or not allowed", v.Slot)
			}
			if !alive {
				continue
			}
			live++
			if v.Ready && !v.Leaving {
				ready++
			} else if ready > 0 && len(got) > 0 && got[0] == v.Slot {
				rt.Fatalf("%s is first although it would refuse", v.Slot)
			}
		}
		if (len(got) > 0) != (live > 0) || (limit > 0 && len(got) > limit) {
			rt.Fatalf("%d returned, %d live, limit %d", len(got), live, limit)
		}
	})
}

// Guards against directing all workspaces to one VM, and one workspace to all VMs.
func TestWorkspacesSpreadOverVMs(t *testing.T) {
	first := map[string]int{}
	for w := range 900 {
		got := Order(now, liveVMs(), Query{Workspace: fmt.Sprint("w", w), Allowed: []string{"norte", "centro", "sul"}})
		first[got[0]]++
	}
	for _, v := range liveVMs() {
		if n := first[v.Slot]; n < 60 || n > 150 {
			t.Errorf("%s is first for %d of 900 workspaces", v.Slot, n)
		}
	}
}

// Guards against results in which all VMs are in one failure domain.
func TestLimitSpansFailureDomains(t *testing.T) {
	vms := liveVMs()[:3]
	for w := range 50 {
		got := Order(now, vms, Query{Workspace: fmt.Sprint(w), Allowed: []string{"norte"}, Limit: 2})
		if slices.Contains(got, "norte0") && slices.Contains(got, "norte2") {
			t.Fatalf("all returned VMs are in one failure domain: %v", got)
		}
	}
}

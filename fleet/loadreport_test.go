package fleet

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// loadLog records the load messages that a VM sends and receives.
type loadLog struct {
	mu        sync.Mutex
	reports   int
	sums      int
	sumsFor   map[string]bool
	lastSums  vmwire.UpstreamSums
	collector bool
}

func (l *loadLog) read(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// logLoads makes a VM report load and records what it sends and receives.
func logLoads(tf *testFleet, l *loadLog) {
	l.sumsFor = map[string]bool{}
	tf.LoadReport = func(bool) *vmwire.UpstreamLoads {
		return &vmwire.UpstreamLoads{Uses: []vmwire.SenderLoad{{Upstream: "u", Running: 1}}}
	}
	tf.LoadSums = func(time.Time) func(string) *vmwire.UpstreamSums {
		return func(slot string) *vmwire.UpstreamSums {
			l.read(func() { l.sumsFor[slot] = true })
			return &vmwire.UpstreamSums{Sums: []vmwire.UpstreamSum{{Key: 7, Running: 13}}}
		}
	}
	tf.OnSums = func(_ time.Time, sums *vmwire.UpstreamSums) { l.read(func() { l.sums++; l.lastSums = *sums }) }
	tf.OnCollecting = func(collecting bool) { l.read(func() { l.collector = collecting }) }
	tf.OnControl = func(_ *vm.Session, f vmwire.Frame) {
		if f.Kind == vmwire.KindUpstreamLoads {
			l.read(func() { l.reports++ })
		}
	}
}

// Guards against load messages that grow with the square of the VMs of a region, and against a region whose VMs get no
// sums after the first collector is lost.
func TestLargeRegionReportsToCollectors(t *testing.T) {
	const vms = maxDirectReceivers + 3
	fleets, logs := make([]*testFleet, vms), make([]loadLog, vms)
	var seed []string
	for i := range vms {
		fleets[i] = newFleet(t, "127.0.0.1:0", fmt.Sprintf("vm%02d", i), "north", seed...)
		logLoads(fleets[i], &logs[i])
		fleets[i].start(t)
		seed = []string{fleets[0].address}
	}
	waitUntil(t, 10*time.Second, "each VM knows all others", func() bool {
		return !slices.ContainsFunc(fleets, func(f *testFleet) bool { return f.readyCount("north") < vms-1 })
	})
	waitUntil(t, 5*time.Second, "the other VMs get sums of the first collector", func() bool { return withSums(logs[collectorCount:]) == vms-collectorCount })
	waitUntil(t, 10*time.Second, "only the collectors get reports", func() bool {
		for i := range logs {
			logs[i].read(func() { logs[i].reports = 0 })
		}
		time.Sleep(time.Second)
		return onlyCollectorsGetReports(logs)
	})
	fleets[0].cancel()
	for i := range logs {
		logs[i].read(func() { logs[i].sums = 0 })
	}
	waitUntil(t, 2*livenessTimeout, "the other VMs get sums of the next collector", func() bool { return withSums(logs[3:]) == vms-3 })
}

// onlyCollectorsGetReports reports whether the first VMs collect and no other has received a report.
func onlyCollectorsGetReports(logs []loadLog) bool {
	ok := true
	for i := range logs {
		collects := i < collectorCount
		logs[i].read(func() { ok = ok && logs[i].collector == collects && (logs[i].reports > 0) == collects })
	}
	return ok
}

// withSums counts the VMs that have received sums.
func withSums(logs []loadLog) int {
	n := 0
	for i := range logs {
		logs[i].read(func() {
			if logs[i].sums > 0 && len(logs[i].lastSums.Sums) == 1 {
				n++
			}
		})
	}
	return n
}

// Guards against VMs that report to each other through collectors in a region where all can report to all.
func TestSmallRegionReportsDirectly(t *testing.T) {
	fleets, logs := make([]*testFleet, 3), make([]loadLog, 3)
	var seed []string
	for i := range fleets {
		fleets[i] = newFleet(t, "127.0.0.1:0", fmt.Sprintf("vm%02d", i), "north", seed...)
		logLoads(fleets[i], &logs[i])
		fleets[i].start(t)
		seed = []string{fleets[0].address}
	}
	waitUntil(t, 5*time.Second, "each VM gets reports", func() bool {
		n := 0
		for i := range logs {
			logs[i].read(func() { n += min(logs[i].reports, 1) })
		}
		return n == len(logs)
	})
	if withSums(logs) != 0 {
		t.Error("a VM of a small region got sums")
	}
}

// Guards against collectors on small VMs, in one failure domain, or on VMs that are not ready.
func TestCollectors(t *testing.T) {
	now := time.Unix(1000, 0)
	member := func(slot, domain string, weight int) *Member {
		return &Member{Identity: vm.Identity{Slot: slot, Region: "north", FailureDomain: domain}, Weight: weight, Ready: true, LastPresenceAt: now, CallerAddress: "callers"}
	}
	for name, c := range map[string]struct {
		change func(members map[string]*Member)
		want   []string
	}{
		"largest first, other domain second": {func(map[string]*Member) {}, []string{"b", "d"}},
		"first leaving":                      {func(m map[string]*Member) { m["b"].Leaving = true }, []string{"c", "d"}},
		"second silent":                      {func(m map[string]*Member) { m["d"].LastPresenceAt = now.Add(-time.Minute) }, []string{"b", "e"}},
		"one domain":                         {func(m map[string]*Member) { delete(m, "d"); delete(m, "e") }, []string{"b", "c"}},
		"alone":                              {func(m map[string]*Member) { clear(m) }, []string{}},
	} {
		f := &Fleet{Endpoint: &vm.Endpoint{Self: vm.Identity{Slot: "self", Region: "north"}}, members: map[string]*Member{
			"a": member("a", "d1", 10), "b": member("b", "d1", 80), "c": member("c", "d1", 80), "d": member("d", "d2", 40), "e": member("e", "d2", 10),
		}}
		c.change(f.members)
		if got := f.collectors(now); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against presences whose number grows with the VMs of a region, and against a VM that counts as lost between two
// of them.
func TestPresenceInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, sessions := range []int{1, 8, 9, 30, 98, 300} {
		interval := time.Duration(presenceTicks(sessions)) * tick
		if perSecond := float64(sessions) / interval.Seconds(); perSecond > 80 {
			t.Errorf("%d sessions: %.0f presences a second", sessions, perSecond)
		}
		var m Member
		m.apply(now, &vmwire.Presence{IntervalMillis: int32(interval.Milliseconds())})
		if !m.Alive(now.Add(2*interval + tick)) {
			t.Errorf("%d sessions: not alive after a missing presence", sessions)
		}
		m.DisconnectedAt = now
		if m.Alive(now.Add(livenessTimeout + tick)) {
			t.Errorf("%d sessions: alive %v after its last session ended", sessions, livenessTimeout+tick)
		}
	}
}

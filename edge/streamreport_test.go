package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Guards against a stream that nobody can resume because the only VMs that know its version were lost: those of its region, all but one
// of them, or the one that began it while a single version served.
func TestStreamOutlivesItsVMs(t *testing.T) {
	for name, c := range map[string]struct {
		// north is the number of VMs of the region in which the stream begins.
		north int
		// secondLater lets the second version join once the stream has begun.
		secondLater bool
		// survivor is the index of the only VM that is not lost, in the order of their start.
		survivor int
	}{
		"the VMs of its region are lost":         {north: 2, survivor: 2},
		"all VMs but one of its region are lost": {north: 6, survivor: 5},
		"it began while one version served":      {north: 2, secondLater: true, survivor: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newVersionCluster(t)
			for _, region := range []string{"north", "south"} {
				w.addVersion("old-"+region, "v1", region, nil).register(w, time.Now().Add(-time.Hour).UnixMilli())
			}
			for i := range c.north {
				w.startVM(fmt.Sprint("vm", i+1), "north", true)
			}
			w.startVM("south1", "south", true)
			first, last := w.vms[0], w.vms[c.survivor]
			w.waitForMembership()
			addSecond := func() {
				w.addVersion("new", "v2", "south", nil)
				for _, v := range w.vms {
					w.waitFor("the second version is known", func() bool { return v.Watcher.HasVersion("plain", "south", "v2") })
				}
			}
			if !c.secondLater {
				addSecond()
			}
			id, events := first.readPart(t, 3, nil)
			if c.secondLater {
				addSecond()
			}
			for _, v := range w.vms {
				w.waitFor("all VMs keep the stream", func() bool {
					_, kept := v.Streams.Find(v.Now(), id)
					return kept
				})
			}
			for _, v := range w.vms {
				if v != last {
					v.cancel()
				}
			}
			began := "v2"
			if strings.Contains(events, "v1") {
				began = "v1"
			}
			status, body := last.resumeStream(t, id, 3)
			if status != http.StatusOK || strings.Count(body, "written by "+began) != streamLength-3 {
				t.Errorf("a stream of %s goes on with %d %q", began, status, body)
			}
		})
	}
}

// Guards against a stream that is refused after its VM was stopped and a second version joined: while one version served, its VM had
// reported it to nobody.
func TestStreamOutlivesStopOfItsVM(t *testing.T) {
	for name, c := range map[string]struct {
		// late lets the stream begin when the VM is already leaving.
		late bool
		end  func(v *testVM)
	}{
		"begins before SIGTERM":                        {end: func(*testVM) {}},
		"begins in the grace, open requests are ended": {late: true, end: func(v *testVM) { v.EndRequests() }},
		"begins in the grace, sessions are closed":     {late: true, end: func(v *testVM) { v.CloseSessions(t.Context()) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newVersionCluster(t)
			w.addVersion("old", "v1", "north", nil).register(w, time.Now().Add(-time.Hour).UnixMilli())
			first, other := w.startVM("vm1", "north", true), w.startVM("vm2", "north", true)
			w.waitForMembership()
			if c.late {
				first.BeginShutdown(first.Now())
			}
			id, _ := first.readPart(t, 3, nil)
			if !c.late {
				first.BeginShutdown(first.Now())
			}
			c.end(first)
			w.waitFor("the other VM keeps the stream", func() bool {
				_, kept := other.Streams.Find(other.Now(), id)
				return kept
			})
			first.cancel()
			w.addVersion("new", "v2", "north", nil)
			w.waitFor("the second version is known", func() bool { return other.Watcher.HasVersion("plain", "north", "v2") })
			status, body := other.resumeStream(t, id, 3)
			if status != http.StatusOK || strings.Count(body, "written by v1") != streamLength-3 {
				t.Errorf("the stream goes on with %d %q", status, body)
			}
		})
	}
}

// Guards against a stream that is refused after its VM was stopped, because the VMs to which it was reported were restarted before.
func TestStreamOutlivesRestartOfItsHolders(t *testing.T) {
	t.Parallel()
	w := newVersionCluster(t)
	w.addVersion("old", "v1", "north", nil)
	w.addVersion("new", "v2", "north", nil)
	first, holder := w.startVM("vm1", "north", true), w.startVM("vm2", "north", true)
	w.waitForMembership()
	id, _ := first.readPart(t, 3, nil)
	w.waitFor("the other VM keeps the stream", func() bool {
		_, kept := holder.Streams.Find(holder.Now(), id)
		return kept
	})
	holder.cancel()
	first.waitForNoSession(t, "north")
	restarted := w.startVM("vm2", "north", true)
	w.waitFor("the other VM is connected again", func() bool { return len(first.Fleet.ConnectedMembers(first.Now(), "north")) == 1 })
	first.BeginShutdown(first.Now())
	w.waitFor("the restarted VM keeps the stream", func() bool {
		_, kept := restarted.Streams.Find(restarted.Now(), id)
		return kept
	})
}

// Guards against a stream that is refused after its VM ended, because the VM to which it was reported since SIGTERM had ended before.
func TestStreamOutlivesHolderThatEndsInGrace(t *testing.T) {
	t.Parallel()
	w := newVersionCluster(t)
	w.addVersion("old", "v1", "north", nil)
	w.addVersion("new", "v2", "north", nil)
	first, holder := w.startVM("vm1", "north", true), w.startVM("vm2", "north", true)
	w.waitForMembership()
	first.BeginShutdown(first.Now())
	id, _ := first.readPart(t, 3, nil)
	w.waitFor("the other VM keeps the stream", func() bool {
		_, kept := holder.Streams.Find(holder.Now(), id)
		return kept
	})
	holder.cancel()
	first.waitForNoSession(t, "north")
	restarted := w.startVM("vm2", "north", true)
	w.waitFor("the other VM is connected again", func() bool { return len(first.Fleet.ConnectedMembers(first.Now(), "north")) == 1 })
	first.EndRequests()
	w.waitFor("the restarted VM keeps the stream", func() bool {
		_, kept := restarted.Streams.Find(restarted.Now(), id)
		return kept
	})
}

// Guards against a stream that is refused after its VM was killed and each VM that kept it was restarted, one after the other.
func TestStreamOutlivesRestartOfAllVMs(t *testing.T) {
	for name, leaving := range map[string]bool{"the holder leaves after the loss": false, "the holder is leaving when the stream begins": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newVersionCluster(t)
			w.addVersion("old", "v1", "north", nil)
			w.addVersion("new", "v2", "north", nil)
			first, holder := w.startVM("vm1", "north", true), w.startVM("vm2", "north", true)
			w.waitForMembership()
			if leaving {
				holder.BeginShutdown(holder.Now())
				w.waitFor("the stop is known", func() bool { return len(first.Fleet.ConnectedMembers(first.Now(), "north")) == 0 })
			}
			id, _ := first.readPart(t, 3, nil)
			w.waitFor("the other VM keeps the stream", func() bool {
				_, kept := holder.Streams.Find(holder.Now(), id)
				return kept
			})
			first.cancel()
			holder.waitForNoSession(t, "north")
			restarted := w.startVM("vm1", "north", true)
			w.waitFor("the restarted VM is connected", func() bool { return len(holder.Fleet.ConnectedMembers(holder.Now(), "north")) == 1 })
			holder.BeginShutdown(holder.Now())
			holder.CloseSessions(t.Context())
			w.waitFor("the restarted VM keeps the stream", func() bool {
				_, kept := restarted.Streams.Find(restarted.Now(), id)
				return kept
			})
		})
	}
}

// Guards against a report of more streams than a message may hold, which would end the session and lose all of them.
func TestManyStreamsAreReported(t *testing.T) {
	const streams = 6000
	w := newVersionCluster(t)
	w.addVersion("old", "v1", "north", nil).register(w, time.Now().Add(-time.Hour).UnixMilli())
	v, other := w.startVM("vm1", "north", true), w.startVM("vm2", "north", true)
	w.waitForMembership()
	for i := range streams {
		v.Streams.Begin(v.Now(), fmt.Sprint("stream", i), version.Stream{Service: "plain", Version: "v1"})
	}
	w.addVersion("new", "v2", "north", nil)
	w.waitFor("the other VM keeps all streams", func() bool {
		for i := range streams {
			if _, kept := other.Streams.Find(other.Now(), fmt.Sprint("stream", i)); !kept {
				return false
			}
		}
		return true
	})
}

// Guards against a resumed stream that is refused in the moment in which a VM has no sessions, although a VM that knows its version or
// reaches its upstreams can be asked a moment later, and against one that is held until its deadline where nobody can help.
func TestResumedStreamWaitsForSessions(t *testing.T) {
	for name, c := range map[string]struct {
		// knownTo is the VM that knows the version, if one does.
		knownTo int
		known   bool
		region  string
		want    int
	}{
		"another VM knows the version":          {knownTo: 1, known: true, region: "north", want: http.StatusOK},
		"another region serves the version":     {knownTo: 0, known: true, region: "south", want: http.StatusOK},
		"no VM knows the version of the stream": {region: "north", want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newVersionCluster(t)
			w.addVersion("old", "v1", c.region, nil)
			w.addVersion("new", "v2", "north", nil)
			v := w.startVM("vm1", "north", true)
			w.startVM("vm2", "south", true)
			w.waitForMembership()
			if c.known {
				holder := w.vms[c.knownTo]
				holder.Streams.Add(holder.Now(), "earlier", version.Stream{Service: "plain", Version: "v1"})
			}
			v.endSessions(t)
			asked := time.Now()
			status, body := v.resumeStream(t, "earlier", 3)
			if status != c.want {
				t.Errorf("answer %d %q, want status %d", status, body, c.want)
			}
			if held := time.Since(asked); c.want != http.StatusOK && held > 2*sessionWait {
				t.Errorf("refused after %v", held)
			}
		})
	}
}

// endSessions ends all sessions of the VM. They open again a moment later.
func (v *testVM) endSessions(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	v.Fleet.Drain(ctx)
	v.waitForNoSession(t, "south")
}

// Guards against streams of which no other VM is ever told, because their VM had no session when it was to report them.
func TestStreamsAreReportedOnceSessionsOpen(t *testing.T) {
	t.Parallel()
	w := newVersionCluster(t)
	w.addVersion("old", "v1", "north", nil).register(w, time.Now().Add(-time.Hour).UnixMilli())
	v, other := w.startVM("vm1", "north", true), w.startVM("vm2", "south", true)
	w.waitForMembership()
	w.addVersion("new", "v2", "north", nil)
	w.waitFor("the second version is known", func() bool { return v.Watcher.HasVersion("plain", "north", "v2") })
	v.Streams.Begin(v.Now(), "early", version.Stream{Service: "plain", Version: "v1"})
	v.endSessions(t)
	v.reportAllStreams()
	w.waitFor("the other VM keeps the stream", func() bool {
		v.reportAllStreams()
		_, ok := other.Streams.Find(other.Now(), "early")
		return ok
	})
}

// Guards against a stream that is reported to a VM that was cut off and counts as connected, while another one of its region would keep it.
func TestSilentVMsHoldNoStreams(t *testing.T) {
	for _, region := range []string{"north", "south"} {
		t.Run(region, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north", "south")
			w.publishConfig(1, longRouteJSON())
			v := w.startVM("vm1", "north", true)
			w.startVM("vm2", region, true)
			w.waitForMembership()
			silent := v.connectFrom(t, vm.Identity{Slot: "silent", Region: region, Incarnation: 1})
			silent.SendControl(vmwire.KindPresence, &vmwire.Presence{Flags: vmwire.FlagReady, Address: "silent", CallerAddress: "silent"})
			var holders []string
			w.waitFor("the presence of a connected VM is overdue", func() bool {
				now := v.Now()
				holders = v.newStreamHolders(now).of("stream")
				return len(v.Fleet.ConnectedMembers(now, region)) == 2 && len(v.Fleet.ResponsiveMembers(now, region)) == 1
			})
			if !slices.Equal(holders, []string{"vm2"}) {
				t.Errorf("the stream is reported to %v, want vm2", holders)
			}
		})
	}
}

// Guards against a stream that is refused at a VM of a large region because it asks only VMs that started after the stream began, although
// one that was not lost knows its version.
func TestLongestRunningVMsAreAsked(t *testing.T) {
	t.Parallel()
	w := newVersionCluster(t)
	w.addVersion("old", "v1", "north", nil)
	w.addVersion("new", "v2", "north", nil)
	for i := range maxStreamQueries + 2 {
		w.startVM(fmt.Sprint("vm", i+1), "north", true)
	}
	w.waitForMembership()
	holder, last := w.vms[0], w.vms[maxStreamQueries+1]
	id := ""
	for i := 0; id == "" || slices.Contains(rendezvousVMs(last.Fleet.ConnectedMembers(last.Now(), "north"), id, maxStreamQueries), holder.Settings.Name); i++ {
		id = fmt.Sprint("earlier", i)
	}
	holder.Streams.Add(holder.Now(), id, version.Stream{Service: "plain", Version: "v1"})
	if status, body := last.resumeStream(t, id, 3); status != http.StatusOK {
		t.Errorf("answer %d %q", status, body)
	}
}

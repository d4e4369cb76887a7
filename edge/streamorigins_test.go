package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/route"
	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// endAsPlanned ends the VM as SIGTERM does.
func (v *testVM) endAsPlanned(t testing.TB) {
	v.BeginShutdown(v.Now())
	v.EndRequests()
	for v.OpenRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	v.CloseSessions(t.Context())
	v.cancel()
}

// waitForNoSessions waits until no other VM has a session with a VM that has ended. Until then it replies, or a query waits for its reply.
func (w *testCluster) waitForNoSessions(v *testVM) {
	w.t.Helper()
	for _, other := range w.vms {
		w.waitFor("the sessions have ended", func() bool {
			return other == v || !other.Fleet.Runs(v.Settings.Name, v.Fleet.Endpoint.Self.Incarnation)
		})
	}
}

// Guards against a stream without a name that is refused although each process that may have begun it says at which service it did, and
// against one that goes on although a process that is lost may have begun it elsewhere. All streams began before the split of their route
// changed, so that the service that it selects says nothing.
func TestUnnamedStreamGoesOnAtItsService(t *testing.T) {
	const streams = 8
	at := func(i int) func(w *testCluster) *testVM { return func(w *testCluster) *testVM { return w.vms[i] } }
	ends := func(i int, end func(w *testCluster, v *testVM), resume func(w *testCluster) *testVM) func(w *testCluster) *testVM {
		return func(w *testCluster) *testVM {
			end(w, w.vms[i])
			return resume(w)
		}
	}
	stops := func(w *testCluster, v *testVM) {
		v.endAsPlanned(w.t)
		w.waitForNoSessions(v)
	}
	isLost := func(w *testCluster, v *testVM) {
		v.cancel()
		w.waitForNoSessions(v)
	}
	startsAgain := func(w *testCluster, v *testVM) {
		isLost(w, v)
		w.startVM(v.Settings.Name, "north", true)
	}
	startsAfterStop := func(w *testCluster, v *testVM) {
		stops(w, v)
		w.startVM(v.Settings.Name, "north", true)
	}
	stopsWithRowsDropped := func(w *testCluster, v *testVM) {
		v.Origins.RecordDropped(v.Now())
		stops(w, v)
	}
	stopsWithOpenRequest := func(w *testCluster, v *testVM) {
		v.open.Add(1)
		v.CloseSessions(w.t.Context())
		if status, body, _ := v.read(w.t, "/a/0", nil); !strings.Contains(body, string(Leaving)) {
			w.t.Errorf("a VM whose sessions have ended answers %d %q", status, body)
		}
		v.cancel()
		w.waitForNoSessions(v)
	}
	passesUnknownVersion := func(_ *testCluster, v *testVM) {
		workspace := v.table().Authenticate(route.HashKey("secret")).Name
		for i := range streams {
			r := &request{admission: admission{fingerprint: v.hasher.Fingerprint(fmt.Sprintf("%s /a/%d", workspace, i), []byte("x"))}}
			v.recordStreamOrigin(r, version.Stream{Service: "plain", Version: version.Uncertain})
		}
	}
	meetsOldProgram := func(_ *testCluster, v *testVM) { v.recordOtherProtocol(vmwire.Protocol - 1) }
	connects := func(w *testCluster, v *testVM) {
		v.connectFrom(w.t, vm.Identity{Slot: "silent", Region: "north", Incarnation: 1})
		w.waitFor("the session is open at both ends", func() bool { return v.Fleet.Runs("silent", 1) })
	}
	isSilent := func(w *testCluster, v *testVM) {
		silent := v.connectFrom(w.t, vm.Identity{Slot: "silent", Region: "north", Incarnation: 1})
		silent.SendControl(vmwire.KindPresence, &vmwire.Presence{Flags: vmwire.FlagReady, Address: "silent", CallerAddress: "silent"})
		w.waitFor("the silent VM is known", func() bool { return len(v.Fleet.ConnectedMembers(v.Now(), "north")) == 3 })
	}
	serveEqual := func(w *testCluster, v *testVM) {
		for i := range streams {
			if status, body, _ := v.read(w.t, fmt.Sprintf("/a/%d", i), nil); status != http.StatusOK || !strings.Contains(body, "engine") {
				w.t.Errorf("an equal request gets %d %q, want the other service", status, body)
			}
		}
	}
	allLost := func(w *testCluster) *testVM {
		for _, v := range w.vms {
			v.cancel()
		}
		w.vms, w.seeds = nil, nil
		v := w.startVM("vm9", "north", true)
		w.waitForServices()
		serveEqual(w, v)
		return v
	}
	started := func(w *testCluster) *testVM {
		v := w.startVM("vm4", "north", true)
		w.waitForServices()
		w.waitFor("the VM has sessions with all others", func() bool { return len(v.Fleet.ConnectedMembers(v.Now(), "north")) == 3 })
		return v
	}
	for name, c := range map[string]struct {
		vm     func(w *testCluster) *testVM
		goesOn bool
	}{
		"at the same VM":                              {at(0), true},
		"at another VM":                               {at(1), true},
		"at a VM that started":                        {started, true},
		"its VM has stopped":                          {ends(0, stops, at(1)), true},
		"its VM has stopped and started":              {ends(0, startsAfterStop, at(1)), true},
		"another VM has stopped":                      {ends(1, stops, at(2)), true},
		"its VM is lost":                              {ends(0, isLost, at(1)), false},
		"another VM is lost":                          {ends(1, isLost, at(0)), false},
		"another VM was lost and started":             {ends(1, startsAgain, at(0)), false},
		"a VM that has just connected does not reply": {ends(0, connects, at(0)), false},
		"equal requests after all VMs were lost":      {allLost, false},
		"a VM does not reply":                         {ends(0, isSilent, at(0)), false},
		"its VM has stopped, rows were dropped":       {ends(0, stopsWithRowsDropped, at(1)), false},
		"its VM has stopped with a request open":      {ends(0, stopsWithOpenRequest, at(1)), false},
		"an equal one at an unknown version":          {ends(1, passesUnknownVersion, at(0)), false},
		"another VM met an older program":             {ends(1, meetsOldProgram, at(0)), false},
		"equal requests at another service":           {ends(1, serveEqual, at(0)), false},
		"equal requests, at a third VM":               {ends(1, serveEqual, at(2)), false},
		"equal requests, other VM has stopped": {ends(1, func(w *testCluster, v *testVM) {
			serveEqual(w, v)
			stops(w, v)
		}, at(2)), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newServiceCluster(t, "plain 1")
			w.vmAge = time.Hour
			w.startVM("vm3", "north", true)
			w.vmAge = 0
			w.waitForMembership()
			w.waitForServices()
			interrupted := w.vms[0].interruptStreams(t, streams)
			w.publishSplit(2, "plain 1, engine 99999")
			for _, v := range w.vms {
				w.waitFor("the new configuration is in force", func() bool { return v.table().Config.Version == 2 })
			}
			want := 0
			if c.goesOn {
				want = streams
			}
			if n := c.vm(w).resumeStreams(t, interrupted, false); n != want {
				t.Errorf("%d of %d streams went on, want %d", n, streams, want)
			}
		})
	}
}

// Guards against two equal requests of two callers, one at each software version, that are taken for each other, and against a refusal of
// a stream of which all equal requests have one version.
func TestEqualStreamsAreNotJoined(t *testing.T) {
	w := newVersionCluster(t)
	w.addVersion("old", "v1", "north", nil)
	w.addVersion("new", "v2", "north", nil)
	w.vmAge = time.Hour
	for _, region := range []string{"north", "north", "south"} {
		w.startVM(fmt.Sprint("vm", len(w.vms)+1), region, true)
	}
	w.waitForMembership()
	w.waitForUpstreams(2)
	var began []string
	for i := 0; len(began) < 2; i++ {
		_, events := w.vms[i%len(w.vms)].readPart(t, 3, nil)
		version := events[strings.Index(events, "v"):][:2]
		status, body := w.vms[(i+1)%len(w.vms)].resumeUnnamed(t)
		if !slices.Contains(began, version) {
			began = append(began, version)
		}
		switch {
		case len(began) > 1 && status != http.StatusServiceUnavailable:
			t.Errorf("one of two equal streams of %v goes on with %d %q", began, status, body)
		case len(began) == 1 && (status != http.StatusOK || strings.Count(body, "written by "+version) != streamLength-3):
			t.Errorf("a stream of %s goes on with %d %q", version, status, body)
		}
	}
}

// resumeUnnamed takes up a stream after its third event, without the name of an earlier attempt.
func (v *testVM) resumeUnnamed(t *testing.T) (status int, body string) {
	t.Helper()
	status, body, _ = v.read(t, "/a/", extraHeaders{platform.HeaderLastEventID: "3"})
	return status, body
}

package edge

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/platform"
	"parsleyhatch/route"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Guards against more runs than the route allows when the session with the VM that runs a request ends: the VM that forwarded the
// request does not learn at how many upstreams it ran. lossAt is the run in which the session ends.
func TestMaxAttemptsHoldsAfterLossOfVM(t *testing.T) {
	for name, lossAt := range map[string]int32{"together with the upstream": 1, "in the second run": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north", "south")
			w.publishConfig(1, longRouteJSON())
			var runs atomic.Int32
			handle := func(rw http.ResponseWriter, _ *http.Request) {
				run := runs.Add(1)
				first := 2*int(run) - 1
				writeEvents(rw, first, first+1, run >= lossAt)
				if run == lossAt {
					w.endBusyVMs("south")
					panic(http.ErrAbortHandler)
				}
			}
			v := w.startVM("vm1", "north", true)
			for _, name := range []string{"vm2", "vm3", "vm4"} {
				w.startVM(name, "south", true)
			}
			for _, id := range []string{"u1", "u2", "u3"} {
				w.addUpstream(id, "plain", "south", handle)
			}
			w.waitForMembership()
			w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("plain", 3) })
			_, _, _ = v.read(t, "/a/", extraHeaders{platform.HeaderDeadline: "8000"})
			if n := runs.Load(); n != 2 {
				t.Errorf("the request ran at %d upstreams, want the 2 that its route allows", n)
			}
		})
	}
}

// endBusyVMs ends the sessions of the VMs of a region that run requests, and waits until the VMs of other regions see their end: a VM whose
// session is still open would get a grant for a further run, which it could not use any more.
func (w *testCluster) endBusyVMs(region string) {
	for _, v := range w.vms {
		if v.Settings.Region == region && v.OpenRequests() > 0 {
			v.cancel()
			w.waitFor("the sessions of "+v.Settings.Name+" have ended", func() bool { return !w.isConnected(v) })
		}
	}
}

// isConnected reports whether a VM of another region has a session with the VM.
func (w *testCluster) isConnected(v *testVM) bool {
	return slices.ContainsFunc(w.vms, func(other *testVM) bool {
		return other.Settings.Region != v.Settings.Region &&
			slices.ContainsFunc(other.Fleet.ConnectedMembers(other.Now(), v.Settings.Region), func(m fleet.Member) bool { return m.Slot == v.Settings.Name })
	})
}

// Guards against a VM that runs a forwarded request once more although the VM that forwarded it has not counted that run, as when
// the session between them is silent.
func TestForwardedRequestRunsAgainWithGrantOnly(t *testing.T) {
	for name, c := range map[string]struct {
		grant func(asked int32) int32
		runs  int
	}{
		"granted":    {func(asked int32) int32 { return asked }, 2},
		"denied":     {func(asked int32) int32 { return asked - 1 }, 1},
		"unanswered": {nil, 1},
		"granted too late": {func(asked int32) int32 {
			time.Sleep(runGrantTimeout + 100*time.Millisecond)
			return asked
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "south")
			w.publishConfig(1, routeJSON("a", "safe", "plain", ""))
			u1, u2 := w.addUpstream("u1", "plain", "south", abortConnection), w.addUpstream("u2", "plain", "south", abortConnection)
			v := w.startVM("vm2", "south", true)
			w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("plain", 2) })
			end := v.forwardFrom(t, c.grant)
			if n := u1.requestCount() + u2.requestCount(); n != c.runs || int(end.Runs) != n {
				t.Errorf("the request ran at %d upstreams and the VM reports %d, want %d", n, end.Runs, c.runs)
			}
		})
	}
}

// forwardFrom forwards a request to the VM like another VM, which answers its questions for further runs with grant, and returns
// the outcome that the VM reports.
func (v *testVM) forwardFrom(t *testing.T, grant func(asked int32) int32) *vmwire.End {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	s := v.connectFrom(t, vm.Identity{Slot: "vm1", Region: "north", Incarnation: 1})
	st, err := s.OpenStream(ctx, &vmwire.Open{
		RequestID: "id", Route: "a", Method: http.MethodPost, Path: "/a/", Header: map[string]string{hostHeader: "h"},
		KeyID: route.HashKey("secret").String(), RemainingMillis: 3000, ConfigNumber: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	for {
		body, end, err := st.Recv(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if end != nil {
			return end
		}
		var c vmwire.Chunk
		if _, err := c.UnmarshalMsg(body); err != nil {
			t.Fatal(err)
		}
		if c.RunRequest == 0 || grant == nil {
			continue
		}
		reply, _ := (&vmwire.RunGrant{Runs: grant(c.RunRequest)}).MarshalMsg(nil)
		if err := st.Send(ctx, reply); err != nil && !errors.Is(err, vm.ErrStreamEnded) {
			t.Fatal(err)
		}
	}
}

// connectFrom opens a session with the VM like another VM, which sends nothing on its own.
func (v *testVM) connectFrom(t testing.TB, other vm.Identity) *vm.Session {
	t.Helper()
	endpoint := vm.NewInsecureEndpoint(other, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s, err := endpoint.Dial(t.Context(), v.Settings.PeerListen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(nil) })
	return s
}

// Guards against a run at a service that is charged to another one, since the route has moved to it in a configuration that the VM which
// forwarded the request does not have yet, and against a route that counts as moved in each new configuration.
func TestGrantPaysForServiceOfOrigin(t *testing.T) {
	for name, c := range map[string]struct {
		earlier string
		runs    int
	}{
		"same service":    {"plain", 2},
		"another service": {"engine", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "south")
			w.retrySlack = 0
			w.publishConfig(1, routeJSON("a", "safe", c.earlier, ""))
			u1, u2 := w.addUpstream("u1", "plain", "south", abortConnection), w.addUpstream("u2", "plain", "south", abortConnection)
			v := w.startVM("vm2", "south", true)
			w.publishConfig(2, routeJSON("a", "safe", "plain", ""))
			w.waitFor("the configuration and the upstreams are known", func() bool {
				return v.table().Config.Version == 2 && v.knowsUpstreams("plain", 2)
			})
			v.forwardFrom(t, func(asked int32) int32 { return asked })
			if n := u1.requestCount() + u2.requestCount(); n != c.runs {
				t.Errorf("the request ran at %d upstreams, want %d", n, c.runs)
			}
		})
	}
}

// Guards against a grant that pays for a second attempt after an upstream has refused the first one, which is then charged to no budget.
func TestGrantPaysOnce(t *testing.T) {
	o := newOrigin(nil, 1)
	o.receive(2)
	if !o.usePaidRun() || o.usePaidRun() {
		t.Error("the grant of one run does not pay for one attempt")
	}
	o.returnPaidRun()
	if !o.usePaidRun() || o.usePaidRun() {
		t.Error("a returned grant does not pay for one attempt")
	}
}

package edge

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Guards against a caller that gets half an event: a VM splits long events, and its session may end between the parts. The stream
// must go on with that event, not after it.
func TestStreamGoesOnWithSplitEvent(t *testing.T) {
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, longRouteJSON())
	v := w.startVM("vm1", "north", true)
	w.registerUpstream("far", "plain", "south", "127.0.0.1:1")
	var resumedAt string
	v.joinAs(t, "south", func(st *vm.Stream, _ vmwire.Open) {
		w.addUpstream("near", "plain", "north", func(rw http.ResponseWriter, r *http.Request) {
			resumedAt = r.Header.Get(platform.HeaderLastEventID)
			writeEvents(rw, 2, 3, true)
		})
		w.waitFor("the other upstream is known", func() bool { return v.Watcher.UpstreamCount("plain", "north") == 1 })
		header := map[string]string{"Content-Type": "text/event-stream", platform.HeaderServerStamp: "stamp"}
		for _, c := range []vmwire.Chunk{{Status: http.StatusOK, Header: header, End: -1}, {Data: []byte("id: 1\ndata: piece 1\n\nid: 2\nda")}, {Data: []byte("ta: first half")}} {
			if err := st.SendChunk(context.Background(), &c); err != nil {
				t.Error(err)
			}
		}
		st.Reset()
	})
	_, body, err := v.read(t, "/a/", nil)
	want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
	if body != want || err != nil || resumedAt != "1" {
		t.Errorf("answer %q, error %v, resumed after event %q", body, err, resumedAt)
	}
}

// joinAs makes the VM know another one of a region, which serves forwarded requests with serve.
func (v *testVM) joinAs(t *testing.T, region string, serve func(st *vm.Stream, open vmwire.Open)) {
	t.Helper()
	e := vm.NewInsecureEndpoint(vm.Identity{Slot: "double", Region: region, Incarnation: 1}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	e.OnStream = serve
	s, err := e.Dial(t.Context(), v.Settings.PeerListen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(nil) })
	s.SendControl(vmwire.KindPresence, &vmwire.Presence{
		Address: "127.0.0.1:1", CallerAddress: "127.0.0.1:2", Flags: vmwire.FlagReady | vmwire.FlagKeysCurrent, ConfigVersion: 1, Weight: 1, RegionVMs: 1,
		Waits: []vmwire.ServiceWait{{Service: "plain", Millis: []int32{0, 0, 0}}},
	})
	known := func() bool {
		if region == v.Settings.Region {
			return v.Fleet.SeenSince(time.Unix(0, 0))
		}
		_, _, ok := v.Fleet.ExpectedWait(v.Now(), region, "plain", 0)
		return ok
	}
	for deadline := time.Now().Add(5 * time.Second); !known(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the other VM is not known within 5 s")
		}
	}
}

// Guards against streams whose lines end with a carriage return and a line feed, as the format of event streams allows: their events were never
// seen as complete.
func TestStreamOfCRLFLines(t *testing.T) {
	const events = "id: 1\r\ndata: a\r\n\r\n: comment\r\n\r\ndata: b\r\nid: 2\r\n\r\n"
	for _, region := range []string{"north", "south"} {
		w := newTestCluster(t, "north", "south")
		w.publishConfig(1, routeJSON("a", "streaming", "plain", `,"resumable":true`))
		handle := func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Content-Type", "text/event-stream")
			if r.Header.Get(platform.HeaderLastEventID) == "2" {
				_, _ = io.WriteString(rw, "id: 3\r\ndata: c\r\n\r\n")
				return
			}
			for i := range events {
				_, _ = io.WriteString(rw, events[i:i+1])
				rw.(http.Flusher).Flush()
			}
			panic(http.ErrAbortHandler)
		}
		w.addUpstream("u1", "plain", region, handle)
		w.addUpstream("u2", "plain", region, handle)
		v := w.startVM("vm1", "north", true)
		w.startVM("vm2", "south", true)
		w.waitForMembership()
		w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("plain", 2) })
		if status, body, err := v.read(t, "/a/", nil); status != http.StatusOK || err != nil || body != events+"id: 3\r\ndata: c\r\n\r\n" {
			t.Errorf("in %s: answer %d %q, error %v", region, status, body, err)
		}
	}
}

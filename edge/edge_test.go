package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// Guards against a key that reaches an upstream, and against headers that only the system may set.
func TestAnswersWhole(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "safe", "plain", ""))
	u := w.upstream("u1", "plain", "north", nil)
	v := w.vm("vm1", "north", true)
	status, body, header := v.call(t, "/a/x?q=1", "hello", callHeader{"Kv-From": "10.0.0.1:1/x", "Tenant": "other"})
	if status != http.StatusOK || body != "u1 answers hello" || header.Get(platform.HeaderStamp) != "stamp-u1" {
		t.Errorf("answer %d %q %v", status, body, header)
	}
	got := u.last()
	if got.RequestURI != "/a/x?q=1" || got.Host != "h" || got.Header.Get(platform.HeaderTarget) != "u1" {
		t.Errorf("upstream got %s of %s for %s", got.RequestURI, got.Host, got.Header.Get(platform.HeaderTarget))
	}
	if got.Header.Get(platform.HeaderKey) != "" || got.Header.Get("Kv-From") != "" || got.Header.Get(platform.HeaderWorkspace) != "w1" {
		t.Errorf("upstream got headers %v", got.Header)
	}
}

func TestRefusals(t *testing.T) {
	w := newWorld(t, "north")
	v := w.vm("vm1", "north", false)
	if status, _, _ := v.call(t, "/a/", "", nil); status != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %d", status)
	}
	w.config(1, routeText("a", "safe", "plain", ""))
	w.until("the vm is ready", func() bool { return v.Ready(v.Now()) })
	for _, c := range []struct {
		path string
		key  string
		want int
	}{
		{"/a/", "wrong", http.StatusUnauthorized},
		{"/b/", "secret", http.StatusNotFound},
		{"/a/", "secret", http.StatusServiceUnavailable},
	} {
		status, body, _ := v.call(t, c.path, "", callHeader{platform.HeaderKey: c.key})
		if status != c.want || !strings.Contains(body, `"ran":"notRun"`) {
			t.Errorf("%s with key %s: %d %s, want %d", c.path, c.key, status, body, c.want)
		}
	}
}

func TestLimitsOfCallers(t *testing.T) {
	w := newWorld(t, "north")
	w.store.Put(platform.ConfigKey, `{"version":1,"routes":[`+routeText("a", "safe", "plain", "")+`],"services":[{"name":"plain"}],
		"limits":{"max_header_bytes":2000,"max_body_bytes":100},"tenants":[{"name":"w1","api_keys":["secret"]}]}`)
	u := w.upstream("u1", "plain", "north", nil)
	v := w.vm("vm1", "north", true)
	if status, _, _ := v.call(t, "/a/", strings.Repeat("x", 101), nil); status != http.StatusRequestEntityTooLarge {
		t.Errorf("long body: status %d", status)
	}
	if status, _, _ := v.call(t, "/a/", "x", callHeader{"Extra": strings.Repeat("x", 2000)}); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("long header: status %d", status)
	}
	if status, _, _ := v.call(t, "/a/", strings.Repeat("x", 100), nil); status != http.StatusOK || u.count() != 1 {
		t.Errorf("within the limits: status %d, %d requests", status, u.count())
	}
}

// Guards against a failed request that is sent to the same upstream again while another region has one.
func TestFailedSafeRequestGoesToAnotherUpstream(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.config(1, routeText("a", "safe", "plain", ""))
	u1 := w.upstream("u1", "plain", "north", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusInternalServerError) })
	v := w.vm("vm1", "north", true)
	if status, _, _ := v.call(t, "/a/", "x", nil); status != http.StatusInternalServerError || u1.count() != 2 {
		t.Errorf("only upstream: status %d after %d requests, want the same upstream twice", status, u1.count())
	}
	w.upstream("u2", "plain", "south", nil)
	w.vm("vm2", "south", true)
	w.meet()
	w.until("the second upstream is known", func() bool { return v.knows("plain", 2) })
	if status, body, _ := v.call(t, "/a/", "x", nil); status != http.StatusOK || body != "u2 answers x" {
		t.Errorf("answer %d %q", status, body)
	}
}

// Guards against a second run of a request that must not run twice, and against calling it not run.
func TestUnsafeIsSentOnce(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "unsafe", "plain", ""))
	u1 := w.upstream("u1", "plain", "north", breakOff)
	u2 := w.upstream("u2", "plain", "north", breakOff)
	v := w.vm("vm1", "north", true)
	status, _, _ := v.call(t, "/a/", "pay", nil)
	if status != http.StatusBadGateway || u1.count()+u2.count() != 1 {
		t.Errorf("status %d, sent %d times", status, u1.count()+u2.count())
	}
}

// Guards against giving up on an unsafe request that no upstream has run.
func TestUnsafeGoesOnAfterRefusal(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "unsafe", "plain", ""))
	refuse := func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(platform.HeaderNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	w.upstream("u1", "plain", "north", refuse)
	v := w.vm("vm1", "north", true)
	if status, body, _ := v.call(t, "/a/", "pay", nil); status != http.StatusServiceUnavailable || !strings.Contains(body, "notRun") {
		t.Errorf("refused by the only upstream: %d %s", status, body)
	}
	w.upstream("u2", "plain", "north", nil)
	w.until("u2 is known", func() bool { return v.knows("plain", 2) })
	// The other one has more to do, so that the one that refuses is the first choice.
	v.Replicas.SetPeerUse(v.Now(), "other", map[string]replica.Use{"u2": {Running: 3}})
	for range 5 {
		// An upstream that refused gets no request for 30 ms; afterwards it may be the first choice again.
		time.Sleep(50 * time.Millisecond)
		if status, body, _ := v.call(t, "/a/", "pay", nil); status != http.StatusOK || body != "u2 answers pay" {
			t.Errorf("with another upstream: %d %s", status, body)
		}
	}
}

// Guards against more runs than the route allows when the second upstream is in another region: the VM
// there did not know of the first run.
func TestRunsCountOverAllVMs(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.config(1, routeText("a", "safe", "plain", ""))
	var all []*fakeUpstream
	for i, region := range []string{"north", "south", "south", "south"} {
		all = append(all, w.upstream(fmt.Sprintf("u%d", i), "plain", region, breakOff))
	}
	v := w.vm("vm1", "north", true)
	w.vm("vm2", "south", true)
	w.meet()
	if status, _, _ := v.call(t, "/a/", "x", nil); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
	runs := 0
	for _, u := range all {
		runs += u.count()
	}
	if runs != 2 {
		t.Errorf("the request ran %d times, want 2", runs)
	}
}

// Guards against a request that leaves the regions in which it must stay.
func TestHomesBind(t *testing.T) {
	w := newWorld(t, "north", "south", "east")
	w.config(1, routeText("a", "safe", "plain", `,"home_regions":["south"]`))
	north := w.upstream("u1", "plain", "north", nil)
	w.upstream("u2", "plain", "south", nil)
	east := w.upstream("u3", "plain", "east", nil)
	v := w.vm("vm1", "north", true)
	w.vm("vm2", "south", true)
	w.vm("vm3", "east", true)
	w.meet()
	for range 10 {
		if status, body, _ := v.call(t, "/a/", "x", nil); status != http.StatusOK || body != "u2 answers x" {
			t.Fatalf("answer %d %q", status, body)
		}
	}
	if north.count()+east.count() != 0 {
		t.Errorf("regions that are no home got %d and %d requests", north.count(), east.count())
	}
}

// events writes events from first to last and ends the stream, or breaks off in the middle of the next one.
func events(rw http.ResponseWriter, first, last int, whole bool) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(platform.HeaderStamp, fmt.Sprintf("stamp-%d", first))
	for i := first; i <= last; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", i, i)
		rw.(http.Flusher).Flush()
	}
	if !whole {
		fmt.Fprintf(rw, "id: %d\nda", last+1)
		rw.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Guards against gaps and repeats when a stream goes on at another upstream, here and in another region.
func TestStreamGoesOnElsewhere(t *testing.T) {
	for _, second := range []string{"north", "south"} {
		t.Run(second, func(t *testing.T) {
			w := newWorld(t, "north", "south")
			w.config(1, routeText("a", "streaming", "plain", `,"resumable":true`))
			// Either upstream may be chosen first.
			handle := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEvent) == "3" {
					events(rw, 4, 5, true)
					return
				}
				events(rw, 1, 3, false)
			}
			w.upstream("u1", "plain", "north", handle)
			v := w.vm("vm1", "north", true)
			w.vm("vm2", "south", true)
			w.upstream("u2", "plain", second, handle)
			w.meet()
			w.until("both upstreams are known", func() bool { return len(v.Source.Capacity("plain")) > 0 && v.knows("plain", 2) })
			status, body, header := v.call(t, "/a/", "x", nil)
			want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"
			if status != http.StatusOK || body != want || header.Get(platform.HeaderStamp) != "stamp-1" {
				t.Errorf("answer %d %q with stamp %s", status, body, header.Get(platform.HeaderStamp))
			}
		})
	}
}

// Guards against streams that wait in a region whose other upstreams are full after one of them broke off, while
// the region of their caller could go on with them.
func TestForwardedStreamReturnsFromFullRegion(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.config(1, routeText("a", "streaming", "plain", `,"resumable":true`))
	goOn := func(rw http.ResponseWriter, _ *http.Request) { events(rw, 4, 5, true) }
	w.upstream("u1", "plain", "south", func(rw http.ResponseWriter, _ *http.Request) { events(rw, 1, 3, false) })
	full := w.upstream("u2", "plain", "south", goOn)
	w.upstream("u3", "plain", "north", goOn)
	north, south := w.vm("vm1", "north", true), w.vm("vm2", "south", true)
	w.meet()
	w.until("the upstreams are known", func() bool { return north.knows("plain", 3) && south.knows("plain", 3) })
	// A second of work waits in the north, and ten seconds at the other upstream of the south.
	north.Replicas.SetPeerUse(north.Now(), "other", map[string]replica.Use{"u3": {Running: 1, Prefill: [replica.Ranks]int64{60_000}}})
	south.Replicas.SetPeerUse(south.Now(), "other", map[string]replica.Use{"u2": {Running: 1, Prefill: [replica.Ranks]int64{600_000}}})
	status, body, _ := north.call(t, "/a/", "x", nil)
	if status != http.StatusOK || strings.Count(body, "data:") != 5 {
		t.Errorf("answer %d %q, want all five events", status, body)
	}
	if full.count() != 0 {
		t.Error("the stream went on at the upstream that is full")
	}
}

// Guards against a VM that was frozen and sends a request once more that another VM has meanwhile given up and sent
// elsewhere: the request then runs at more upstreams than its route allows.
func TestPausedVMDoesNotRepeatWhatWasGivenUp(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.config(1, routeText("a", "streaming", "plain", `,"resumable":true`))
	ctx, leave := context.WithCancel(context.Background())
	handle := func(rw http.ResponseWriter, _ *http.Request) {
		time.AfterFunc(100*time.Millisecond, leave)
		events(rw, 1, 3, false)
	}
	first, second := w.upstream("u1", "plain", "south", handle), w.upstream("u2", "plain", "south", handle)
	north, south := w.vm("vm1", "north", true), w.vm("vm2", "south", true)
	south.pausedLately = func(time.Time) bool { return true }
	w.meet()
	w.until("the upstreams are known", func() bool { return north.knows("plain", 2) && south.knows("plain", 2) })
	resp, err := http.DefaultClient.Do(north.request(t, "/a/", "x", nil).WithContext(ctx))
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body) // Ends when the caller leaves.
		_ = resp.Body.Close()
	}
	time.Sleep(2 * fleet.SettleTime)
	if n := first.count() + second.count(); n != 1 {
		t.Errorf("the request ran %d times, want once: its caller left while the vm was paused", n)
	}
}

// knows reports whether n upstreams of a service are registered in all regions, and whether the VMs of each
// other region with one have told that they can run it: only then requests are passed on to them.
func (v *testVM) knows(service string, n int) bool {
	slots := 0
	for region, s := range v.Source.Capacity(service) {
		slots += s
		if _, _, ok := v.Fleet.WaitIn(v.Now(), region, service, 0); !ok && region != v.Settings.Region {
			return false
		}
	}
	return slots == 8*n
}

// Guards against a stream that breaks off and looks complete.
func TestBrokenStreamIsCut(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "streaming", "plain", ""))
	w.upstream("u1", "plain", "north", func(rw http.ResponseWriter, _ *http.Request) { events(rw, 1, 3, false) })
	v := w.vm("vm1", "north", true)
	resp, err := http.DefaultClient.Do(v.request(t, "/a/", "x", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 4096)
	for err == nil {
		_, err = resp.Body.Read(buf)
	}
	if err.Error() == "EOF" {
		t.Error("the broken stream ends like a whole one")
	}
}

// Guards against a stream that ends like a whole one, or goes on with the body of another answer, when it is
// to go on at an upstream of another region and that one fails.
func TestResumedStreamGetsNoOtherAnswer(t *testing.T) {
	w := newWorld(t, "north", "south")
	w.config(1, routeText("a", "streaming", "plain", `,"resumable":true`))
	w.upstream("u1", "plain", "north", func(rw http.ResponseWriter, _ *http.Request) { events(rw, 1, 3, false) })
	v := w.vm("vm1", "north", true)
	w.vm("vm2", "south", true)
	u2 := w.upstream("u2", "plain", "south", func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusInternalServerError)
		fmt.Fprint(rw, "failed")
	})
	w.meet()
	w.until("both upstreams are known", func() bool { return v.knows("plain", 2) })
	resp, err := http.DefaultClient.Do(v.request(t, "/a/", "x", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil || strings.Contains(string(body), "failed") {
		t.Errorf("the stream ends with %v after %q", err, body)
	}
	if u2.count() != 1 {
		t.Errorf("the second upstream got %d requests, want 1", u2.count())
	}
}

// Guards against events that come twice when the second upstream repeats what the caller has.
func TestRepeatedEventsAreDropped(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "streaming", "plain", `,"resumable":true`))
	handle := func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEvent) == "3" {
			events(rw, 1, 5, true)
			return
		}
		events(rw, 1, 3, false)
	}
	w.upstream("u1", "plain", "north", handle)
	w.upstream("u2", "plain", "north", handle)
	v := w.vm("vm1", "north", true)
	w.until("both upstreams are known", func() bool { return v.knows("plain", 2) })
	_, body, _ := v.call(t, "/a/", "x", nil)
	if n := strings.Count(body, "id: "); n != 5 || strings.Count(body, "piece 3") != 1 {
		t.Errorf("answer %q", body)
	}
}

// Guards against upstreams that work for a caller who has left, here and in another region.
func TestCallerLeaves(t *testing.T) {
	for _, region := range []string{"north", "south"} {
		t.Run(region, func(t *testing.T) {
			w := newWorld(t, "north", "south")
			w.config(1, routeText("a", "streaming", "plain", ""))
			cancelled := make(chan struct{})
			w.upstream("u1", "plain", region, func(rw http.ResponseWriter, r *http.Request) {
				rw.WriteHeader(http.StatusOK)
				rw.(http.Flusher).Flush()
				<-r.Context().Done()
				close(cancelled)
			})
			v := w.vm("vm1", "north", true)
			w.vm("vm2", "south", true)
			w.meet()
			ctx, leave := context.WithCancel(context.Background())
			go func() {
				time.Sleep(100 * time.Millisecond)
				leave()
			}()
			resp, err := http.DefaultClient.Do(v.request(t, "/a/", "x", nil).WithContext(ctx))
			if err == nil {
				_ = resp.Body.Close()
			}
			select {
			case <-cancelled:
			case <-time.After(600 * time.Millisecond):
				t.Error("the upstream still works half a second later")
			}
		})
	}
}

// Guards against answers after the route's timeout, and against calling a request not run that was sent.
func TestTimeout(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "unsafe", "plain", ""))
	w.upstream("u1", "plain", "north", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	v := w.vm("vm1", "north", true)
	started := time.Now()
	status, _, _ := v.call(t, "/a/", "x", callHeader{platform.HeaderDeadline: "300"})
	if took := time.Since(started); status != http.StatusGatewayTimeout || took > 700*time.Millisecond {
		t.Errorf("status %d after %v", status, took)
	}
}

// Guards against a withdrawn key that goes on working: at once while the store answers, and after the bound
// where it does not.
func TestKeysAreWithdrawn(t *testing.T) {
	w := newWorld(t, "north")
	w.revoke = 2 * time.Second
	w.config(1, routeText("a", "safe", "plain", ""))
	w.upstream("u1", "plain", "north", nil)
	v := w.vm("vm1", "north", true)
	if status, _, _ := v.call(t, "/a/", "x", nil); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	w.store.SetDown(true)
	w.until("a vm without the store refuses keys", func() bool {
		status, _, _ := v.call(t, "/a/", "x", nil)
		return status == http.StatusServiceUnavailable
	})
	w.store.SetDown(false)
	w.store.Put(platform.ConfigKey, `{"version":2,"routes":[`+routeText("a", "safe", "plain", "")+`],"services":[{"name":"plain"}],"tenants":[{"name":"w1","api_keys":["new"]}]}`)
	w.until("the withdrawn key is refused", func() bool {
		status, _, _ := v.call(t, "/a/", "x", nil)
		return status == http.StatusUnauthorized
	})
}

// Guards against a VM that refuses all keys, or goes on with withdrawn ones, while the store serves only the
// other VMs.
func TestKeysAreConfirmedByOtherVMs(t *testing.T) {
	w := newWorld(t, "north")
	w.revoke = 3 * time.Second
	w.config(1, routeText("a", "safe", "plain", ""))
	w.upstream("u1", "plain", "north", nil)
	path, closed := w.gate()
	w.path = path
	v := w.vm("vm1", "north", true)
	w.path = nil
	w.vm("vm2", "north", true)
	w.meet()
	closed.Store(true)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _, _ := v.call(t, "/a/", "x", nil); status != http.StatusOK {
			t.Fatalf("status %d while another vm reaches the store", status)
		}
	}
	w.store.Put(platform.ConfigKey, `{"version":2,"routes":[`+routeText("a", "safe", "plain", "")+`],"services":[{"name":"plain"}],"tenants":[{"name":"w1","api_keys":["new"]}]}`)
	changed := time.Now()
	w.until("the withdrawn key is refused", func() bool {
		status, _, _ := v.call(t, "/a/", "x", nil)
		return status == http.StatusUnauthorized
	})
	if took := time.Since(changed); took > w.revoke {
		t.Errorf("the key worked for %v after it was withdrawn", took)
	}
}

// Guards against requests to an upstream that leaves or has gone.
func TestLeavingUpstreamGetsNothing(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "safe", "plain", ""))
	u1 := w.upstream("u1", "plain", "north", nil)
	v := w.vm("vm1", "north", true)
	w.store.Put(platform.UpstreamPrefix+"u1", fmt.Sprintf(
		`{"service":"plain","address":%q,"zone":"north-a","slots":8,"state":"draining","born":1}`, u1.server.Listener.Addr()))
	w.until("u1 gets nothing", func() bool {
		status, _, _ := v.call(t, "/a/", "x", nil)
		return status == http.StatusServiceUnavailable
	})
	before := u1.count()
	w.store.Remove(platform.UpstreamPrefix + "u1")
	w.upstream("u2", "plain", "north", nil)
	w.until("u2 answers", func() bool {
		status, _, _ := v.call(t, "/a/", "x", nil)
		return status == http.StatusOK
	})
	if u1.count() != before {
		t.Error("the leaving upstream got requests")
	}
}

// Guards against a request that crashes one upstream after the other.
func TestCrashingRequestIsStopped(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "safe", "plain", ""))
	var all []*fakeUpstream
	for i := range 8 {
		all = append(all, w.upstream(fmt.Sprintf("u%d", i), "plain", "north", breakOff))
	}
	v := w.vm("vm1", "north", true)
	for range 6 {
		v.call(t, "/a/", "poison", nil)
	}
	crashes := 0
	for _, u := range all {
		crashes += u.count()
	}
	if crashes > 4 {
		t.Errorf("the request reached %d upstreams", crashes)
	}
}

// Guards against callers that are sent to a region in which their requests must not run, while the VMs of
// their own region are replaced.
func TestDirectory(t *testing.T) {
	w := newWorld(t, "north", "south", "east")
	w.config(1, routeText("a", "safe", "plain", `,"home_regions":["north","south"]`)+","+
		routeText("b", "safe", "plain", `,"home_regions":["south"]`))
	v := w.vm("vm1", "north", true)
	south := w.vm("vm2", "south", true)
	w.vm("vm3", "east", true)
	w.meet()
	check := func(what, region string, want ...string) {
		t.Helper()
		if got := v.Addresses(v.Now(), region, "h"); strings.Join(got, " ") != strings.Join(want, " ") {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	check("own region", "north", v.Settings.CallerListen)
	check("region without VMs", "west", south.Settings.CallerListen)
	south.Leave(south.Now())
	w.until("the leaving vm is known", func() bool { return len(v.Fleet.Leaving(v.Now(), "south")) == 1 })
	check("region whose only vm leaves", "south", south.Settings.CallerListen)
	check("region without VMs while the home leaves", "west", v.Settings.CallerListen)
}

// Guards against a VM that takes the others' part of a cold upstream's bound before it has met them.
func TestNewVMAssumesOthers(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "safe", "plain", ""))
	v := w.vm("vm1", "north", true)
	w.vm("vm2", "north", true)
	w.meet()
	if n := v.sharers(v.started); n != startSharers {
		t.Errorf("%d sharers at the start, want %d", n, startSharers)
	}
	if n := v.sharers(v.started.Add(firstMeetingTime)); n != unknownSharers {
		t.Errorf("%d sharers after meeting one VM, want %d", n, unknownSharers)
	}
	if n := v.sharers(v.Now().Add(meetingTime)); n != 2 {
		t.Errorf("%d sharers later, want 2", n)
	}
}

// Guards against the VMs of a large region that all start at once and each send to an upstream that is cold, before
// they know of each other; and against a VM without others that never does.
func TestStartingVMSparesColdUpstreams(t *testing.T) {
	w := newWorld(t, "north")
	v := w.vm("vm1", "north", false)
	service := &route.Service{Name: "s", WarmUp: time.Minute, WarmUpRate: 3}
	v.Replicas.Put(v.Now(), replica.Entry{ID: "u1", Service: "s", Slots: 8, Born: 1, ColdFor: time.Minute}, time.Minute)
	if _, ok := v.Replicas.Pick(v.Now(), replica.Request{Service: service}); ok {
		t.Error("a VM that has just started sends to a cold upstream")
	}
	w.until("a VM that has met nobody uses it", func() bool {
		_, ok := v.Replicas.Estimate(v.Now(), replica.Request{Service: service})
		return ok
	})
}

// Guards against a request that is lost on a kept connection, because the leaving VM closes the connection
// while the request arrives.
func TestLeavingVMAnswersOnKeptConnections(t *testing.T) {
	w := newWorld(t, "north")
	w.config(1, routeText("a", "unsafe", "plain", ""))
	w.upstream("u1", "plain", "north", nil)
	v := w.vm("vm1", "north", true)
	if status, _, _ := v.call(t, "/a/", "x", nil); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	v.Leave(v.Now())
	status, _, header := v.call(t, "/a/", "x", nil)
	if status != http.StatusOK {
		t.Errorf("status %d on a kept connection of a leaving vm", status)
	}
	resp, err := http.DefaultClient.Do(v.request(t, "/a/", "x", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if !resp.Close {
		t.Errorf("the answer of a leaving vm keeps the connection: %v", header)
	}
}

// Guards against the operators' limits for connections that are not kept: an idle connection, and one whose header
// does not end, stay open for as long as the caller wants.
func TestConnectionLimits(t *testing.T) {
	w := newWorld(t, "north")
	w.store.Put(platform.ConfigKey, `{"version":1,"routes":[`+routeText("a", "safe", "plain", "")+`],"services":[{"name":"plain"}],
		"limits":{"header_timeout_ms":400,"idle_timeout_ms":900},"tenants":[{"name":"w1","api_keys":["secret"]}]}`)
	w.upstream("u1", "plain", "north", nil)
	v := w.vm("vm1", "north", true)
	for _, c := range []struct {
		sent string
		want time.Duration
	}{
		{"GET /a/ HTTP/1.1\r\n", 400 * time.Millisecond},
		{"GET /a/ HTTP/1.1\r\nHost: h\r\nX-Api-Key: secret\r\nRequest-Id: 1\r\n\r\n", 900 * time.Millisecond},
	} {
		conn, err := net.Dial("tcp", v.Settings.CallerListen)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := io.WriteString(conn, c.sent); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(start.Add(5 * time.Second))
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Errorf("after %q: %v, want the connection to be closed", c.sent, err)
		}
		if took := time.Since(start); took < c.want {
			t.Errorf("after %q: closed after %v, want %v at least", c.sent, took, c.want)
		}
		_ = conn.Close()
	}
}

package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// silentTime is the time for which an upstream of these tests sends nothing in the middle of a stream: longer than
// the wait for the next event, and shorter than callers wait.
const silentTime = 2500 * time.Millisecond

// writeEventsWithPause writes five events of a stream with a pause of silentTime after the second.
func writeEventsWithPause(rw http.ResponseWriter, _ *http.Request) {
	writeEvents(rw, 1, 2, true)
	time.Sleep(silentTime)
	writeEvents(rw, 3, 5, true)
}

// Guards against a stream that is broken off because its upstream is silent for a while, although it cannot resume at
// another upstream.
func TestStreamOfSilentUpstreamIsNotCut(t *testing.T) {
	for name, c := range map[string]struct {
		upstreams int
		// withoutRetries leaves the VM no retries.
		withoutRetries bool
		forwarded      bool
	}{
		"only upstream":          {upstreams: 1},
		"no retries left":        {upstreams: 2, withoutRetries: true},
		"in another region":      {upstreams: 1, forwarded: true},
		"there, no retries left": {upstreams: 2, forwarded: true, withoutRetries: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north", "south")
			if c.withoutRetries {
				w.retrySlack = 0
			}
			extra := `,"resumable":true`
			region := "north"
			if c.forwarded {
				region = "south"
				extra += `,"home_regions":["south"]`
			}
			w.publishConfig(1, strings.Replace(routeJSON("a", "streaming", "plain", extra), `"timeout_ms":3000`, `"timeout_ms":8000`, 1))
			var upstreams []*fakeUpstream
			for i := range c.upstreams {
				upstreams = append(upstreams, w.addUpstream(fmt.Sprintf("u%d", i), "plain", region, writeEventsWithPause))
			}
			v := w.startVM("vm1", "north", true)
			w.startVM("vm2", "south", true)
			w.waitForMembership()
			w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("plain", c.upstreams) })
			status, body, err := v.read(t, "/a/", extraHeaders{platform.HeaderDeadline: "8000"})
			if status != http.StatusOK || err != nil || strings.Count(body, "data:") != 5 {
				t.Errorf("answer %d %q, error %v, want all five events", status, body, err)
			}
			requests := 0
			for _, u := range upstreams {
				requests += u.requestCount()
			}
			if requests != 1 {
				t.Errorf("the request was sent %d times, want once", requests)
			}
		})
	}
}

// Guards against a session between VMs, or another request on it, that ends because an upstream or a caller is silent for a
// while.
func TestSilenceEndsNoSession(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, "north", "south")
	route := func(name, kind, service string) string {
		return strings.Replace(routeJSON(name, kind, service, `,"home_regions":["south"]`), `"timeout_ms":3000`, `"timeout_ms":9000`, 1)
	}
	w.store.Put(platform.ConfigKey, fmt.Sprintf(`{"version":1,"routes":[%s,%s,%s],"services":[{"name":"silent"},{"name":"long"},{"name":"quick"}],
		"tenants":[{"name":"w1","api_keys":["secret"]}]}`, route("silent", "unsafe", "silent"), route("long", "safe", "long"), route("quick", "unsafe", "quick")))
	w.addUpstream("u1", "silent", "south", func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(silentTime)
		fmt.Fprint(rw, "late")
	})
	long := strings.Repeat("0123456789abcdef", 1<<20)
	w.addUpstream("u2", "long", "south", func(rw http.ResponseWriter, _ *http.Request) { fmt.Fprint(rw, long) })
	w.addUpstream("u3", "quick", "south", nil)
	v := w.startVM("vm1", "north", true)
	w.startVM("vm2", "south", true)
	w.waitForMembership()
	w.waitFor("the upstreams are known", func() bool {
		return v.knowsUpstreams("silent", 1) && v.knowsUpstreams("long", 1) && v.knowsUpstreams("quick", 1)
	})
	deadline := extraHeaders{platform.HeaderDeadline: "9000"}
	var wait sync.WaitGroup
	wait.Go(func() {
		if status, body, err := v.read(t, "/silent/", deadline); status != http.StatusOK || body != "late" || err != nil {
			t.Errorf("silent upstream: answer %d %q, error %v", status, body, err)
		}
	})
	wait.Go(func() {
		if n, err := v.readAfter(t, "/long/", silentTime, deadline); n != len(long) || err != nil {
			t.Errorf("silent caller: %d bytes, error %v, want %d", n, err, len(long))
		}
	})
	for end := time.Now().Add(silentTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if status, body, err := v.read(t, "/quick/", nil); status != http.StatusOK || body != "u3 answers x" || err != nil {
			t.Fatalf("another request: answer %d %q, error %v", status, body, err)
		}
	}
	wait.Wait()
}

// readAfter sends a request, reads its answer only after a while and returns the length of the body.
func (v *testVM) readAfter(t *testing.T, path string, pause time.Duration, extra extraHeaders) (int, error) {
	conn, err := net.Dial("tcp", v.Settings.CallerListen)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	r := v.request(t, path, "x", extra)
	if err := r.Write(conn); err != nil {
		return 0, err
	}
	time.Sleep(pause)
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return int(n), err
}

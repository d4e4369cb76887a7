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

package edge

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a forwarded request with a long body that gets its refusal only at its deadline, because the other VM
// refuses it before it has read the body.
func TestEarlyRefusalOfForwardedBody(t *testing.T) {
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, strings.Replace(routeJSON("a", "safe", "plain", ""), `"timeout_ms":3000`, `"timeout_ms":8000`, 1))
	u := w.addUpstream("u1", "plain", "south", nil)
	v := w.startVM("vm1", "north", true)
	w.startVM("vm2", "south", true)
	w.waitForMembership()
	w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
	v.table().Config.Version = 99 // As after a change that has not reached the other region yet.
	for _, size := range []int{1 << 10, 300 << 10} {
		start := time.Now()
		status, body, _ := v.call(t, "/a/", strings.Repeat("x", size), nil)
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("%d bytes: answer after %v", size, took.Round(10*time.Millisecond))
		}
		if status != http.StatusServiceUnavailable || !strings.Contains(body, string(NoConfiguration)) || !strings.Contains(body, NotRun.String()) {
			t.Errorf("%d bytes: answer %d %q, want the refusal of the other vm", size, status, body)
		}
	}
	if n := u.requestCount(); n != 0 {
		t.Errorf("the upstream got %d requests", n)
	}
}

package edge

import (
	"fmt"
	"net/http"
	"strings"
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

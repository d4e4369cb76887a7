package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/replica"
)

// Guards against requests and streams that fail because the VM of another region gets a new configuration a moment later
// than the caller's.
func TestForwardedRequestWaitsForConfiguration(t *testing.T) {
	const delay = 150 * time.Millisecond
	routes := routeJSON("stream", "streaming", "engine", `,"resumable":true`) + "," + routeJSON("far", "unsafe", "plain", `,"home_regions":["south"]`)
	config := func(version int) string {
		return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"plain"},{"name":"engine"}],"tenants":[{"name":"w1","api_keys":["secret"]}]}`, version, routes)
	}
	for _, path := range []string{"/far/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			w := newTestCluster(t, "north", "south")
			w.store.Put(platform.ConfigKey, config(1))
			// Either upstream may be chosen first.
			handle := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "3" {
					writeEvents(rw, 4, 5, true)
					return
				}
				writeEvents(rw, 1, 3, false)
			}
			w.addUpstream("u1", "engine", "north", handle)
			v := w.startVM("vm1", "north", true)
			w.startVM("vm2", "south", true)
			w.addUpstream("u2", "engine", "south", handle)
			w.addUpstream("u3", "plain", "south", func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 5, true) })
			w.waitForMembership()
			w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("engine", 2) && v.knowsUpstreams("plain", 1) })
			v.Watcher.AcceptConfig([]byte(config(2)))
			time.AfterFunc(delay, func() { w.store.Put(platform.ConfigKey, config(2)) })
			status, body, err := v.read(t, path, nil)
			if status != http.StatusOK || err != nil || strings.Count(body, "data:") != 5 {
				t.Errorf("answer %d %q, error %v, want all five events", status, body, err)
			}
		})
	}
}

// Guards against a stream that ends because the VM of another region refuses to resume it, although an upstream of the
// caller's region can: the other VM may already have a configuration without the route.
func TestStreamResumesHereAfterRefusalElsewhere(t *testing.T) {
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, routeJSON("a", "streaming", "plain", `,"resumable":true`))
	resume := func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 4, 5, true) }
	w.addUpstream("u1", "plain", "north", func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 3, false) })
	w.addUpstream("u2", "plain", "north", resume)
	w.addUpstream("u3", "plain", "south", resume)
	north, south := w.startVM("vm1", "north", true), w.startVM("vm2", "south", true)
	w.waitForMembership()
	w.waitFor("the upstreams are known", func() bool { return north.knowsUpstreams("plain", 3) })
	// One second of work is queued at u2, so that the stream begins at u1 and would resume in the south.
	north.Replicas.SetPeerUse(north.Now(), "other", map[string]replica.Use{"u2": {Running: 1, Prefill: [replica.RankCount]int64{60_000}}})
	south.Watcher.AcceptConfig([]byte(`{"version":2,"routes":[` + routeJSON("b", "safe", "plain", "") + `],"services":[{"name":"plain"}],"tenants":[{"name":"w1","api_keys":["secret"]}]}`))
	status, body, err := north.read(t, "/a/", nil)
	if status != http.StatusOK || err != nil || strings.Count(body, "data:") != 5 {
		t.Errorf("answer %d %q, error %v, want all five events", status, body, err)
	}
}

package edge

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"parsleyhatch/platform"
)

// Guards against a stream whose caller's connection is closed without any answer because the upstream sent a head but no
// event.
func TestStreamWithoutEventIsAnswered(t *testing.T) {
	sendHead := func(rw http.ResponseWriter) {
		rw.Header().Set("Content-Type", "text/event-stream")
		rw.WriteHeader(http.StatusOK)
		rw.(http.Flusher).Flush()
	}
	handlers := map[string]struct {
		handle http.HandlerFunc
		want   int
	}{
		"broken off": {func(rw http.ResponseWriter, _ *http.Request) {
			sendHead(rw)
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
		"broken off inside the first event": {func(rw http.ResponseWriter, _ *http.Request) {
			sendHead(rw)
			_, _ = io.WriteString(rw, "id: 1\nda")
			rw.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}, http.StatusBadGateway},
		"silent until the deadline": {func(rw http.ResponseWriter, r *http.Request) {
			sendHead(rw)
			<-r.Context().Done()
		}, http.StatusGatewayTimeout},
	}
	for name, c := range handlers {
		for _, region := range []string{"north", "south"} {
			t.Run(name+" in "+region, func(t *testing.T) {
				t.Parallel()
				w := newTestCluster(t, "north", "south")
				w.publishConfig(1, routeJSON("a", "streaming", "plain", `,"home_regions":["`+region+`"]`))
				w.addUpstream("u1", "plain", region, c.handle)
				v := w.startVM("vm1", "north", true)
				w.startVM("vm2", "south", true)
				w.waitForMembership()
				w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
				status, body, err := v.read(t, "/a/", extraHeaders{platform.HeaderDeadline: "1000"})
				if status != c.want || err != nil || !strings.Contains(body, `"ran":"unknown"`) {
					t.Errorf("status %d %q, error %v, want %d", status, body, err, c.want)
				}
			})
		}
	}
}

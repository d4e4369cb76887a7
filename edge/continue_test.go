package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against an answer that goes on with the bytes of another one: where the first upstream broke off an answer that cannot be
// continued, and where the second one continues a stream with something else.
func TestBrokenAnswerGoesOnWithItsStreamOnly(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxUnsizedAnswer/8)
	withoutID := func(rw http.ResponseWriter, text string) {
		rw.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(rw, "data: %s\n\n", text)
		rw.(http.Flusher).Flush()
	}
	for name, c := range map[string]struct {
		first, second http.HandlerFunc
		// want is the longest prefix of the answer's body that the caller may get.
		want string
	}{
		"long answer that is no stream": {
			func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set("Content-Type", "text/plain")
				fmt.Fprint(rw, long)
				rw.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			},
			func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 2, true) },
			long,
		},
		"events without ids": {
			func(rw http.ResponseWriter, _ *http.Request) { withoutID(rw, "one"); panic(http.ErrAbortHandler) },
			func(rw http.ResponseWriter, _ *http.Request) { withoutID(rw, "one") },
			"data: one\n\n",
		},
		"error event without an id": {
			func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 1, false) },
			func(rw http.ResponseWriter, _ *http.Request) { withoutID(rw, "failed") },
			"id: 1\ndata: piece 1\n\n",
		},
		"head of another answer": {
			func(rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 1, false) },
			writeUnsized("text/event-stream", "HTTP/1.1 500 Internal Server Error\nContent-Length: 6\n\nfailed\n\n", endClosed),
			"id: 1\ndata: piece 1\n\n",
		},
	} {
		for _, first := range []string{"north", "south"} {
			t.Run(name+" from the "+first, func(t *testing.T) {
				t.Parallel()
				w := newTestCluster(t, "north", "south")
				w.publishConfig(1, longRouteJSON())
				var runs atomic.Int32
				handle := func(rw http.ResponseWriter, r *http.Request) {
					if runs.Add(1) == 1 {
						c.first(rw, r)
						return
					}
					c.second(rw, r)
				}
				w.addUpstream("u1", "plain", first, handle)
				w.addUpstream("u2", "plain", first, handle)
				v := w.startVM("vm1", "north", true)
				w.startVM("vm2", "south", true)
				w.waitForMembership()
				w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("plain", 2) })
				_, body, err := v.read(t, "/a/", nil)
				if err == nil || !strings.HasPrefix(c.want, body) {
					t.Errorf("the answer ends with %v after %d bytes: %.200q", err, len(body), body[max(0, len(body)-200):])
				}
			})
		}
	}
}

package edge

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"parsleyhatch/platform"
)

// Guards against a request that waits for the body of a refusal until its deadline, although another upstream could serve it.
func TestRefusalWithoutItsBodyIsNotWaitedFor(t *testing.T) {
	for name, status := range map[string]string{"full": "503 Service Unavailable", "misdirected": "421 Misdirected Request"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north")
			w.publishConfig(1, routeJSON("a", "unsafe", "plain", ""))
			u2 := w.startUpstream("u2", nil)
			w.addUpstream("u1", "plain", "north", func(rw http.ResponseWriter, r *http.Request) {
				w.registerUpstream("u2", "plain", "north", u2.server.Listener.Addr().String())
				conn, buf, err := rw.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer func() { _ = conn.Close() }()
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 10\r\n\r\n",
					status, platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderNotExecuted)
				_, _ = buf.ReadByte() // Waits until the VM closes the connection.
			})
			v := w.startVM("vm1", "north", true)
			w.waitFor("the first upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
			if status, body, _ := v.call(t, "/a/", "x", nil); strings.Contains(body, string(TimedOut)) {
				t.Errorf("answer %d %q", status, body)
			}
		})
	}
}

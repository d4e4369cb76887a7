package edge

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/route"
)

// Guards against a stream that goes on after an event that could not be written: nobody knows how much of it has arrived.
func TestStreamEndsWithFailedWrite(t *testing.T) {
	w := newScriptedCluster(t)
	for _, name := range []string{"a", "b"} {
		t.Run("route "+name, func(t *testing.T) {
			h := w.request(t, name, "", []string{"+ + |", "+ + |"})
			r := w.caller.admitted(t, h, "x")
			writes := 0
			sink := &Sink{
				Head: func(int, http.Header, int) error { return nil },
				Data: func([]byte, bool) error {
					writes++
					return errors.New("the write failed")
				},
			}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			out := w.caller.run(ctx, r, sink)
			if writes != 1 || out.Complete || out.Reason != CallerDisconnected {
				t.Errorf("%d writes, outcome %+v", writes, out)
			}
		})
	}
}

// admitted returns a request of a caller that may be run.
func (v *testVM) admitted(t *testing.T, h *http.Request, body string) *request {
	t.Helper()
	r := &request{callerRequest: callerRequest{
		id: h.Header.Get(platform.HeaderRequestID), method: h.Method, target: h.URL.Path, host: h.Host, header: h.Header, body: []byte(body), arrived: time.Now(),
	}}
	r.key, r.hasKey = route.HashKey(h.Header.Get(platform.HeaderAPIKey)), true
	if out, ok := v.routeAndAuthenticate(v.Now(), v.table(), r, r.target); !ok {
		t.Fatal(out)
	}
	if out, ok := v.prepare(v.table(), r); !ok {
		t.Fatal(out)
	}
	return r
}

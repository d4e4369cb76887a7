package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// trickle sends text at an interval until the request is cancelled.
func trickle(rw http.ResponseWriter, r *http.Request, text string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			fmt.Fprint(rw, text)
			rw.(http.Flusher).Flush()
		}
	}
}

// Guards against a stalled stream that never ends because its upstream sends comments or single bytes now and then.
func TestTricklingStreamIsResumed(t *testing.T) {
	for name, text := range map[string]string{"comments": ": still here\n\n", "bytes of an event": "x"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north")
			w.publishConfig(1, routeJSON("a", "streaming", "plain", `,"resumable":true`))
			handle := func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(platform.HeaderLastEventID) == "2" {
					writeEvents(rw, 3, 4, true)
					return
				}
				writeEvents(rw, 1, 2, true)
				trickle(rw, r, text, 200*time.Millisecond)
			}
			w.addUpstream("u1", "plain", "north", handle)
			w.addUpstream("u2", "plain", "north", handle)
			v := w.startVM("vm1", "north", true)
			w.waitFor("both upstreams are known", func() bool { return v.knowsUpstreams("plain", 2) })
			start := time.Now()
			status, body, _ := v.call(t, "/a/", "x", nil)
			if status != http.StatusOK || !strings.Contains(body, "data: piece 4\n\n") {
				t.Errorf("answer %d %q after %v", status, body, time.Since(start))
			}
		})
	}
}

// Guards against a sound stream that is cut because its events come slowly, just within the limit on pauses.
func TestSlowStreamIsNotCut(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, "north")
	w.publishConfig(1, routeJSON("a", "streaming", "plain", `,"resumable":true`))
	handle := func(rw http.ResponseWriter, _ *http.Request) {
		writeEvents(rw, 1, 1, true)
		for i := 2; i <= 3; i++ {
			time.Sleep(minStallTimeout - 400*time.Millisecond)
			writeEvents(rw, i, i, true)
		}
	}
	u1 := w.addUpstream("u1", "plain", "north", handle)
	u2 := w.addUpstream("u2", "plain", "north", handle)
	v := w.startVM("vm1", "north", true)
	w.waitFor("both upstreams are known", func() bool { return v.knowsUpstreams("plain", 2) })
	status, body, _ := v.call(t, "/a/", "x", nil)
	if status != http.StatusOK || !strings.HasSuffix(body, "id: 3\ndata: piece 3\n\n") || u1.requestCount()+u2.requestCount() != 1 {
		t.Errorf("answer %d %q from %d requests", status, body, u1.requestCount()+u2.requestCount())
	}
}

// writeFiller writes filler until the request is cancelled or limit bytes are sent.
func writeFiller(w io.Writer, r *http.Request, limit int) {
	filler := []byte(strings.Repeat("0123456789", 400))
	for sent := 0; sent < limit && r.Context().Err() == nil; sent += len(filler) {
		if _, err := w.Write(filler[:min(len(filler), limit-sent)]); err != nil {
			return
		}
	}
}

// stopShort returns a handler whose answer stops after the given bytes of a body of maxBufferedAnswer until the request is
// cancelled.
func stopShort(sent int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Length", strconv.Itoa(maxBufferedAnswer))
		writeFiller(rw, r, sent)
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}
}

// writeEndlessBody returns a handler whose answer has no end.
func writeEndlessBody(contentType string) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Content-Type", contentType)
		writeFiller(rw, r, 4*maxRelayedAnswer)
	}
}

// Guards against a VM whose memory is filled by upstreams that send bytes without end, or less than they announce.
func TestEndlessBodies(t *testing.T) {
	const upstreams = 32
	const maxGrowth = 20 << 20
	for name, c := range map[string]struct {
		kind        string
		memoryBytes int64
		handle      http.HandlerFunc
	}{
		"stream without events":   {"streaming", 0, writeEndlessBody("text/event-stream")},
		"body without a length":   {"safe", 0, writeEndlessBody("application/octet-stream")},
		"stream that is no event": {"streaming", 0, writeEndlessBody("application/json")},
		"body that stops short":   {"unsafe", testMemoryBytes, stopShort(maxBufferedAnswer - 1)},
		"head without an end":     {"safe", 0, writeEndless("HTTP/1.1 200 OK\r\nFiller: ", strings.Repeat("0123456789", 400))},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, "north")
			w.memoryBytes = c.memoryBytes
			w.publishConfig(1, routeJSON("a", c.kind, "plain", ""))
			w.addUpstream("u1", "plain", "north", c.handle)
			v := w.startVM("vm1", "north", true)
			w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
			idle := heapBytes()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			peak := v.callEndless(ctx, t, upstreams)
			if growth := int64(peak) - int64(idle); growth > maxGrowth {
				t.Errorf("%d requests took %d bytes, want at most %d", upstreams, growth, maxGrowth)
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// callEndless sends requests at the same time, reads no more of each answer than 64 KB a time until ctx ends, and returns
// the largest heap in use.
func (v *testVM) callEndless(ctx context.Context, t *testing.T, requests int) uint64 {
	t.Helper()
	var wait sync.WaitGroup
	for range requests {
		wait.Go(func() {
			resp, err := http.DefaultClient.Do(v.request(t, "/a/", "x", nil).WithContext(ctx))
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			buf := make([]byte, 64<<10)
			for {
				if _, err := resp.Body.Read(buf); err != nil {
					return
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	var peak uint64
	for {
		select {
		case <-done:
			return peak
		case <-time.After(50 * time.Millisecond):
			peak = max(peak, heapBytes())
		}
	}
}

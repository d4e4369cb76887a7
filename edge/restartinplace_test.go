package edge

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/replica"
)

// restart starts an upstream that has ended again at its address, with another software version than its registration says.
func (u *versionedUpstream) restart(t *testing.T, version string, cut <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", u.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	next := &versionedUpstream{version: version, fakeUpstream: &fakeUpstream{id: u.id}}
	next.handle = func(rw http.ResponseWriter, r *http.Request) { next.writeStream(rw, r, cut) }
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(next.serve)}}
	server.Start()
	t.Cleanup(server.Close)
}

// Guards against a stream that goes on at another software version, because its upstream ended and started again at the same address within a
// moment, and its registration still names the earlier version: the end of the stream is all that shows it.
func TestUpstreamThatRestartsInPlaceIsDoubted(t *testing.T) {
	w := newTestCluster(t, "north")
	w.publishConfig(1, strings.Replace(longRouteJSON(), `"max_attempts":2`, `"max_attempts":4`, 1))
	v := w.startVM("vm1", "north", true)
	firstEnds, otherEnds := make(chan struct{}), make(chan struct{})
	first := w.addVersion("first", "v1", "north", firstEnds)
	w.waitFor("the first upstream is known", func() bool { return v.Watcher.UpstreamCount("plain", "north") == 1 })
	r := v.request(t, "/a/", "x", extraHeaders{platform.HeaderDeadline: "8000"})
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	other := w.addVersion("other", "v1", "north", otherEnds)
	w.waitFor("the other upstream is known", func() bool { return v.Watcher.UpstreamCount("plain", "north") == 2 })

	_ = first.server.Listener.Close()
	close(firstEnds)
	w.waitFor("the other upstream has the stream", func() bool { return other.requestCount() == 1 })
	const restartTime = 100 * time.Millisecond
	time.Sleep(restartTime)
	first.restart(t, "v2", nil)

	_ = other.server.Listener.Close()
	close(otherEnds)
	data, _ := io.ReadAll(resp.Body) // What has arrived counts.
	_, rest := v.resumeStream(t, r.Header.Get(platform.HeaderRequestID), strings.Count(string(data), "\n\n"))
	if body := string(data) + rest; strings.Contains(body, "v2") {
		t.Errorf("the stream is joined from two versions: %q", body)
	}
}

// Guards against a stream that begins at an upstream which has restarted in place, and goes on at the version of its earlier registration.
func TestStreamOfUpstreamThatRestartedInPlace(t *testing.T) {
	w := newTestCluster(t, "north")
	w.publishConfig(1, strings.Replace(longRouteJSON(), `"max_attempts":2`, `"max_attempts":4`, 1))
	v := w.startVM("vm1", "north", true)
	first := w.addVersion("first", "v1", "north", nil)
	w.waitFor("the first upstream is known", func() bool { return v.Watcher.UpstreamCount("plain", "north") == 1 })
	first.server.Close()
	v.checkPath(replica.Probe{ID: "first", Address: first.server.Listener.Addr().String(), Service: "plain"})
	w.waitFor("the first upstream has ended", func() bool { return v.Replicas.NeedsProbes() })
	ends := make(chan struct{})
	first.restart(t, "v2", ends)
	w.waitFor("the first upstream is back", func() bool { return !v.Replicas.NeedsProbes() })

	r := v.request(t, "/a/", "x", extraHeaders{platform.HeaderDeadline: "8000"})
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	w.addVersion("other", "v1", "north", nil)
	w.waitFor("the other upstream is known", func() bool { return v.Watcher.UpstreamCount("plain", "north") == 2 })
	close(ends)
	data, _ := io.ReadAll(resp.Body) // What has arrived counts.
	_, rest := v.resumeStream(t, r.Header.Get(platform.HeaderRequestID), strings.Count(string(data), "\n\n"))
	if body := string(data) + rest; strings.Contains(body, "v1") && strings.Contains(body, "v2") {
		t.Errorf("the stream is joined from two versions: %q", body)
	}
}

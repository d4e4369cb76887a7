package edge

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/upstream"
	"parsleyhatch/vmwire"
)

// partHeaders are the headers of a request whose prompt has the parts 7 and 8, of which other requests may share 7.
func partHeaders() extraHeaders {
	return extraHeaders{platform.HeaderPromptPrefix: "7:10,8:10", platform.HeaderTokenUsage: "20,5"}
}

// mergeCrashes lets a VM know of crashes of other upstreams that ran requests with part 7, the ages of which are given in
// seconds.
func (v *testVM) mergeCrashes(ages ...int64) {
	m := &vmwire.PartReport{}
	for i, age := range ages {
		m.Crashes = append(m.Crashes, vmwire.PartCrash{
			Service: "engine", Upstream: "gone", Born: int64(i), Age: vmwire.Age(1000 * age), Parts: []uint64{7},
		})
	}
	v.Parts.Merge(v.Now(), m)
}

// suspectedParts returns the number of suspected parts at a VM.
func (v *testVM) suspectedParts() int {
	n, _ := v.Parts.Counts(v.Now())
	return n
}

// isQuarantined reports whether part 7 is quarantined at a VM.
func (v *testVM) isQuarantined() bool {
	return len(v.Parts.Quarantined(v.Now(), "engine", []uint64{7})) > 0
}

// newPartCluster returns a cluster with a VM in each of two regions and an upstream in each region named.
func newPartCluster(t *testing.T, handle http.HandlerFunc, regions ...string) (*testCluster, []*fakeUpstream) {
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, routeJSON("a", "streaming", "engine", `,"resumable":true`))
	var upstreams []*fakeUpstream
	for i, region := range regions {
		upstreams = append(upstreams, w.addUpstream(fmt.Sprintf("u%d", i), "engine", region, handle))
	}
	w.startVM("vm0", "north", true)
	w.startVM("vm1", "south", true)
	w.waitForMembership()
	for _, v := range w.vms {
		w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("engine", len(regions)) })
	}
	return w, upstreams
}

// Guards against a sound part that stays suspected because all answers end with their connection, and against one that is
// cleared by an answer that a crash may have cut after its first event.
func TestStreamsThatEndWithTheirConnectionClearParts(t *testing.T) {
	for events, suspected := range map[int]int{1: 1, 3: 0} {
		body := pieces(1, events)
		w, _ := newPartCluster(t, writeUnsized("text/event-stream", body, endClosed), "north")
		v := w.vms[0]
		v.mergeCrashes(1, 2)
		if status, got, _ := v.call(t, "/a/", "x", partHeaders()); status != http.StatusOK || got != body {
			t.Errorf("%d events: answer %d %q", events, status, got)
		}
		if n := v.suspectedParts(); n != suspected {
			t.Errorf("%d events: %d suspected parts after the answer, want %d", events, n, suspected)
		}
	}
}

// Guards against a retry that crashes another upstream although its prompt part has been quarantined since the first
// attempt.
func TestRetryStopsAtQuarantine(t *testing.T) {
	w, upstreams := newPartCluster(t, abortConnection, "north", "north")
	for _, v := range w.vms {
		v.mergeCrashes(8, 6)
	}
	if _, _, err := w.vms[0].read(t, "/a/", partHeaders()); err != nil {
		t.Error(err)
	}
	if n := upstreams[0].requestCount() + upstreams[1].requestCount(); n != 1 {
		t.Errorf("%d upstreams received the request, want one", n)
	}
	for _, v := range w.vms {
		w.waitFor("the part is quarantined at "+v.Settings.Name, v.isQuarantined)
		if status, body, _ := v.call(t, "/a/", "x", partHeaders()); status != http.StatusInternalServerError || !strings.Contains(body, string(Quarantined)) {
			t.Errorf("%s answers %d %q, want a refusal as quarantined", v.Settings.Name, status, body)
		}
	}
}

// Guards against a VM that sends requests with a quarantined part because it started later, or lost its sessions.
func TestStartingVMLearnsQuarantinedParts(t *testing.T) {
	w, upstreams := newPartCluster(t, nil, "north")
	w.vms[0].mergeCrashes(6, 4, 2)
	v := w.startVM("vm2", "south", true)
	w.waitFor("the part is quarantined at the new VM", v.isQuarantined)
	if status, body, _ := v.call(t, "/a/", "x", partHeaders()); status != http.StatusInternalServerError || !strings.Contains(body, string(Quarantined)) {
		t.Errorf("answer %d %q, want a refusal as quarantined", status, body)
	}
	if n := upstreams[0].requestCount(); n != 0 {
		t.Errorf("%d requests reached the upstream", n)
	}
}

// Guards against a VM that sends a quarantined request again because it started after the crashes.
func TestStartingVMLearnsQuarantinedRequests(t *testing.T) {
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, routeJSON("a", "unsafe", "plain", ""))
	var upstreams []*fakeUpstream
	for _, id := range []string{"u0", "u1", "u2", "u3", "u4"} {
		upstreams = append(upstreams, w.addUpstream(id, "plain", "north", abortConnection))
	}
	received := func() int {
		n := 0
		for _, u := range upstreams {
			n += u.requestCount()
		}
		return n
	}
	first := w.startVM("vm0", "north", true)
	w.waitFor("the upstreams are known", func() bool { return first.knowsUpstreams("plain", len(upstreams)) })
	for range 3 {
		if status, body, _ := first.call(t, "/a/", "crash", nil); status != http.StatusBadGateway {
			t.Errorf("answer %d %q, want 502 because the upstream crashed", status, body)
		}
	}
	crashes := received()
	if status, body, _ := first.call(t, "/a/", "crash", nil); !strings.Contains(body, string(Quarantined)) || received() != crashes {
		t.Fatalf("answer %d %q after %d crashes, want a refusal as quarantined", status, body, crashes)
	}
	for _, region := range []string{"north", "south"} {
		v := w.startVM("new in "+region, region, true)
		w.waitForMembership()
		w.waitFor("the request is quarantined at the VM in "+region, func() bool { return v.Poison.Len() == 1 })
		if status, body, _ := v.call(t, "/a/", "crash", nil); !strings.Contains(body, string(Quarantined)) {
			t.Errorf("the VM in %s answers %d %q, want a refusal as quarantined", region, status, body)
		}
	}
	if n := received() - crashes; n != 0 {
		t.Errorf("upstreams received the request %d times more", n)
	}
}

// Guards against a request that is refused after it ran at three upstreams that crashed, although it completes in between.
func TestCompletedRequestIsNotQuarantined(t *testing.T) {
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, routeJSON("a", "unsafe", "plain", ""))
	var abort atomic.Bool
	w.addUpstream("u0", "plain", "north", func(rw http.ResponseWriter, _ *http.Request) {
		if abort.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, "done")
	})
	v := w.startVM("vm0", "north", true)
	other := w.startVM("vm1", "south", true)
	w.waitForMembership()
	w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
	for i := range 5 {
		abort.Store(true)
		v.call(t, "/a/", "x", nil)
		w.waitFor("the other VM suspects the request", func() bool { return other.Poison.Len() == 1 })
		abort.Store(false)
		if status, body, _ := v.call(t, "/a/", "x", nil); status != http.StatusOK {
			t.Errorf("answer %d %q after %d crashes", status, body, i+1)
		}
	}
	if status, body, _ := other.call(t, "/a/", "x", nil); status != http.StatusOK {
		t.Errorf("the other VM answers %d %q", status, body)
	}
}

// Guards against suspicion and quarantine that operators do not see.
func TestSuspectsAreLogged(t *testing.T) {
	var log bytes.Buffer
	e, err := New(platform.Settings{Name: "vm0", Region: "north"}, slog.New(slog.NewTextHandler(&log, nil)))
	if err != nil {
		t.Fatal(err)
	}
	now := e.Now()
	for i := range 3 {
		now = now.Add(time.Second)
		e.Poison.RecordCrash(now, "u", []poison.Fingerprint{{1}})
		e.Parts.RecordCrash(now, poison.Lifetime{Upstream: "u", Born: int64(i)}, "engine", []uint64{7})
	}
	for _, event := range []string{"event=1701", "event=1702", "event=1705", "event=1706"} {
		if !strings.Contains(log.String(), event) {
			t.Errorf("no line with %s in\n%s", event, &log)
		}
	}
}

// Guards against a quarantine of a part that crashes nothing and that nothing ends, since no request with it is sent, or
// since the one that is sent does not run.
func TestWrongPartQuarantineHeals(t *testing.T) {
	t.Parallel()
	var refused atomic.Bool
	w, upstreams := newPartCluster(t, func(rw http.ResponseWriter, _ *http.Request) {
		if !refused.Swap(true) {
			rw.Header().Set(platform.HeaderNotExecuted, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeEvents(rw, 1, 2, true)
	}, "north")
	interval := poison.DefaultPartLimits().CompletedProbeInterval
	began := time.Now()
	for _, v := range w.vms {
		// The part completed before the crashes, so it is tested early.
		v.Parts.Merge(v.Now(), &vmwire.PartReport{Completions: []vmwire.PartCompletion{{Service: "engine", Part: 7, Age: 20000}}})
		v.mergeCrashes(8, 6, 4)
	}
	answered := 0
	for time.Since(began) < interval+time.Second && answered == 0 {
		for _, v := range w.vms {
			if status, _, _ := v.call(t, "/a/", "x", partHeaders()); status == http.StatusOK {
				answered++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(began); answered == 0 || took < interval {
		t.Errorf("%d requests were answered after %v, want one after %v", answered, took, interval)
	}
	if n := upstreams[0].requestCount(); n != answered+1 {
		t.Errorf("%d requests reached the upstream, want %d and the refused one", n, answered)
	}
	for _, v := range w.vms {
		w.waitFor("no part is suspected at "+v.Settings.Name, func() bool { return v.suspectedParts() == 0 })
		if status, body, _ := v.call(t, "/a/", "x", partHeaders()); status != http.StatusOK {
			t.Errorf("%s answers %d %q after the test", v.Settings.Name, status, body)
		}
	}
}

// Guards against suspicion that stays although the upstream still answers: it only lost a connection.
func TestLostConnectionIsNoCrash(t *testing.T) {
	var lost atomic.Bool
	w, _ := newPartCluster(t, func(rw http.ResponseWriter, _ *http.Request) {
		if !lost.Swap(true) {
			panic(http.ErrAbortHandler)
		}
		writeEvents(rw, 1, 2, true)
	}, "north")
	_, _, _ = w.vms[0].read(t, "/a/", partHeaders())
	for _, v := range w.vms {
		w.waitFor("the part is suspected at "+v.Settings.Name, func() bool { return v.suspectedParts() == 1 })
	}
	// Other requests share no part with it. One that is sent within a message delay of the loss shows the other VM nothing.
	other := extraHeaders{platform.HeaderPromptPrefix: "9:10,a:10", platform.HeaderTokenUsage: "20,5"}
	for _, v := range w.vms {
		w.waitFor("no part is suspected at "+v.Settings.Name, func() bool {
			if status, body, _ := w.vms[0].call(t, "/a/", "x", other); status != http.StatusOK {
				t.Errorf("answer %d %q", status, body)
			}
			return v.suspectedParts() == 0
		})
	}
}

// Guards against suspicion of the parts of requests that did not crash the upstream: those whose answers went on for a
// while, those whose answers came too late, and the last part, which no other request has.
func TestOnlyStartingAnswersAreSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		prefix         string
		deadlineMillis string
		handle         http.HandlerFunc
		want           int
	}{
		"after an event": {prefix: "7:10,8:10", deadlineMillis: "2000", want: 1, handle: func(rw http.ResponseWriter, _ *http.Request) {
			writeEvents(rw, 1, 2, false)
		}},
		"after a second of events": {prefix: "7:10,8:10", deadlineMillis: "2000", handle: func(rw http.ResponseWriter, _ *http.Request) {
			writeEvents(rw, 1, 2, true)
			time.Sleep(steadyAnswerTime + 100*time.Millisecond)
			writeEvents(rw, 3, 4, false)
		}},
		"after the deadline": {prefix: "7:10,8:10", deadlineMillis: "200", handle: func(http.ResponseWriter, *http.Request) {
			time.Sleep(400 * time.Millisecond)
		}},
		"one part": {prefix: "7:10", deadlineMillis: "2000", handle: abortConnection},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w, _ := newPartCluster(t, c.handle, "north")
			_, _, _ = w.vms[0].read(t, "/a/", extraHeaders{
				platform.HeaderPromptPrefix: c.prefix, platform.HeaderTokenUsage: "20,5", platform.HeaderDeadline: c.deadlineMillis,
			})
			if n := w.vms[0].suspectedParts(); n != c.want {
				t.Errorf("%d parts are suspected, want %d", n, c.want)
			}
		})
	}
}

// Guards against suspicion after answers that were late or invalid, although their connections did not end.
func TestConnectionLoss(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{io.ErrUnexpectedEOF, true},
		{fmt.Errorf("read: %w", syscall.ECONNRESET), true},
		{&upstream.Failure{Kind: upstream.Broken, Err: io.EOF}, true},
		{&upstream.Failure{Kind: upstream.Mismatched, Err: errors.New("answer to another request")}, false},
		{fmt.Errorf("read: %w", os.ErrDeadlineExceeded), false},
		{errEventTooLong, false},
		{&upstream.Failure{Kind: upstream.Broken, Err: &upstream.LimitError{Limit: upstream.LimitHead}}, false},
	} {
		if got := isConnectionLoss(c.err); got != c.want {
			t.Errorf("%v: %v, want %v", c.err, got, c.want)
		}
	}
}

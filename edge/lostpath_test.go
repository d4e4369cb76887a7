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

// Guards against a stream that is broken off because its VM finds no new connection to the upstreams and counts as cut, although the
// upstream goes on, and nothing else can: the VM stops, has no other upstreams or VMs, or no retry budget.
func TestStreamThatCannotMoveKeepsItsUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		others     int
		retrySlack float64
		stops      bool
	}{
		"the VM stops":                {others: 1, retrySlack: 1000, stops: true},
		"there is no other VM":        {retrySlack: 1000},
		"the retry budget is used up": {others: 1, retrySlack: 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north")
			w.retrySlack = c.retrySlack
			w.grace = shortGrace
			w.publishConfig(1, routeJSON("a", "streaming", "plain", `,"resumable":true`))
			v := w.startVM("vm0", "north", true)
			link := cutLink(v)
			for i := range c.others {
				w.startVM(fmt.Sprint("other", i), "north", true)
			}
			w.waitForMembership()
			began, goOn := make(chan struct{}, 1), make(chan struct{})
			var probes []replica.Probe
			for i := range 4 {
				id := fmt.Sprint("u", i)
				u := w.addUpstream(id, "plain", "north", func(rw http.ResponseWriter, _ *http.Request) {
					writeEvents(rw, 1, 2, true)
					began <- struct{}{}
					<-goOn
					writeEvents(rw, 3, 5, true)
				})
				probes = append(probes, replica.Probe{ID: id, Address: u.server.Listener.Addr().String(), Service: "plain"})
			}
			w.waitForUpstreams(len(probes))
			answers := make(chan string, 1)
			go func() {
				status, body, err := v.read(t, "/a/", nil)
				answers <- fmt.Sprint(status, " ", body, " ", err)
			}()
			<-began
			if c.stops {
				v.BeginShutdown(v.Now().Add(-w.grace)) // No attempt begins any more.
			}
			link.set(cutNewHangs)
			for _, p := range probes {
				v.checkPath(p)
			}
			w.waitFor("the VM counts as cut", func() bool { return v.Replicas.IsCut("plain") })
			time.Sleep(2 * pathSilence)
			close(goOn)
			if answer := <-answers; !strings.HasPrefix(answer, "200 ") || strings.Count(answer, "data:") != 5 || !strings.HasSuffix(answer, " <nil>") {
				t.Errorf("answer %q, want the whole stream", answer)
			}
		})
	}
}

// Guards against a stream that waits at an upstream to which the path is lost, because everywhere else its next event is expected later than the
// objective of a new stream.
func TestStreamOnLostPathMovesWhateverTheWait(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, "north", "south")
	w.publishConfig(1, strings.Replace(routeJSON("a", "streaming", "plain", `,"resumable":true`), `"target_latency_ms":500`, `"target_latency_ms":1`, 1))
	v := w.startVM("vm0", "north", true)
	link := cutLink(v)
	w.startVM("far", "south", true)
	w.waitForMembership()
	began := make(chan struct{}, 1)
	hang := make(chan struct{})
	defer close(hang)
	handle := func(rw http.ResponseWriter, r *http.Request) {
		if last := r.Header.Get(platform.HeaderLastEventID); last != "" {
			writeEvents(rw, 3, 5, true)
			return
		}
		writeEvents(rw, 1, 2, true)
		began <- struct{}{}
		<-hang
	}
	var probes []replica.Probe
	for i := range 3 {
		id := fmt.Sprint("u", i)
		u := w.addUpstream(id, "plain", "north", handle)
		probes = append(probes, replica.Probe{ID: id, Address: u.server.Listener.Addr().String(), Service: "plain"})
	}
	w.waitForUpstreams(len(probes))
	answers := make(chan string, 1)
	go func() {
		status, body, err := v.read(t, "/a/", nil)
		answers <- fmt.Sprint(status, " ", body, " ", err)
	}()
	<-began
	w.addUpstream("far", "plain", "south", handle)
	w.waitForUpstreams(len(probes) + 1)
	link.set(cutHangs)
	for _, p := range probes {
		v.checkPath(p)
	}
	if answer := <-answers; strings.Count(answer, "data:") != 5 || !strings.HasSuffix(answer, " <nil>") {
		t.Errorf("answer %q, want the whole stream", answer)
	}
}

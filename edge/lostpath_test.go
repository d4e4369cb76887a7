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

// pathTest has a VM whose stream has begun at an upstream that stops after two of five events. Another attempt gets the rest at once.
type pathTest struct {
	*testCluster
	v      *testVM
	link   *upstreamLink
	began  chan struct{}
	goOn   chan struct{}
	probes []replica.Probe
}

func newPathTest(t *testing.T, w *testCluster, target string) *pathTest {
	w.publishConfig(1, strings.Replace(routeJSON("a", "streaming", "plain", `,"resumable":true`), `"target_latency_ms":500`, target, 1))
	p := &pathTest{testCluster: w, v: w.startVM("vm0", "north", true), began: make(chan struct{}, 1), goOn: make(chan struct{})}
	p.link = cutLink(p.v)
	for i := range 4 {
		id := fmt.Sprint("u", i)
		u := w.addUpstream(id, "plain", "north", p.handle)
		p.probes = append(p.probes, replica.Probe{ID: id, Address: u.server.Listener.Addr().String(), Service: "plain"})
	}
	w.waitForUpstreams(len(p.probes))
	t.Cleanup(func() { close(p.goOn) }) // Before the upstreams close, which waits for their requests.
	return p
}

func (p *pathTest) handle(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platform.HeaderLastEventID) == "" {
		writeEvents(rw, 1, 2, true)
		p.began <- struct{}{}
		<-p.goOn
	}
	writeEvents(rw, 3, 5, true)
}

// cutAfterStart begins a stream, calls begun, and cuts the VM from its upstreams. The channel gets the answer.
func (p *pathTest) cutAfterStart(t *testing.T, form cutForm, begun func()) <-chan string {
	answers := make(chan string, 1)
	go func() {
		status, body, err := p.v.read(t, "/a/", nil)
		answers <- fmt.Sprint(status, " ", body, " ", err)
	}()
	<-p.began
	begun()
	p.link.set(form)
	for _, probe := range p.probes {
		p.v.checkPath(probe)
	}
	return answers
}

func checkWhole(t *testing.T, answer string) {
	t.Helper()
	if !strings.HasPrefix(answer, "200 ") || strings.Count(answer, "data:") != 5 || !strings.HasSuffix(answer, " <nil>") {
		t.Errorf("answer %q, want the whole stream", answer)
	}
}

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
			w.retrySlack, w.grace = c.retrySlack, shortGrace
			p := newPathTest(t, w, `"target_latency_ms":500`)
			for i := range c.others {
				w.startVM(fmt.Sprint("other", i), "north", true)
			}
			w.waitForMembership()
			answer := p.cutAfterStart(t, cutNewHangs, func() {
				if c.stops {
					p.v.BeginShutdown(p.v.Now().Add(-w.grace)) // No attempt begins any more.
				}
			})
			w.waitFor("the VM counts as cut", func() bool { return p.v.Replicas.IsCut("plain") })
			time.Sleep(2 * pathSilence)
			p.goOn <- struct{}{}
			checkWhole(t, <-answer)
		})
	}
}

// Guards against a stream that waits at an upstream to which the path is lost, because everywhere else its next event is expected later than the
// objective of a new stream.
func TestStreamOnLostPathMovesWhateverTheWait(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, "north", "south")
	p := newPathTest(t, w, `"target_latency_ms":1`)
	w.startVM("far", "south", true)
	w.waitForMembership()
	checkWhole(t, <-p.cutAfterStart(t, cutHangs, func() {
		w.addUpstream("far", "plain", "south", p.handle)
		w.waitForUpstreams(len(p.probes) + 1)
	}))
}

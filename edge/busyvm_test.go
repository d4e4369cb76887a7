package edge

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/platform"
)

const (
	// busyLoops is the number of loops that compete for the one processor of a busy process. Each runs for 10 ms at a time, so that
	// everything else waits for twice the time within which an upstream has to take a connection.
	busyLoops = 80
	// busyTime is the time for which the process is busy.
	busyTime = 4000 * time.Millisecond
)

// keepBusy makes the process wait for the processor for busyTime, although its sockets go on to take connections and data.
func keepBusy(t *testing.T) {
	t.Helper()
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	var wait sync.WaitGroup
	end := time.Now().Add(busyTime)
	for range busyLoops {
		wait.Go(func() {
			for time.Now().Before(end) {
			}
		})
	}
	wait.Wait()
}

// Guards against a VM without processor time that takes its own delay for a lost path to the upstreams, and gives up what they are
// working on.
func TestBusyVMKeepsItsUpstreams(t *testing.T) {
	w := newTestCluster(t, "north")
	log := &logLines{}
	w.log = log
	w.publishConfig(1, strings.Replace(routeJSON("a", "safe", "plain", ""), `"timeout_ms":3000`, `"timeout_ms":20000`, 1))
	v := w.startVM("vm1", "north", true)
	release := make(chan struct{})
	const upstreams = 4
	for i := range upstreams {
		w.addUpstream(fmt.Sprintf("u%d", i), "plain", "north", func(rw http.ResponseWriter, _ *http.Request) {
			<-release
			fmt.Fprint(rw, "answer")
		})
	}
	w.waitForUpstreams(upstreams)
	statuses := make(chan int, 2*upstreams)
	for range cap(statuses) {
		go func() {
			status, _, err := v.read(t, "/a/", extraHeaders{platform.HeaderDeadline: "20000"})
			if err != nil {
				status = 0
			}
			statuses <- status
		}()
	}
	w.waitFor("all requests are open", func() bool { return v.OpenRequests() == cap(statuses) })
	keepBusy(t)
	close(release)
	for range cap(statuses) {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("status %d, want 200", status)
		}
	}
	if lines := log.with("no connection to the upstream"); len(lines) > 0 {
		t.Errorf("upstreams that take connections counted as out of reach: %v", lines)
	}
}

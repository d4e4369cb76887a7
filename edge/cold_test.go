package edge

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"parsleyhatch/platform"
)

const (
	// coldRate is the number of requests per second of a cold upstream by the configuration. With the overage and the slack of
	// the tests, coldBound is the most that it may get in a second.
	coldRate  = 2.9
	coldBound = 7
	// registrationDelay is the time from the start of an upstream until its registration says so.
	registrationDelay = 1200 * time.Millisecond
)

// restartedUpstream is an upstream that crashes and starts again at its address.
type restartedUpstream struct {
	id, address string
	mu          sync.Mutex
	arrivals    []time.Time
}

func (u *restartedUpstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	rw.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	answerLater(rw, r)
}

// answerLater answers after a time in which other requests arrive, so that the load spreads over the upstreams.
func answerLater(rw http.ResponseWriter, _ *http.Request) {
	time.Sleep(100 * time.Millisecond)
	_, _ = rw.Write([]byte("ok"))
}

// start starts a lifetime of the upstream and returns a function that ends it.
func (u *restartedUpstream) start(t *testing.T) func() {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		t.Fatal(err)
	}
	u.address = l.Addr().String()
	server := &http.Server{Handler: u}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }
}

// mostInSecond returns the largest number of arrivals in a second.
func (u *restartedUpstream) mostInSecond(since time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := 0
	for i, at := range u.arrivals {
		n := 0
		for _, later := range u.arrivals[i:] {
			if later.Sub(at) < time.Second {
				n++
			}
		}
		if at.After(since) {
			most = max(most, n)
		}
	}
	return most
}

// Guards against a cold upstream that is flooded because it returned before its registration says so: it crashed and started
// again while its earlier registration was in force, and only then registers the new lifetime. VMs with few requests may have sent
// it nothing in the meantime.
func TestReturnedUpstreamIsCold(t *testing.T) {
	for _, c := range []struct {
		name     string
		vms      int
		interval time.Duration
		// away is the time for which the upstream is away. Its registration would expire later.
		away time.Duration
	}{
		{"all VMs notice", 4, 20 * time.Millisecond, 3300 * time.Millisecond},
		{"some VMs notice", 10, 200 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north")
			w.store.Put(platform.ConfigKey, fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"plain","warmup_s":3,"warmup_per_s":%v}],
				"tenants":[{"name":"w1","api_keys":["secret"]}]}`, routeJSON("a", "safe", "plain", ""), coldRate))
			u := &restartedUpstream{id: "u1", address: "127.0.0.1:0"}
			stop := u.start(t)
			w.registerUpstream(u.id, "plain", "north", u.address)
			for i := range 3 {
				w.addUpstream(fmt.Sprintf("other%d", i), "plain", "north", answerLater)
			}
			for i := range c.vms {
				w.startVM(fmt.Sprintf("vm%d", i), "north", true)
			}
			w.waitForMembership()
			w.waitForUpstreams(4)
			l := startLoad(t, "/a/", c.interval, w.vms...)
			time.Sleep(time.Second)
			stop()
			time.Sleep(c.away)
			since := time.Now()
			stop = u.start(t)
			time.Sleep(registrationDelay)
			w.store.Put(platform.UpstreamPrefix+u.id, fmt.Sprintf(
				`{"service":"plain","address":%q,"zone":"north-a","slots":8,"state":"ready","born":2,"warmup_left_ms":1800}`, u.address))
			time.Sleep(1500 * time.Millisecond)
			statuses := l.stop()
			stop()
			if n := u.mostInSecond(since); n > coldBound {
				t.Errorf("the cold upstream got %d requests in a second, %d allowed", n, coldBound)
			}
			if share := statuses.share(http.StatusOK); share < 0.9 {
				t.Errorf("%.2f of the requests are served: %v", share, statuses)
			}
		})
	}
}

// Guards against a sound upstream that gets few requests for seconds because one VM did not reach it, and against a cold one that is
// flooded although it says that it is cold when it is asked.
func TestReturnedUpstreamIsAskedWhetherItIsCold(t *testing.T) {
	for name, warmUp := range map[string]string{"warm": "", "cold": "2500"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north")
			w.store.Put(platform.ConfigKey, fmt.Sprintf(`{"version":1,"routes":[%s],
				"services":[{"name":"plain","health_path":"/health","warmup_s":3,"warmup_per_s":%v}],
				"tenants":[{"name":"w1","api_keys":["secret"]}]}`, routeJSON("a", "safe", "plain", ""), coldRate))
			u := w.addUpstream("u1", "plain", "north", func(rw http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/health" {
					rw.Header().Set(platform.HeaderInstanceID, "u1")
					if warmUp != "" {
						rw.Header().Set(platform.HeaderWarmUp, warmUp)
					}
				}
			})
			v := w.startVM("vm0", "north", true)
			w.waitForUpstreams(1)
			w.waitFor("the VM may send requests to cold upstreams", func() bool { return v.Replicas.Sharers() < coldBound })
			link := cutLink(v)
			l := startLoad(t, "/a/", 20*time.Millisecond, v)
			link.set(cutResets)
			time.Sleep(time.Second)
			before := u.requestCount()
			link.set(notCut)
			time.Sleep(2 * time.Second)
			n := u.requestCount() - before
			l.stop()
			if asked := n > 2*coldBound; asked != (warmUp == "") {
				t.Errorf("the upstream got %d requests in two seconds after its return, %d allowed in a second if it is cold", n, coldBound)
			}
		})
	}
}

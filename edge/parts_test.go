package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/platform"
)

const (
	// crashLimit is the number of crashes after which the part must be known. partDetectionTime and partSettleTime are
	// the times after the last of them, from which requests with the part hardly reach upstreams and from which other
	// requests are served at their first attempt. The platform allows 5 s and 10 s.
	crashLimit        = 5
	partDetectionTime = 1500 * time.Millisecond
	partSettleTime    = 3 * time.Second
	// maxLateArrivals is the number of requests with the part that may reach upstreams after partDetectionTime.
	maxLateArrivals = 3
	// observationTime is the time after the last of the crashes for which the requests go on.
	observationTime = 6 * time.Second
	// firstPart is the part that all requests begin with, and crashingPart the one that crashes upstreams.
	firstPart    = "a1"
	crashingPart = "badbad"
)

// crashScene is a cluster whose upstreams end when they begin to answer a request with crashingPart, and return under
// another id.
type crashScene struct {
	*testCluster

	mu sync.Mutex
	// arrivals are the numbers of times at which upstreams received each request.
	arrivals map[string]int
	// badArrivals are the times at which upstreams received requests with crashingPart, and crashes those at which
	// upstreams ended.
	badArrivals []time.Time
	crashes     []time.Time
	started     int
}

func newCrashScene(t *testing.T, upstreamsPerRegion int) *crashScene {
	c := &crashScene{testCluster: newTestCluster(t, "north", "south"), arrivals: map[string]int{}}
	c.publishConfig(1, routeJSON("a", "streaming", "engine", `,"resumable":true`))
	for _, region := range []string{"north", "south"} {
		for range upstreamsPerRegion {
			c.startUpstream(region)
		}
	}
	for i, region := range []string{"north", "north", "south", "south"} {
		c.startVM(fmt.Sprintf("vm%d", i), region, true)
	}
	c.waitForMembership()
	for _, v := range c.vms {
		c.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("engine", 2*upstreamsPerRegion) })
	}
	return c
}

// startUpstream registers another upstream in a region.
func (c *crashScene) startUpstream(region string) {
	c.mu.Lock()
	c.started++
	id := fmt.Sprintf("u%d", c.started)
	c.mu.Unlock()
	var u *fakeUpstream
	started, ended := make(chan struct{}), make(chan struct{})
	var once sync.Once
	u = c.addUpstream(id, "engine", region, func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-ended:
			panic(http.ErrAbortHandler)
		default:
		}
		bad := c.recordArrival(r)
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ended:
			panic(http.ErrAbortHandler)
		}
		if bad {
			once.Do(func() {
				close(ended)
				c.recordCrash()
				go func() {
					<-started
					c.endUpstream(u, region)
				}()
			})
			rw.Header().Set("Content-Type", "text/event-stream")
			rw.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		writeEvents(rw, 1, 3, true)
	})
	close(started)
}

// recordArrival records that an upstream received a request, and reports whether the request crashes it.
func (c *crashScene) recordArrival(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[r.Header.Get(platform.HeaderRequestID)]++
	bad := strings.Contains(r.Header.Get(platform.HeaderPromptPrefix), crashingPart)
	if bad {
		c.badArrivals = append(c.badArrivals, time.Now())
	}
	return bad
}

// recordCrash records the end of an upstream.
func (c *crashScene) recordCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// endUpstream closes the connections of an upstream and starts another one.
func (c *crashScene) endUpstream(u *fakeUpstream, region string) {
	_ = u.server.Listener.Close()
	u.server.CloseClientConnections()
	time.Sleep(200 * time.Millisecond)
	c.store.Remove(platform.UpstreamPrefix + u.id)
	c.startUpstream(region)
}

// crashTimes returns the times at which requests with crashingPart reached upstreams and those at which upstreams ended.
func (c *crashScene) crashTimes() (badArrivals, crashes []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.badArrivals), slices.Clone(c.crashes)
}

// arrivalsOf returns the number of times at which upstreams received a request.
func (c *crashScene) arrivalsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

// sentRequest is a request of the scene and its answer.
type sentRequest struct {
	id     string
	bad    bool
	sentAt time.Time
	status int
	body   string
	err    error
}

// send sends a request that resembles no other one: with its own body and last part.
func (c *crashScene) send(t *testing.T, v *testVM, bad bool) sentRequest {
	n := nextID.Add(1)
	prefix := firstPart + ":100,b2:50,"
	if bad {
		prefix += crashingPart + ":20,"
	}
	id := fmt.Sprintf("scene-%d", n)
	s := sentRequest{id: id, bad: bad, sentAt: time.Now()}
	s.status, s.body, s.err = v.read(t, fmt.Sprintf("/a/?n=%d", n), extraHeaders{
		platform.HeaderRequestID: id, platform.HeaderPromptPrefix: fmt.Sprintf("%sf%x:10", prefix, n),
		platform.HeaderTokenUsage: "180,10",
	})
	return s
}

// replay sends a sound request each 10 ms and one with crashingPart each 50 ms, to all VMs in turn, until observationTime
// after crash crashLimit if there are that many.
func (c *crashScene) replay(t *testing.T) []sentRequest {
	var mu sync.Mutex
	var sent []sentRequest
	var running sync.WaitGroup
	end := time.Now().Add(partDetectionTime + observationTime)
	for i := 0; time.Now().Before(end); i++ {
		v := c.vms[i%len(c.vms)]
		running.Go(func() {
			s := c.send(t, v, i%5 == 0)
			mu.Lock()
			sent = append(sent, s)
			mu.Unlock()
		})
		if _, crashes := c.crashTimes(); len(crashes) >= crashLimit {
			end = crashes[crashLimit-1].Add(observationTime)
		}
		time.Sleep(10 * time.Millisecond)
	}
	running.Wait()
	return sent
}

// Guards against a prompt part that crashes one upstream after another because no two requests with it are alike, and
// against refusing the requests that share their other parts with it.
func TestPromptPartThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	c := newCrashScene(t, 5)
	sent := c.replay(t)
	badArrivals, crashes := c.crashTimes()
	if len(crashes) == 0 {
		t.Fatal("no upstream ended")
	}
	lastAllowed := crashes[min(len(crashes), crashLimit)-1]
	late := 0
	for _, at := range badArrivals {
		if at.Sub(lastAllowed) > partDetectionTime {
			late++
		}
	}
	t.Logf("%d requests with the part reached upstreams, %d of them later than %v after crash %d; %d upstreams ended",
		len(badArrivals), late, partDetectionTime, crashLimit, len(crashes))
	if late > maxLateArrivals {
		t.Errorf("%d requests with the part reached upstreams later than %v after crash %d, want at most %d", late, partDetectionTime, crashLimit, maxLateArrivals)
	}
	sound, repeated, refusedBad := 0, 0, 0
	for _, s := range sent {
		settled := s.sentAt.Sub(lastAllowed) > partSettleTime
		quarantined := strings.Contains(s.body, string(Quarantined))
		switch {
		case s.bad && quarantined:
			refusedBad++
		case s.bad && settled:
			t.Errorf("request with the part got %d %q, want a refusal as quarantined", s.status, s.body)
		case s.bad:
		case quarantined:
			t.Errorf("sound request was quarantined %v after crash %d", s.sentAt.Sub(lastAllowed), crashLimit)
		case settled:
			sound++
			if s.status != http.StatusOK || s.err != nil || c.arrivalsOf(s.id) != 1 {
				repeated++
			}
		}
	}
	if sound == 0 || refusedBad == 0 {
		t.Errorf("%d sound requests after %v and %d refused ones, want some of each", sound, partSettleTime, refusedBad)
	}
	if repeated > 0 {
		t.Errorf("%d of %d sound requests later than %v after crash %d were not served at the first attempt", repeated, sound, partSettleTime, crashLimit)
	}
}

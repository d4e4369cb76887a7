package edge

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// keptCaller sends requests over one connection at a time, which it keeps open between them.
type keptCaller struct {
	v      *testVM
	conn   net.Conn
	reader *bufio.Reader
}

// call sends a request and reads its answer. It returns the status and the error that cut off the answer.
func (c *keptCaller) call(t *testing.T, path string) (id string, status int, err error) {
	r := c.v.request(t, path, "x", extraHeaders{platform.HeaderDeadline: "8000"})
	id = r.Header.Get(platform.HeaderRequestID)
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.v.Settings.CallerListen); err != nil {
			return id, 0, err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	status, keep, err := c.exchange(r)
	if err != nil || !keep {
		c.close()
	}
	return id, status, err
}

func (c *keptCaller) exchange(r *http.Request) (status int, keep bool, err error) {
	if err := r.Write(c.conn); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, !resp.Close, err
}

func (c *keptCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// receivedIDs records the ids of the requests that upstreams have received.
type receivedIDs struct{ ids sync.Map }

// record returns a handler that records the request before it is handled.
func (s *receivedIDs) record(handle http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		s.ids.Store(r.Header.Get(platform.HeaderRequestID), true)
		handle(rw, r)
	}
}

func (s *receivedIDs) has(id string) bool {
	_, ok := s.ids.Load(id)
	return ok
}

// configUnderLoad returns configuration n of a series that moves, splits and removes routes and services, and changes
// timeouts and limits.
func configUnderLoad(n int) string {
	service, other := "s0", "s1"
	if n%2 == 1 {
		service, other = other, service
	}
	split := ""
	if n%4 == 3 {
		split = `,"traffic_split":[{"service":"s0","weight":1},{"service":"s1","weight":3}]`
	}
	routes := routeJSON("safe", "safe", service, split) + "," +
		routeJSON("unsafe", "unsafe", other, `,"home_regions":["south"]`) + "," +
		routeJSON("stream", "streaming", service, `,"resumable":true`) + "," +
		routeJSON("far", "streaming", other, `,"resumable":true,"home_regions":["south"]`)
	services := `{"name":"s0"},{"name":"s1"}`
	if n%5 == 4 {
		routes = routeJSON("safe", "safe", service, "")
		services = fmt.Sprintf(`{"name":%q}`, service)
	}
	if n%2 == 0 {
		routes = strings.ReplaceAll(routes, `"timeout_ms":3000`, `"timeout_ms":6000`)
	}
	idle, header := 60_000, 10_000
	if n%3 == 2 {
		idle, header = shortIdleMillis, 1000
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"tenants":[{"name":"w1","api_keys":["secret"]}],
		"limits":{"idle_timeout_ms":%d,"header_timeout_ms":%d}}`, n, routes, services, idle, header)
}

// shortIdleMillis is the idle limit of some configurations of configUnderLoad, in milliseconds.
const shortIdleMillis = 400

// Guards against requests that lose their connection without an answer while the configuration changes, in the caller's
// region and in another one. A request may cross the close of a connection that was idle for long; none may be lost that
// was passed on, or that was sent soon after the last answer.
func TestConfigChangesLoseNoAnswers(t *testing.T) {
	t.Parallel()
	const callers, versions = 32, 13
	w := newTestCluster(t, "north", "south")
	var received receivedIDs
	handle := received.record(func(rw http.ResponseWriter, _ *http.Request) {
		for i := 1; i <= 4; i++ {
			writeEvents(rw, i, i, true)
			time.Sleep(40 * time.Millisecond)
		}
	})
	for _, region := range []string{"north", "south"} {
		for _, service := range []string{"s0", "s1"} {
			w.addUpstream(service+region, service, region, handle)
		}
	}
	w.store.Put(platform.ConfigKey, configUnderLoad(1))
	v := w.startVM("vm1", "north", true)
	w.startVM("vm2", "south", true)
	w.waitForMembership()
	w.waitFor("the upstreams are known", func() bool { return v.knowsUpstreams("s0", 2) && v.knowsUpstreams("s1", 2) })
	var ended atomic.Bool
	var served atomic.Int64
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			c := &keptCaller{v: v}
			defer c.close()
			for answered := time.Now(); !ended.Load(); answered = time.Now() {
				// Mostly short pauses, and some that are longer than the short idle limit.
				pause := random.IntN(shortIdleMillis / 4)
				if random.IntN(8) == 0 {
					pause += shortIdleMillis
				}
				time.Sleep(time.Duration(pause) * time.Millisecond)
				idle := time.Since(answered)
				path := []string{"/safe/", "/unsafe/", "/stream/", "/far/"}[random.IntN(4)]
				id, status, err := c.call(t, path)
				if err != nil && (received.has(id) || idle < shortIdleMillis/2*time.Millisecond) {
					t.Errorf("request %s to %s, %v after the last answer: status %d, %v", id, path, idle, status, err)
				}
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	for n := 2; n <= versions; n++ {
		time.Sleep(200 * time.Millisecond)
		w.store.Put(platform.ConfigKey, configUnderLoad(n))
	}
	ended.Store(true)
	wait.Wait()
	if served.Load() < callers {
		t.Errorf("only %d requests were served", served.Load())
	}
}

package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// Guards against a refusal that does not reach the caller because the connection is closed while the body of the request,
// which is not read, still arrives.
func TestRefusalBeforeBodyReachesCaller(t *testing.T) {
	w := newTestCluster(t, "north")
	w.publishConfig(1, routeJSON("a", "unsafe", "plain", ""))
	v := w.startVM("vm1", "north", true)
	body := strings.Repeat("x", 100<<10)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	sized := fmt.Sprintf("Content-Length: %d", len(body))
	for name, c := range map[string]struct{ header, body string }{
		"length":                 {sized, body},
		"length, closing":        {sized + "\r\nConnection: close", body},
		"chunks":                 {"Transfer-Encoding: chunked", chunked},
		"chunks, closing":        {"Transfer-Encoding: chunked\r\nConnection: close", chunked},
		"waits for 100-continue": {sized + "\r\nExpect: 100-continue", ""},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", v.Settings.CallerListen)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprintf(conn, "POST /a/ HTTP/1.1\r\nHost: h\r\n%s: 1\r\n%s: wrong\r\n%s\r\n\r\n", platform.HeaderRequestID, platform.HeaderAPIKey, c.header)
			// The refusal is ready before the body arrives.
			time.Sleep(50 * time.Millisecond)
			if _, err := io.WriteString(conn, c.body); err != nil {
				t.Errorf("send body: %v", err)
			}
			time.Sleep(50 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusUnauthorized {
				t.Errorf("status %d, %v", resp.StatusCode, err)
			}
		})
	}
}

// smallBuffer is the size of the socket buffers of a connection that takes little data until its peer reads.
const smallBuffer = 16 << 10

// Guards against an answer that is lost because the upstream sends it before it has read the body, and against a
// connection that is used again although the upstream still waits for the rest of that body.
func TestAnswerBeforeBodyIsRead(t *testing.T) {
	w := newTestCluster(t, "north")
	w.publishConfig(1, routeJSON("a", "unsafe", "plain", ""))
	u := w.addEarlyUpstream("u1", "plain", "north")
	v := w.startVM("vm1", "north", true)
	dial := v.Pool.DialFunc
	v.Pool.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial(ctx, address)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(smallBuffer) // Most of the body waits until the upstream reads.
		}
		return c, err
	}
	w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
	for i := range 3 {
		status, body, _ := v.call(t, "/a/", strings.Repeat("x", 3<<20), nil)
		if status != http.StatusOK || body != "early" {
			t.Errorf("request %d: answer %d %q", i, status, body)
		}
	}
	if n := u.Load(); n != 3 {
		t.Errorf("%d connections for 3 requests: one was used again before its request was written", n)
	}
}

// addEarlyUpstream registers an upstream that answers after the head of a request and reads the body a second later. It
// returns the number of its connections.
func (w *testCluster) addEarlyUpstream(id, service, region string) *atomic.Int64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
			accepted.Add(1)
			go answerEarly(conn)
		}
	}()
	w.registerUpstream(id, service, region, l.Addr().String())
	return &accepted
}

// answerEarly answers the requests of a connection before it reads their bodies.
func answerEarly(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nContent-Length: 5\r\n\r\nearly",
			platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderServerStamp)
		time.Sleep(time.Second)
		_, _ = io.Copy(io.Discard, r.Body) // Fails when the VM has closed the connection.
	}
}

// Guards against requests that delay others at an upstream because their callers do not read answers for which it has nothing left to do.
func TestUnreadAnswersDelayNoOthers(t *testing.T) {
	const requests, length = 3, maxBufferedAnswer + 8<<10
	for name, c := range map[string]struct {
		sent    int
		endsCtx bool
	}{
		"the answer has arrived":             {sent: length},
		"the request ends before it arrives": {sent: maxBufferedAnswer + 1, endsCtx: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCluster(t, "north")
			w.publishConfig(1, routeJSON("a", "unsafe", "plain", ""))
			w.addUpstream("u1", "plain", "north", func(rw http.ResponseWriter, r *http.Request) {
				rw.Header().Set("Content-Length", strconv.Itoa(length))
				_, _ = io.WriteString(rw, strings.Repeat("x", c.sent)) // The test sees a failure.
				rw.(http.Flusher).Flush()
				if c.sent < length {
					<-r.Context().Done()
				}
			})
			v := w.startVM("vm1", "north", true)
			w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
			idle := v.expectedWait(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			callers := startUnreadCallers(ctx, t, v, requests)
			w.waitFor("all callers are sent a part of their answers", func() bool { return callers.writing.Load() == requests })
			if c.endsCtx {
				if wait := v.expectedWait(t); wait <= idle {
					t.Errorf("the expected wait beside incomplete answers is %v, and %v at an idle upstream", wait, idle)
				}
				cancel()
			}
			w.waitFor("the requests add nothing to the expected wait", func() bool { return v.expectedWait(t) == idle })
			callers.read()
			if n := callers.received.Load(); !c.endsCtx && n != requests*length {
				t.Errorf("callers received %d bytes of %d answers of %d", n, requests, length)
			}
			if wait := v.expectedWait(t); wait != idle {
				t.Errorf("the expected wait after all requests is %v, and was %v before", wait, idle)
			}
		})
	}
}

// unreadCallers are callers that read nothing before read is called.
type unreadCallers struct {
	reads             chan struct{}
	running           sync.WaitGroup
	writing, received atomic.Int64
}

func startUnreadCallers(ctx context.Context, t *testing.T, v *testVM, requests int) *unreadCallers {
	c := &unreadCallers{reads: make(chan struct{})}
	for range requests {
		r := v.admitted(t, v.request(t, "/a/", "x", nil), "x")
		var first sync.Once
		sink := &Sink{
			Head: func(int, http.Header, int) error { return nil },
			Data: func(b []byte, _ bool) error {
				first.Do(func() { c.writing.Add(1) })
				<-c.reads
				c.received.Add(int64(len(b)))
				return nil
			},
		}
		c.running.Go(func() { v.run(ctx, r, sink) })
	}
	return c
}

// read reads all answers to their ends.
func (c *unreadCallers) read() {
	close(c.reads)
	c.running.Wait()
}

// expectedWait returns the expected time to the answer of a new request.
func (v *testVM) expectedWait(t *testing.T) time.Duration {
	t.Helper()
	pick, ok := v.Replicas.Estimate(v.Now(), v.replicaRequest(v.admitted(t, v.request(t, "/a/", "x", nil), "x")))
	if !ok {
		t.Fatal("no upstream is eligible")
	}
	return pick.FirstToken
}

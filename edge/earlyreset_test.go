package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// earlyEnd is how an upstream ends an answer without a length that it sends before it reads the body of the request.
type earlyEnd int

const (
	// earlyReset resets the connection.
	earlyReset earlyEnd = iota
	// earlyFINAndReset ends the answer with FIN, and resets the connection behind it.
	earlyFINAndReset
	// earlyFIN ends the answer with FIN, and reads the body.
	earlyFIN
)

// earlyAnswer is an answer without a length that is sent before the body of the request is read.
type earlyAnswer struct {
	status, contentType, body string
	// pause is the time before a reset.
	pause time.Duration
	end   earlyEnd
}

// serve answers one request.
func (a earlyAnswer) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(smallBuffer)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: %s\r\n%s: %s\r\n%s: stamp\r\n\r\n%s",
		a.status, a.contentType, platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderServerStamp, a.body)
	if a.end != earlyReset {
		_ = conn.CloseWrite()
	}
	if a.end == earlyFIN {
		_, _ = io.Copy(io.Discard, r.Body)
		return
	}
	time.Sleep(a.pause)
	_ = conn.SetLinger(0)
}

// Guards against a part of an answer that callers get as a complete one: its upstream sends it at once, without a length, and resets the connection
// while a long body is still being written. An upstream that ends its answer and reads the body, or that refuses the request, has answered.
func TestAnswerBeforeResetIsNoSuccess(t *testing.T) {
	const rounds = 2
	body := strings.Repeat("x", 3<<20)
	long := strings.Repeat("0123456789abcdef", 2*maxUnsizedAnswer/16)
	for _, c := range []struct {
		name, kind, options string
		answer              earlyAnswer
		// want is the status of a complete answer, zero if none may look complete.
		want int
	}{
		{"safe", "safe", "", earlyAnswer{"200 OK", "text/plain", "part", 0, earlyReset}, 0},
		{"unsafe", "unsafe", "", earlyAnswer{"200 OK", "text/plain", "part", 0, earlyReset}, 0},
		{"without a body", "unsafe", "", earlyAnswer{"200 OK", "text/plain", "", 0, earlyReset}, 0},
		{"relayed", "unsafe", "", earlyAnswer{"200 OK", "text/plain", long, 0, earlyReset}, 0},
		{"stream", "streaming", "", earlyAnswer{"200 OK", "text/event-stream", pieces(1, 3), 0, earlyReset}, 0},
		{"resumable stream", "streaming", `,"resumable":true`, earlyAnswer{"200 OK", "text/event-stream", pieces(1, 3), 0, earlyReset}, 0},
		{"FIN, safe", "safe", "", earlyAnswer{"200 OK", "text/plain", "part", 0, earlyFINAndReset}, 0},
		{"FIN, unsafe", "unsafe", "", earlyAnswer{"201 Created", "text/plain", "part", 0, earlyFINAndReset}, 0},
		{"FIN, relayed", "unsafe", "", earlyAnswer{"200 OK", "text/plain", long, 0, earlyFINAndReset}, 0},
		{"FIN, stream", "streaming", "", earlyAnswer{"200 OK", "text/event-stream", pieces(1, 3), 0, earlyFINAndReset}, 0},
		{"FIN, refusal", "unsafe", "", earlyAnswer{"413 Content Too Large", "text/plain", "no", 0, earlyFINAndReset}, http.StatusRequestEntityTooLarge},
		{"reads on", "unsafe", "", earlyAnswer{"200 OK", "text/plain", "answer", 0, earlyFIN}, http.StatusOK},
	} {
		for _, region := range []string{"north", "south"} {
			t.Run(c.name+" in the "+region, func(t *testing.T) {
				t.Parallel()
				w := newTestCluster(t, "north", "south")
				w.openTime = 300 * time.Millisecond // The reset may be late on a busy machine.
				w.publishConfig(1, routeJSON("a", c.kind, "plain", c.options))
				pauses := []time.Duration{0, time.Millisecond, 20 * time.Millisecond}
				var answers atomic.Int64
				w.addRawUpstream("u1", region, func(conn *net.TCPConn) {
					answer := c.answer
					answer.pause = pauses[int(answers.Add(1))%len(pauses)]
					answer.serve(conn)
				})
				v := w.startVM("vm1", "north", true)
				w.startVM("vm2", "south", true)
				w.waitForMembership()
				w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
				for i := range rounds * len(pauses) {
					status, length := v.statusOfComplete(t, fmt.Sprintf("/a/%d", i), body)
					switch {
					case c.want != 0 && status != c.want:
						t.Errorf("request %d: status %d, want %d", i, status, c.want)
					case c.want == 0 && status/100 == 2:
						t.Errorf("request %d: %d bytes of a cut answer look complete", i, length)
					}
				}
				if answers.Load() == 0 {
					t.Error("no request reached the upstream")
				}
			})
		}
	}
}

// statusOfComplete sends a request and returns the status of its answer and the length of the body, zero if the answer is not complete.
func (v *testVM) statusOfComplete(t *testing.T, path, body string) (status, length int) {
	t.Helper()
	resp, err := http.DefaultClient.Do(v.request(t, path, body, nil))
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, 0
	}
	return resp.StatusCode, len(got)
}

// addRawUpstream registers an upstream whose connections are served by a function.
func (w *testCluster) addRawUpstream(id, region string, serve func(conn *net.TCPConn)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	w.registerUpstream(id, "plain", region, l.Addr().String())
}

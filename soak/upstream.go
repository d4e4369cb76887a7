package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"parsleyhatch/platform"
)

// Behaviours of an upstream.
const (
	respondsNormally int32 = iota
	// respondsWithError responds with status 500 after recording the execution.
	respondsWithError
	// rejectsRequests responds with status 503 and the not-run header without running the request.
	rejectsRequests
	// respondsSlowly responds after slowResponseTime.
	respondsSlowly
	// abortsConnections closes the connection before the response or in the middle of a stream.
	abortsConnections
)

const (
	// streamEvents is the number of events of a stream, and eventPause the pause between two events.
	streamEvents = 8
	eventPause   = 15 * time.Millisecond
	// slowResponseTime is the response time of a slow upstream.
	slowResponseTime = 600 * time.Millisecond
)

// upstreamServer simulates an upstream and records each execution in the history.
type upstreamServer struct {
	id string
	// version is the software version, which each event of a stream names.
	version   string
	history   *history
	behaviour atomic.Int32
	// limit is the rate limit that the upstream announces, in hundredths of a request per second, zero for none.
	limit    atomic.Int64
	listener net.Listener
	server   *http.Server
}

func newUpstream(id, version string, h *history) (*upstreamServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s: %w", id, err)
	}
	u := &upstreamServer{id: id, version: version, history: h, listener: listener}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }() // Ends with close.
	return u, nil
}

func (u *upstreamServer) address() string { return u.listener.Addr().String() }

// close closes the listener and all connections immediately, as a crash does.
func (u *upstreamServer) close() { _ = u.server.Close() }

// ServeHTTP records an execution of the request, unless it is rejected, and responds according to the behaviour.
func (u *upstreamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	if target := r.Header.Get(platform.HeaderTargetInstance); target != "" && target != u.id {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.announceLimit(w)
	if u.behaviour.Load() == rejectsRequests {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.history.recordExecution(execution{
		id: id, upstream: u.id, startedAt: time.Now(), workspace: r.Header.Get(platform.HeaderWorkspace),
		keyPresent: r.Header.Get(platform.HeaderAPIKey) != "", unmodified: r.Method == http.MethodPost && string(body) == requestBody(id) && r.URL.RawQuery == "q="+id,
	})
	w.Header().Set(platform.HeaderServerStamp, "stamp-"+id)
	u.respond(w, r, id)
}

// announceLimit records the arrival of a request and announces the rate limit, if there is one.
func (u *upstreamServer) announceLimit(w http.ResponseWriter) {
	limit := float64(u.limit.Load()) / 100
	if limit == 0 {
		return
	}
	u.history.recordLimitedArrival(u.id, limit)
	w.Header().Set(platform.HeaderRateLimit, strconv.FormatFloat(limit, 'f', -1, 64))
}

func (u *upstreamServer) respond(w http.ResponseWriter, r *http.Request, id string) {
	switch u.behaviour.Load() {
	case respondsWithError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case respondsSlowly:
		time.Sleep(slowResponseTime)
	case abortsConnections:
		if len(id)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
	}
	if r.URL.Path != "/"+string(kindStream)+"/" {
		_, _ = io.WriteString(w, responseBody(id)) // The VM may have closed the connection.
		return
	}
	u.stream(w, r, id)
}

func (u *upstreamServer) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(platform.HeaderLastEventID), &from) // Without the header, the stream starts at the first event.
	for n := from + 1; n <= streamEvents; n++ {
		if u.behaviour.Load() == abortsConnections && n == streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\nversion: %s\ndata: %s\n\n", n, u.version, responseBody(id)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
}

// requestBody returns the body of the request with an id, and responseBody that of the response to it.
func requestBody(id string) string { return "request " + id }

func responseBody(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:8])
}

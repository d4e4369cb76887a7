package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"parsleyhatch/platform"
)

// Behaviours of an upstream.
const (
	answers int32 = iota
	// fails answers 500, refuses says that it is full, slow takes long, and breaks ends connections midway.
	fails
	refuses
	slow
	breaks
)

const (
	// streamEvents is the number of events of a stream, and eventPause the time between two.
	streamEvents = 8
	eventPause   = 15 * time.Millisecond
	// slowness is the time that a slow upstream takes.
	slowness = 600 * time.Millisecond
)

// upstreamServer simulates an upstream that notes each run.
type upstreamServer struct {
	id        string
	ledger    *ledger
	behaviour atomic.Int32
	listener  net.Listener
	server    *http.Server
}

func newUpstream(id string, l *ledger) (*upstreamServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for upstream %s: %w", id, err)
	}
	u := &upstreamServer{id: id, ledger: l, listener: listener}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(listener) }() // Ends with close.
	return u, nil
}

func (u *upstreamServer) address() string { return u.listener.Addr().String() }

// close ends the upstream at once, as a crash does.
func (u *upstreamServer) close() { _ = u.server.Close() }

// ServeHTTP runs a request.
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
	if u.behaviour.Load() == refuses {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.ledger.ran(run{
		id: id, upstream: u.id, at: time.Now(), workspace: r.Header.Get(platform.HeaderWorkspace),
		keyed: r.Header.Get(platform.HeaderAPIKey) != "", intact: r.Method == http.MethodPost && string(body) == bodyOf(id) && r.URL.RawQuery == "q="+id,
	})
	w.Header().Set(platform.HeaderServerStamp, "stamp-"+id)
	u.answer(w, r, id)
}

func (u *upstreamServer) answer(w http.ResponseWriter, r *http.Request, id string) {
	switch u.behaviour.Load() {
	case fails:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case slow:
		time.Sleep(slowness)
	case breaks:
		if len(id)%2 == 0 {
			panic(http.ErrAbortHandler)
		}
	}
	if r.URL.Path != "/"+string(stream)+"/" {
		_, _ = io.WriteString(w, answerOf(id)) // The VM may have left.
		return
	}
	u.stream(w, r, id)
}

func (u *upstreamServer) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	_, _ = fmt.Sscan(r.Header.Get(platform.HeaderLastEventID), &from) // Without one, it begins at the first event.
	for n := from + 1; n <= streamEvents; n++ {
		if u.behaviour.Load() == breaks && n == streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, answerOf(id)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(eventPause)
	}
}

// bodyOf and answerOf are the bodies of a request and of its answer.
func bodyOf(id string) string { return "request " + id }

func answerOf(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:8])
}

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerTimeout = 5 * time.Second
	// relistenAttempts and relistenPause bound how long a restart waits for its port.
	relistenAttempts = 100
	relistenPause    = 20 * time.Millisecond
)

// host serves a handler at an address. A crash closes its port and all its connections.
type host struct {
	mu      sync.Mutex
	handler http.Handler
	address string
	server  *http.Server
	closed  bool
}

func (h *host) listen(handler http.Handler, address string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = handler
	return h.open(address)
}

// open starts a server; mu is held.
func (h *host) open(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("stand-in listens at %s: %w", address, err)
	}
	h.address = l.Addr().String()
	h.server = &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout}
	go h.runServer(h.server, l)
	return nil
}

func (h *host) runServer(server *http.Server, l net.Listener) {
	_ = server.Serve(l) // Ends with ErrServerClosed.
}

// addr returns the address in use, IP:port.
func (h *host) addr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// suspend closes the port and all connections.
func (h *host) suspend() {
	h.mu.Lock()
	server := h.server
	h.server = nil
	h.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// resume opens the port again after suspend, unless the host was never open or is closed.
func (h *host) resume() {
	for range relistenAttempts {
		if h.tryResume() {
			return
		}
		time.Sleep(relistenPause)
	}
}

func (h *host) tryResume() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.handler == nil || h.server != nil {
		return true
	}
	return h.open(h.address) == nil
}

func (h *host) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	h.suspend()
}

// writeJSON sends a value with the status.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // The client may be gone.
}

// problem is the body of a stand-in's refusal.
type problem struct {
	Error string `json:"error"`
}

func refuse(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, problem{Error: fmt.Sprintf(format, args...)})
}

// Package caller speaks to callers: chat completions with server-sent events, plain services and
// the directory, over kratos' HTTP transport.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/logbuf"
)

const (
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the arrival of a request's body.
	bodyTimeout = 30 * time.Second
	// discardTimeout bounds the arrival of the rest of a body that is not used.
	discardTimeout = time.Second
	// writeTimeout bounds one write to a caller that reads too slowly.
	writeTimeout = 30 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 32 << 10
)

// Server is the HTTP side of a VM towards callers.
type Server struct {
	Gateway *gateway.Gateway
	Log     *slog.Logger
	http    *kratoshttp.Server
}

// New returns a server on the listener. Kratos' request timeout is switched off, since it would cut
// streams; headers, bodies and writes have limits of their own.
func New(g *gateway.Gateway, l net.Listener, log *slog.Logger) *Server {
	logbuf.QuietTransport()
	s := &Server{Gateway: g, Log: log}
	s.http = kratoshttp.NewServer(kratoshttp.Listener(l), kratoshttp.Timeout(0))
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.http.IdleTimeout = time.Minute
	s.http.HandleFunc("/v1/chat/completions", withoutBody(s.chat))
	s.http.HandlePrefix(servicePrefix, withoutBody(s.service))
	s.http.HandleFunc("/v1/directory", withoutBody(s.directory))
	s.http.HandleFunc("/healthz", withoutBody(s.healthz))
	s.http.HandleFunc("/readyz", withoutBody(s.readyz))
	return s
}

// Run serves until Stop.
func (s *Server) Run(ctx context.Context) error {
	if err := s.http.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Stop closes the listener and waits for open requests until ctx ends.
func (s *Server) Stop(ctx context.Context) error { return s.http.Stop(ctx) }

// Close ends the listener and all connections at once.
func (s *Server) Close() { _ = s.http.Close() }

// admitted is what the header of a request tells.
type admitted struct {
	snapshot *config.Snapshot
	key      *config.Key
}

// admit authenticates the caller. A request without a key is admitted with a nil key; only open
// routes accept it.
func (s *Server) admit(r *http.Request) (admitted, gateway.Outcome) {
	a := admitted{snapshot: s.Gateway.Snapshot()}
	if a.snapshot == nil || !s.Gateway.Ready() && !(s.Gateway.Leaving() && a.recorded(r)) {
		out := refusal(gateway.Leaving, "this vm does not accept requests; ask the directory for another one", time.Second)
		if a.snapshot != nil {
			out.Instead = s.Gateway.Others(a.snapshot)
		}
		return a, out
	}
	header := r.Header.Get("Authorization")
	if header == "" {
		return a, gateway.Outcome{}
	}
	bearer, ok := strings.CutPrefix(header, "Bearer ")
	if ok {
		a.key = a.snapshot.Authenticate(bearer)
	}
	if a.key == nil {
		return a, refusal(gateway.Unauthorized, "key unknown or withdrawn", 0)
	}
	return a, gateway.Outcome{}
}

// recorded reports whether the request is a call that may not be repeated, of which a VM may have a
// record. A leaving VM still answers from its records.
func (a admitted) recorded(r *http.Request) bool {
	name, isService := strings.CutPrefix(r.URL.EscapedPath(), servicePrefix)
	if key := r.Header.Get("Idempotency-Key"); !isService || key == "" || checkKeyForm(key).Code != gateway.OK {
		return false
	}
	if a.snapshot == nil {
		return true
	}
	name, _, _ = strings.Cut(name, "/")
	route := a.snapshot.Routes[name]
	return route == nil || !route.Idempotent
}

// workspace returns the workspace that a request on the route is charged to.
func (a admitted) workspace(route *config.Route) (*config.Workspace, gateway.Outcome) {
	if a.key != nil {
		return a.snapshot.Workspaces[a.key.Workspace], gateway.Outcome{}
	}
	if route.Open {
		return a.snapshot.Workspaces[route.Workspace], gateway.Outcome{}
	}
	return nil, refusal(gateway.Unauthorized, "the route needs a key", 0)
}

// newRequest builds the request that all kinds of routes share.
func (s *Server) newRequest(a admitted, route *config.Route, w *config.Workspace) *gateway.Request {
	now := s.Gateway.Now()
	r := &gateway.Request{
		ID:        s.Gateway.NewRequestID(),
		Snapshot:  a.snapshot,
		Route:     route,
		Workspace: w,
		Arrived:   now,
		Deadline:  now.Add(route.Deadline()),
	}
	if a.key != nil {
		r.KeyID = a.key.ID
	}
	return r
}

// stays refuses a request that must not be read in this region.
func (s *Server) stays(a admitted, route *config.Route, w *config.Workspace) gateway.Outcome {
	if !route.HomeBound || w.Home == s.Gateway.Self.Region {
		return gateway.Outcome{}
	}
	out := refusal(gateway.WrongRegion, "requests of workspace "+w.Name+" on route "+route.Name+" must stay in region "+w.Home, 0)
	out.Instead = s.Gateway.Directory(s.Gateway.Now(), a.snapshot, route, w, w.Home)
	return out
}

// withoutBody wraps a handler that may answer before it reads the body. Unless the connection is to
// be closed, net/http waits for the rest of the body before it sends the answer; and in any case it
// waits for the rest afterwards, without a limit of its own.
func withoutBody(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		next(w, r)
		if w.Header().Get("Connection") == "close" {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
		}
	}
}

// readBody reads a bounded body within the time limit.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, gateway.Outcome) {
	if r.ContentLength > gateway.MaxBodyBytes {
		return nil, refusal(gateway.TooLarge, fmt.Sprintf("body above %d bytes", gateway.MaxBodyBytes), 0)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, gateway.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal(gateway.TooLarge, fmt.Sprintf("body above %d bytes", gateway.MaxBodyBytes), 0)
	case err != nil:
		return nil, refusal(gateway.InvalidRequest, "the body did not arrive", 0)
	}
	w.Header().Del("Connection") // The connection can be used again.
	return body, gateway.Outcome{}
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func refusal(code gateway.Code, message string, after time.Duration) gateway.Outcome {
	return gateway.Outcome{Code: code, Message: message, Ran: gateway.NotRun, RetryAfter: after}
}

// resumeOffset reads the offset of "Last-Event-ID: <request id>:<offset>".
func resumeOffset(r *http.Request) (int64, error) {
	id := r.Header.Get("Last-Event-ID")
	if id == "" {
		return 0, nil
	}
	i := strings.LastIndexByte(id, ':')
	offset, err := strconv.ParseInt(id[i+1:], 10, 64)
	if i < 0 || err != nil || offset < 0 {
		return 0, fmt.Errorf("header Last-Event-ID %q is not <request id>:<offset>", id)
	}
	return offset, nil
}

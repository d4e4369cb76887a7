// Package caller implements the HTTP server for callers: chat completions with server-sent events, calls to
// services and the directory of VMs. It uses kratos' HTTP transport.
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
	// headerTimeout is the time limit for reading a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout is the time limit for reading a request's body.
	bodyTimeout = 30 * time.Second
	// discardTimeout is the time limit for discarding the unread rest of a request's body.
	discardTimeout = time.Second
	// writeTimeout is the time limit of one write to a caller. It ends streams to callers that read too slowly.
	writeTimeout = 30 * time.Second
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 32 << 10
)

// Server is the HTTP server of a VM for callers.
type Server struct {
	Gateway *gateway.Gateway
	Log     *slog.Logger
	http    *kratoshttp.Server
}

// New returns a server that accepts connections from the listener. Kratos' request timeout is disabled because
// it would end long streams; reads of headers and bodies and each write have their own time limits.
func New(g *gateway.Gateway, l net.Listener, log *slog.Logger) *Server {
	logbuf.SuppressTransportLogs()
	s := &Server{Gateway: g, Log: log}
	s.http = kratoshttp.NewServer(kratoshttp.Listener(l), kratoshttp.Timeout(0))
	s.http.ReadHeaderTimeout = headerTimeout
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.http.IdleTimeout = time.Minute
	s.http.HandleFunc("/v1/chat/completions", limitUnreadBody(s.chat))
	s.http.HandlePrefix(servicePathPrefix, limitUnreadBody(s.service))
	s.http.HandleFunc("/v1/directory", limitUnreadBody(s.directory))
	s.http.HandleFunc("/healthz", limitUnreadBody(s.healthz))
	s.http.HandleFunc("/readyz", limitUnreadBody(s.readyz))
	return s
}

// Run serves requests until Stop is called.
func (s *Server) Run(ctx context.Context) error {
	if err := s.http.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Stop closes the listener and waits until open requests have completed or ctx is done.
func (s *Server) Stop(ctx context.Context) error { return s.http.Stop(ctx) }

// Close closes the listener and all connections immediately.
func (s *Server) Close() { _ = s.http.Close() }

// admission holds the configuration that applies to an admitted request and the caller's key, nil if the
// request has none.
type admission struct {
	snapshot *config.Snapshot
	key      *config.Key
}

// admit checks that the VM accepts the request and authenticates the caller. A request without a key is
// admitted with a nil key; only open routes accept it.
func (s *Server) admit(r *http.Request) (admission, gateway.Outcome) {
	a := admission{snapshot: s.Gateway.Snapshot()}
	if a.snapshot == nil || !s.Gateway.Ready() && !(s.Gateway.Leaving() && a.mayHaveRecord(r)) {
		out := refusal(gateway.Leaving, "this vm does not accept requests; ask the directory for another one", time.Second)
		if a.snapshot != nil {
			out.Alternatives = s.Gateway.OtherVMs(a.snapshot)
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

// mayHaveRecord reports whether a VM may hold a record of the request, which is the case for calls that must not be
// executed twice. A leaving VM still serves results from its records.
func (a admission) mayHaveRecord(r *http.Request) bool {
	name, isService := strings.CutPrefix(r.URL.EscapedPath(), servicePathPrefix)
	if key := r.Header.Get("Idempotency-Key"); !isService || key == "" || checkKeyFormat(key).Code != gateway.OK {
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
func (a admission) workspace(route *config.Route) (*config.Workspace, gateway.Outcome) {
	if a.key != nil {
		return a.snapshot.Workspaces[a.key.Workspace], gateway.Outcome{}
	}
	if route.Open {
		return a.snapshot.Workspaces[route.Workspace], gateway.Outcome{}
	}
	return nil, refusal(gateway.Unauthorized, "the route needs a key", 0)
}

// newRequest returns a request with the fields that all kinds of routes set.
func (s *Server) newRequest(a admission, route *config.Route, w *config.Workspace) *gateway.Request {
	now := s.Gateway.Now()
	r := &gateway.Request{
		ID:         s.Gateway.NewRequestID(),
		Snapshot:   a.snapshot,
		Route:      route,
		Workspace:  w,
		AdmittedAt: now,
		Deadline:   now.Add(route.Deadline()),
	}
	if a.key != nil {
		r.KeyID = a.key.ID
	}
	return r
}

// checkHomeRegion rejects a request on a home-bound route if its workspace has its home in another region.
func (s *Server) checkHomeRegion(a admission, route *config.Route, w *config.Workspace) gateway.Outcome {
	if !route.HomeBound || w.Home == s.Gateway.Self.Region {
		return gateway.Outcome{}
	}
	out := refusal(gateway.WrongRegion, "requests of workspace "+w.Name+" on route "+route.Name+" must stay in region "+w.Home, 0)
	out.Alternatives = s.Gateway.Directory(s.Gateway.Now(), a.snapshot, route, w, w.Home)
	return out
}

// limitUnreadBody wraps a handler that may respond without reading the request body. Unless the connection is to be
// closed, net/http reads the rest of the body before it sends the response. It also reads the rest after the
// response, without a time limit, so limitUnreadBody sets a read deadline.
func limitUnreadBody(next http.HandlerFunc) http.HandlerFunc {
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

// readBody reads the request body within bodyTimeout and up to gateway.MaxBodyBytes.
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
	w.Header().Del("Connection") // The whole body has been read, so the connection can be reused.
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

// resumeOffset returns the offset in the header "Last-Event-ID: <request id>:<offset>", zero without the header.
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

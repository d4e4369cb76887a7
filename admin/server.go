// Package admin implements the HTTP server for operators: status, audit trail, decision traces, metrics and
// profiles. It uses kratos' HTTP transport on a listener separate from that of callers.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"strconv"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"parsleyhatch/gateway"
)

// Server is the HTTP server of a VM for operators.
type Server struct {
	Gateway *gateway.Gateway
	http    *kratoshttp.Server
}

// New returns a server that accepts connections from the listener.
func New(g *gateway.Gateway, l net.Listener) *Server {
	s := &Server{Gateway: g}
	s.http = kratoshttp.NewServer(kratoshttp.Listener(l), kratoshttp.Timeout(0))
	s.http.ReadHeaderTimeout = 5 * time.Second
	s.http.WriteTimeout = 2 * time.Minute // A CPU profile takes the time given in its seconds parameter.
	s.http.HandleFunc("/admin/status", s.status)
	s.http.HandleFunc("/admin/explain", s.explain)
	s.http.HandleFunc("/admin/audit", s.audit)
	s.http.Handle("/metrics", g.Metrics.Handler())
	// Registered before the prefix handler, which would match the path first.
	s.http.HandleFunc("/debug/pprof/profile", pprof.Profile)
	s.http.HandlePrefix("/debug/pprof/", http.HandlerFunc(pprof.Index))
	s.http.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	return s
}

// Run serves requests until Stop is called.
func (s *Server) Run(ctx context.Context) error {
	if err := s.http.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Stop closes the listener and waits until open requests have completed or ctx is done.
func (s *Server) Stop(ctx context.Context) error { return s.http.Stop(ctx) }

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Gateway.Status())
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	trace, ok := s.Gateway.Explain(r.URL.Query().Get("id"))
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "this vm knows no finished request of that id"})
		return
	}
	writeJSON(w, http.StatusOK, trace)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// maxAuditEntries is the maximum number of entries in one response.
const maxAuditEntries = 1000

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		sequence, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "parameter after is not a sequence number"})
			return
		}
		after = sequence
	}
	writeJSON(w, http.StatusOK, s.Gateway.Audit.EntriesAfter(after, maxAuditEntries))
}

// Package admin speaks to operators: status, audit trail, explanations and metrics over kratos'
// HTTP transport, on a listener apart from callers'.
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

// Server is the HTTP side of a VM towards operators.
type Server struct {
	Gateway *gateway.Gateway
	http    *kratoshttp.Server
}

// New returns a server on the listener.
func New(g *gateway.Gateway, l net.Listener) *Server {
	s := &Server{Gateway: g}
	s.http = kratoshttp.NewServer(kratoshttp.Listener(l), kratoshttp.Timeout(0))
	s.http.ReadHeaderTimeout = 5 * time.Second
	s.http.WriteTimeout = 2 * time.Minute // A processor profile takes as long as it is asked for.
	s.http.HandleFunc("/admin/status", s.status)
	s.http.HandleFunc("/admin/explain", s.explain)
	s.http.HandleFunc("/admin/audit", s.audit)
	s.http.Handle("/metrics", g.Metrics.Handler())
	s.http.HandleFunc("/debug/pprof/profile", pprof.Profile) // Before the prefix, which would take it.
	s.http.HandlePrefix("/debug/pprof/", http.HandlerFunc(pprof.Index))
	s.http.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	return s
}

// Run serves until Stop.
func (s *Server) Run(ctx context.Context) error {
	if err := s.http.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve operators: %w", err)
	}
	return nil
}

// Stop closes the listener and waits for open requests until ctx ends.
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

// maxAuditEntries bounds the entries of one answer.
const maxAuditEntries = 1000

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "parameter after is not a sequence number"})
			return
		}
		after = n
	}
	writeJSON(w, http.StatusOK, s.Gateway.Audit.Since(after, maxAuditEntries))
}

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store or the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore() *store { return &store{items: map[string]item{}, changed: make(chan struct{})} }

func (s *store) revision() uint64 { return uint64(len(s.events)) + 1 }

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	it := item{Key: key, Value: data, Revision: s.revision() + 1, Created: s.revision() + 1}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, it)
		}
	}
	at := s.revision()
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": list, "has_more": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		list := []item{}
		for _, it := range s.events {
			if it.Revision > after {
				list = append(list, it)
			}
		}
		at, changed := s.revision(), s.changed
		s.mu.Unlock()
		if len(list) > 0 || over {
			writeJSON(w, map[string]any{"events": list, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serve serves the store on a free port and returns its address.
func (s *store) serve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String(), nil
}

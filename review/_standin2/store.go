package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatch is the longest time for which the store holds a watch.
const maxWatch = 30 * time.Second

// item is a key of the store, or the deletion of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
	// watches holds the connections on which a watch waits.
	watches map[net.Conn]bool
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), watches: map[net.Conn]bool{}}
}

// put writes a key and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		fatal("encode %s: %v", key, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.announce(i)
	return time.Now()
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.announce(item{Key: key, Revision: s.revision, Deleted: true})
	return time.Now()
}

func (s *store) announce(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches closes the connections on which a watch waits, and returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.watches)
	for c := range s.watches {
		_ = c.Close()
		delete(s.watches, c)
	}
	return n
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	_ = (&http.Server{Handler: mux, ConnContext: withConn}).Serve(l)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, struct {
		item
		At uint64 `json:"at"`
	}{i, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answerJSON(w, map[string]any{"items": items, "has_more": false, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatch))
	defer deadline.Stop()
	conn := connOf(r)
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		waits := len(events) == 0 && !expired
		if waits {
			s.watches[conn] = true
		} else {
			delete(s.watches, conn)
		}
		s.mu.Unlock()
		if !waits {
			answerJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			s.mu.Lock()
			delete(s.watches, conn)
			s.mu.Unlock()
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fatal("encode answer: %v", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

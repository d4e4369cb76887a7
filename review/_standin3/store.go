package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of a page of /kv-range, as PROTOCOL.md states them, and the age at which history is dropped.
const (
	pageItems   = 500
	pageBytes   = 1_000_000
	historyTime = 20 * time.Second
)

// storeItem is a key of the store, or the change of one.
type storeItem struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	deleted  bool
	at       time.Time
}

// store is a stand-in of the platform's metadata store: ranges in pages, and watches over the history of historyTime. It is safe for
// concurrent use.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]storeItem
	history   []storeItem
	compacted uint64
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 100, compacted: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	return s.change(storeItem{key: key, value: value})
}

// remove deletes a key.
func (s *store) remove(key string) { s.change(storeItem{key: key, deleted: true}) }

func (s *store) change(item storeItem) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.revision, item.created, item.at = s.revision, s.revision, time.Now()
	if old, ok := s.items[item.key]; ok {
		item.created = old.created
	}
	if item.deleted {
		delete(s.items, item.key)
	} else {
		s.items[item.key] = item
	}
	s.history = append(s.history, item)
	s.compact()
	close(s.changed)
	s.changed = make(chan struct{})
	return item.at
}

// compact drops the history that is older than historyTime. The caller holds mu.
func (s *store) compact() {
	n := 0
	for n < len(s.history) && time.Since(s.history[n].at) > historyTime {
		s.compacted = s.history[n].revision
		n++
	}
	s.history = s.history[n:]
}

// ServeHTTP answers the reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.serveRange(w, q.Get("path_prefix"), q.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case "/kv-key":
		s.serveKey(w, q.Get("key"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	fields := item.fields()
	fields["at"] = revision
	writeJSON(w, fields)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		item := s.items[key]
		if len(list) > 0 && (len(list) == pageItems || size+len(item.value) > pageBytes) {
			more = true
			break
		}
		size += len(item.value)
		list = append(list, item.fields())
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, map[string]any{"items": list, "has_more": more, "at": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		s.compact()
		gone, revision, changed := after < s.compacted, s.revision, s.changed
		events := []map[string]any{}
		for _, item := range s.history {
			if item.revision > after && strings.HasPrefix(item.key, prefix) {
				events = append(events, item.fields())
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				ended = true
			}
		}
		if ended || len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "at": revision})
			return
		}
	}
}

// fields returns the JSON form of an item.
func (i storeItem) fields() map[string]any {
	if i.deleted {
		return map[string]any{"key": i.key, "revision": i.revision, "deleted": true}
	}
	return map[string]any{"key": i.key, "value": i.value, "revision": i.revision, "created": i.created, "lease": 0}
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // The caller may have left.
}

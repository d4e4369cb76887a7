package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Store simulates the metadata store of the operators' platform: ranges and watches over all keys. It is an
// http.Handler and safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	changed  chan struct{}
	down     bool
	// era counts the restores.
	era uint64
}

// StoreCopy is a copy of the state of a Store.
type StoreCopy struct {
	revision uint64
	items    map[string]storeItem
}

type storeItem struct {
	value    string
	revision uint64
	deleted  bool
}

// Keys returns the keys that the copy holds.
func (c StoreCopy) Keys() []string {
	var keys []string
	for key, item := range c.items {
		if !item.deleted {
			keys = append(keys, key)
		}
	}
	return keys
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]storeItem{}, changed: make(chan struct{})}
}

// Put writes a value.
func (s *Store) Put(key, value string) { s.change(key, storeItem{value: value}) }

// Remove deletes a key.
func (s *Store) Remove(key string) { s.change(key, storeItem{deleted: true}) }

func (s *Store) change(key string, item storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.revision = s.revision
	s.items[key] = item
	s.wake()
}

// Copy returns a copy of the state.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{revision: s.revision, items: maps.Clone(s.items)}
}

// Restore replaces the state by a copy and begins the next era. Revisions after that of the copy are given out again.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items = c.revision, maps.Clone(c.items)
	s.era++
	s.wake()
}

// SetDown makes the store refuse all calls, or answer them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// wake lets waiting watches look again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers /kv-range and /kv-watch.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	watch := r.URL.Path == "/kv-watch"
	wait := time.Duration(0)
	if watch {
		after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // An unreadable number means all.
		ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		wait = time.Duration(ms) * time.Millisecond
	}
	timeout := time.After(wait)
	list := "items"
	if watch {
		list = "events"
	}
	for {
		page, changed, status := s.since(after, watch)
		if status != http.StatusOK {
			s.setEra(w.Header())
			w.WriteHeader(status)
			return
		}
		if !watch || len(page) > 0 {
			s.answer(w, list, page)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.answer(w, list, page)
			return
		}
	}
}

func (s *Store) setEra(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set("Store-Era", strconv.FormatUint(s.era, 10))
}

func (s *Store) answer(w http.ResponseWriter, list string, page []map[string]any) {
	s.setEra(w.Header())
	s.mu.Lock()
	at := s.revision
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{list: page, "has_more": false, "at": at}) // The caller may have left.
}

// since returns the changes after a revision, or the status of the answer if there are none to return: the store is down, or
// does not have the revision, as after a restore.
func (s *Store) since(after uint64, watch bool) ([]map[string]any, chan struct{}, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, nil, http.StatusServiceUnavailable
	}
	if after > s.revision {
		return nil, nil, http.StatusGone
	}
	var page []map[string]any
	for key, item := range s.items {
		switch {
		case item.revision <= after || item.deleted && !watch:
		case item.deleted:
			page = append(page, map[string]any{"key": key, "revision": item.revision, "deleted": true})
		default:
			page = append(page, map[string]any{"key": key, "revision": item.revision, "value": []byte(item.value)})
		}
	}
	return page, s.changed, http.StatusOK
}

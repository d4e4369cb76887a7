package standin

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// historyTime is the time for which a Store keeps changes.
const historyTime = 20 * time.Second

// Store simulates the metadata store of the operators' platform: ranges, and watches of the changes of the last historyTime, over all keys. It
// is an http.Handler and safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	// history holds the changes after the revision compacted, in their order.
	history   []storeChange
	compacted uint64
	changed   chan struct{}
	down      bool
	// era counts the restores.
	era uint64
	// delay is the time before each answer, in nanoseconds.
	delay atomic.Int64
}

// StoreCopy is a copy of the state of a Store.
type StoreCopy struct {
	revision uint64
	items    map[string]storeItem
}

type storeItem struct {
	value    string
	revision uint64
	// created is the revision at which the key was created, zero if it is deleted.
	created uint64
	deleted bool
}

// storeChange is a change of a key.
type storeChange struct {
	key string
	storeItem
	at time.Time
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
	if !item.deleted {
		item.created = cmp.Or(s.items[key].created, s.revision)
	}
	s.items[key] = item
	now := time.Now()
	s.history = append(s.history, storeChange{key, item, now})
	s.compact(now.Add(-historyTime))
	s.wake()
}

// DropHistory makes the store forget all changes.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compact(time.Now())
}

// compact removes the changes up to a time from the history.
func (s *Store) compact(until time.Time) {
	n := 0
	for n < len(s.history) && !s.history[n].at.After(until) {
		s.compacted = s.history[n].revision
		n++
	}
	s.history = slices.Delete(s.history, 0, n)
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
	s.history = slices.DeleteFunc(s.history, func(c storeChange) bool { return c.revision > s.revision })
	s.compacted = min(s.compacted, s.revision)
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

// AddDelay changes the time that the store takes for an answer.
func (s *Store) AddDelay(change time.Duration) { s.delay.Add(int64(change)) }

// wake lets waiting watches look again. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers /kv-range and /kv-watch.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(value string) string { return value })
}

// serve answers a reader that gets the values as view returns them.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, view func(value string) string) {
	time.Sleep(time.Duration(s.delay.Load()))
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
		a, changed := s.since(r.URL.Query().Get("path_prefix"), after, watch, view)
		if a.status != http.StatusOK || !watch || len(a.page) > 0 {
			a.write(w, list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			a.write(w, list)
			return
		}
	}
}

// storeAnswer is an answer of the store, with the era and the revision at which its page was read.
type storeAnswer struct {
	status        int
	page          []map[string]any
	era, revision uint64
}

func (a *storeAnswer) write(w http.ResponseWriter, list string) {
	w.Header().Set("Store-Era", strconv.FormatUint(a.era, 10))
	w.WriteHeader(a.status)
	if a.status == http.StatusOK {
		_ = json.NewEncoder(w).Encode(map[string]any{list: a.page, "has_more": false, "at": a.revision}) // The caller may have left.
	}
}

// since returns the changes after a revision, or an answer without a page: the store is down, or does not have the revision, as after
// a restore, or no longer.
func (s *Store) since(prefix string, after uint64, watch bool, view func(value string) string) (storeAnswer, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{status: http.StatusOK, era: s.era, revision: s.revision}
	if s.down {
		a.status = http.StatusServiceUnavailable
		return a, nil
	}
	s.compact(time.Now().Add(-historyTime))
	if after > s.revision || watch && after < s.compacted {
		a.status = http.StatusGone
		return a, nil
	}
	if watch {
		for _, c := range s.history {
			if c.revision > after && strings.HasPrefix(c.key, prefix) {
				a.page = append(a.page, c.fields(c.key, view))
			}
		}
		return a, s.changed
	}
	for key, item := range s.items {
		if !item.deleted && strings.HasPrefix(key, prefix) {
			a.page = append(a.page, item.fields(key, view))
		}
	}
	return a, s.changed
}

// fields returns the JSON form of an item, or of its deletion.
func (i storeItem) fields(key string, view func(value string) string) map[string]any {
	if i.deleted {
		return map[string]any{"key": key, "revision": i.revision, "deleted": true}
	}
	return map[string]any{"key": key, "revision": i.revision, "created": i.created, "value": []byte(view(i.value))}
}

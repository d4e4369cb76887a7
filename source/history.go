package source

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"parsleyhatch/platform"
)

const (
	// maxHistoryEvents is the maximum number of changes that are kept for other VMs.
	maxHistoryEvents = 2000
	// maxHistoryBytes is the maximum size of these changes, in bytes.
	maxHistoryBytes = 8 << 20
	// maxAnswerBytes is the maximum size of the items in an answer to another VM, in bytes. An answer must fit in
	// a frame.
	maxAnswerBytes = 200 << 10
	// minNewer is the time by which knowledge must be newer for an answer without changes. It exceeds the error of times
	// that pass between VMs.
	minNewer = 50 * time.Millisecond
)

// ErrStateUnknown reports that this VM does not know the state of the store, or that it is too large for an answer.
var ErrStateUnknown = errors.New("the state of the store is not known")

// History is a copy of the store's state and its latest changes, through which other VMs read the store. The
// zero value is empty. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// items are the current values by key, and events the changes after compactedRevision.
	items             map[string]platform.Item
	events            []platform.Item
	compactedRevision uint64
	position          Position
	knownAt           time.Time
	storeReturnedAt   time.Time
	changed           chan struct{}
	// lost is set from the loss of the store until newer knowledge arrives.
	lost bool
}

// interrupt makes all watches fail until newer knowledge arrives, since this VM no longer reads the store. The other VMs
// read it elsewhere at once.
func (h *History) interrupt() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
	h.wake()
}

// wake wakes all waiting watches.
func (h *History) wake() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// add applies an answer of the store and wakes watchers if it contains changes or makes the state known to be newer.
func (h *History) add(a Answer, position Position, knownAt, storeReturnedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(a.Items) > 0 || h.items == nil || position.Era != h.position.Era {
		h.items = make(map[string]platform.Item, len(a.Items))
		for _, item := range a.Items {
			h.items[item.Key] = item
		}
		h.events, h.compactedRevision = nil, a.Revision
	}
	for _, item := range a.Events {
		if item.Deleted {
			delete(h.items, item.Key)
		} else {
			h.items[item.Key] = item
		}
	}
	h.events = append(h.events, a.Events...)
	if surplus := surplusEvents(h.events); surplus > 0 {
		h.compactedRevision = h.events[surplus-1].Revision
		h.events = append([]platform.Item(nil), h.events[surplus:]...)
	}
	newer := knownAt.After(h.knownAt)
	h.position, h.knownAt, h.storeReturnedAt = position, knownAt, storeReturnedAt
	if newer || len(a.Events)+len(a.Items) > 0 {
		h.lost = false
		h.wake()
	}
}

// surplusEvents returns how many of the earliest changes exceed the limits on their number and size.
func surplusEvents(events []platform.Item) int {
	size := 0
	for i, item := range slices.Backward(events) {
		size += itemBytes(item)
		if size > maxHistoryBytes || len(events)-i > maxHistoryEvents {
			return i + 1
		}
	}
	return 0
}

func itemBytes(item platform.Item) int { return len(item.Key) + len(item.Value) }

// Range returns all current items.
func (h *History) Range() (Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.answer()
	size := 0
	for _, item := range h.items {
		size += itemBytes(item)
		a.Items = append(a.Items, item)
	}
	if h.items == nil || size > maxAnswerBytes {
		return Answer{}, ErrStateUnknown
	}
	return a, nil
}

// Watch returns the changes after a position as soon as there are any. It returns an empty answer as soon as the state is known
// to be newer than knownAt, what the asking VM knows, so that the reader's knowledge does not age here, or when wait has passed.
func (h *History) Watch(ctx context.Context, after Position, knownAt time.Time, wait time.Duration) (Answer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, changed, err := h.changesSince(after)
		if err != nil || len(a.Events) > 0 || a.KnownAt.After(knownAt.Add(minNewer)) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-timer.C:
			a, _, err := h.changesSince(after)
			return a, err
		case <-changed:
		}
	}
}

// changesSince returns the changes after a position, and a channel that is closed when there are more.
func (h *History) changesSince(after Position) (Answer, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.items == nil || h.lost || after.Era > h.position.Era || after.Era == h.position.Era && after.Revision > h.position.Revision:
		return Answer{}, nil, ErrStateUnknown
	case after.Era < h.position.Era || after.Revision < h.compactedRevision:
		return Answer{}, nil, platform.ErrCompacted
	}
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	a := h.answer()
	size := 0
	for _, item := range h.events {
		if item.Revision <= after.Revision {
			continue
		}
		if size += itemBytes(item); size > maxAnswerBytes {
			if len(a.Events) == 0 {
				return Answer{}, nil, ErrStateUnknown // The asking VM reads this change from the store.
			}
			// The remaining changes follow in the next answer. This one is not the current state, so it has no
			// KnownAt.
			a.Revision = a.Events[len(a.Events)-1].Revision
			a.KnownAt = time.Time{}
			break
		}
		a.Events = append(a.Events, item)
	}
	return a, h.changed, nil
}

func (h *History) answer() Answer {
	return Answer{Page: platform.Page{Era: h.position.Era, Revision: h.position.Revision}, KnownAt: h.knownAt, StoreReturnedAt: h.storeReturnedAt}
}

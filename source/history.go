package source

import (
	"context"
	"errors"
	"sync"
	"time"

	"parsleyhatch/platform"
)

const (
	// maxHistory is the number of changes that are kept for other VMs.
	maxHistory = 2000
	// maxAnswerBytes bounds the values in an answer to another VM, in bytes; it must fit in a frame.
	maxAnswerBytes = 200 << 10
)

// ErrUnknown says that this VM cannot tell what the store holds.
var ErrUnknown = errors.New("the state of the store is not known")

// History is what other VMs may read of the store through this one. Its zero value knows nothing. It is safe
// for concurrent use.
type History struct {
	mu sync.Mutex
	// items are the present values by key, and events the latest changes after the revision floor.
	items    map[string]platform.Item
	events   []platform.Item
	floor    uint64
	revision uint64
	knownAt  time.Time
	returned time.Time
	changed  chan struct{}
}

// add takes over an answer.
func (h *History) add(a Answer, revision uint64, knownAt, returned time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(a.Items) > 0 || h.items == nil {
		h.items = make(map[string]platform.Item, len(a.Items))
		for _, item := range a.Items {
			h.items[item.Key] = item
		}
		h.events, h.floor = nil, a.Revision
	}
	for _, item := range a.Events {
		if item.Deleted {
			delete(h.items, item.Key)
		} else {
			h.items[item.Key] = item
		}
	}
	h.events = append(h.events, a.Events...)
	if surplus := len(h.events) - maxHistory; surplus > 0 {
		h.floor = h.events[surplus-1].Revision
		h.events = append([]platform.Item(nil), h.events[surplus:]...)
	}
	h.revision, h.knownAt, h.returned = revision, knownAt, returned
	if h.changed != nil && len(a.Events)+len(a.Items) > 0 {
		close(h.changed)
		h.changed = nil
	}
}

// Range returns everything that this VM knows.
func (h *History) Range() (Answer, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.answer()
	size := 0
	for _, item := range h.items {
		size += len(item.Key) + len(item.Value)
		a.Items = append(a.Items, item)
	}
	if h.items == nil || size > maxAnswerBytes {
		return Answer{}, ErrUnknown
	}
	return a, nil
}

// Watch returns the changes after a revision as soon as there are any, or none after the wait.
func (h *History) Watch(ctx context.Context, after uint64, wait time.Duration) (Answer, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		a, changed, err := h.since(after)
		if err != nil || len(a.Events) > 0 {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, ctx.Err()
		case <-timer.C:
			a, _, err := h.since(after)
			return a, err
		case <-changed:
		}
	}
}

// since returns the changes after a revision, and what is closed when there are more.
func (h *History) since(after uint64) (Answer, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.items == nil || after > h.revision:
		return Answer{}, nil, ErrUnknown
	case after < h.floor:
		return Answer{}, nil, platform.ErrCompacted
	}
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	a := h.answer()
	size := 0
	for _, item := range h.events {
		if item.Revision <= after {
			continue
		}
		if size += len(item.Key) + len(item.Value); size > maxAnswerBytes && len(a.Events) > 0 {
			// The rest comes with the next answer. What is known up to here was not current.
			a.Revision = a.Events[len(a.Events)-1].Revision
			a.KnownAt = time.Time{}
			break
		}
		a.Events = append(a.Events, item)
	}
	return a, h.changed, nil
}

func (h *History) answer() Answer {
	return Answer{Page: platform.Page{Revision: h.revision}, KnownAt: h.knownAt, Returned: h.returned}
}

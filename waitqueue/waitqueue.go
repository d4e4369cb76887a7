// Package waitqueue holds the requests that wait at a VM until there is room for them, and releases them in a fair order. It uses only the
// Item of a request, and a function that reports whether there is room. It performs no I/O.
package waitqueue

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/admit"
	"parsleyhatch/contention"
)

const (
	// maxItems is the number of items of one service that may wait, and maxItemsOfWorkspace that of one workspace, which leaves a quarter of the
	// places to others. Both are specified in docs/design/hard-load.md, part B.
	maxItems            = 256
	maxItemsOfWorkspace = 192
	// Interval is the interval at which waiting items are checked for room. It is a quarter of the shortest interval between load reports.
	Interval = 25 * time.Millisecond
	// maxReleased is the number of items of one service that are released at once. The load of a released item counts only once it is sent, so that
	// further ones would be released to the same capacity.
	maxReleased = 4
	// maxExpiredShare is the share of waits that may expire before further requests should be refused at once: a wait without success only delays the
	// caller's retry.
	maxExpiredShare = 0.5
	// initialRate is the assumed rate of released work, in tokens per second, before it is measured. It is high, so that no item is refused because of
	// its expected wait before the first one was released.
	initialRate = 1e6
)

// Item is a request that is to wait.
type Item[T any] struct {
	Service, Workspace string
	// LessUrgent is set if the item is released after those without it, except for a small share.
	LessUrgent bool
	// Deadline is the latest time of the release.
	Deadline time.Time
	// Cost is the expected work, in tokens.
	Cost float64
	// Value is passed to Queues.HasRoom.
	Value T
}

// Waiter is an item in a queue.
type Waiter[T any] struct {
	service string
	id      uint64
	value   T
	ended   chan struct{}
	hasRoom bool
}

// Ended returns a channel that is closed once the item is released or has expired.
func (w *Waiter[T]) Ended() <-chan struct{} { return w.ended }

// HasRoom reports whether the item was released because there was room. It may be called only after Ended is closed.
func (w *Waiter[T]) HasRoom() bool { return w.hasRoom }

func (w *Waiter[T]) end(hasRoom bool) {
	w.hasRoom = hasRoom
	close(w.ended)
}

// Queues holds one queue for each service. It is safe for concurrent use.
type Queues[T any] struct {
	// Now returns the current time.
	Now func() time.Time
	// HasRoom reports whether there is room for an item now. It is called with the queues locked and must not use them.
	HasRoom func(now time.Time, value T) bool
	// OnEnd is called with the queues locked for each wait that Release ends, with the result of Waiter.HasRoom. It may be nil.
	OnEnd func(hasRoom bool)

	mu        sync.Mutex
	byService map[string]*admit.Queue
	latestID  uint64
	// expired holds the share of the waits of each service that have expired.
	expired *contention.Pressures
	// wake wakes Run.
	wake chan struct{}
}

// New returns empty queues. Now and HasRoom must be set before an item is added.
func New[T any]() *Queues[T] {
	return &Queues[T]{byService: map[string]*admit.Queue{}, expired: contention.NewPressures(), wake: make(chan struct{}, 1)}
}

// Add adds an item to the queue of its service. It reports false if the queue has no place for it or the expected wait exceeds its deadline. The
// caller must call Remove when it no longer waits.
func (q *Queues[T]) Add(now time.Time, item Item[T]) (*Waiter[T], bool) {
	class := admit.Interactive
	if item.LessUrgent {
		class = admit.Draft
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.latestID++
	w := &Waiter[T]{service: item.Service, id: q.latestID, value: item.Value, ended: make(chan struct{})}
	out := q.queueOf(item.Service).Enqueue(now, admit.Item{
		ID: w.id, Workspace: item.Workspace, Weight: 1, Class: class, Deadline: item.Deadline, Cost: item.Cost, Value: w,
	})
	if out.Verdict != admit.Queued {
		return nil, false
	}
	select {
	case q.wake <- struct{}{}:
	default: // A wake-up is pending already.
	}
	return w, true
}

// queueOf returns the queue of a service. It must be called with the lock held.
func (q *Queues[T]) queueOf(service string) *admit.Queue {
	s := q.byService[service]
	if s == nil {
		s = admit.New(admit.Settings{
			Total: maxItems, PerWorkspace: maxItemsOfWorkspace, DraftShare: admit.DefaultDraftShare, Rate: initialRate,
		})
		q.byService[service] = s
	}
	return s
}

// Remove removes an item that no longer waits. HasRoom is not called for it after Remove has returned. Items that have left their queue are ignored.
func (q *Queues[T]) Remove(w *Waiter[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.byService[w.service]; s != nil {
		s.Remove(w.id)
	}
}

// ExpiresTooOften reports whether so many of the recent waits of a service have expired that further requests should not wait.
func (q *Queues[T]) ExpiresTooOften(now time.Time, service string) bool {
	return q.expired.Share(now, service) > maxExpiredShare
}

// Len returns the number of waiting items of all services.
func (q *Queues[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, s := range q.byService {
		n += s.Len()
	}
	return n
}

// Retain removes the queues and the shares of expired waits of all services except the given ones. A queue in which items wait is kept until
// a later call.
func (q *Queues[T]) Retain(services map[string]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, s := range q.byService {
		if !services[service] && s.Len() == 0 {
			delete(q.byService, service)
		}
	}
	q.expired.Retain(services)
}

// Run releases items until ctx ends. It sleeps while none waits.
func (q *Queues[T]) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			q.loop(ctx)
		}
	}
}

// loop releases items at each interval until none waits.
func (q *Queues[T]) loop(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.Release(q.Now())
			if q.Len() == 0 {
				return
			}
		}
	}
}

// Release ends the waits of the items for which there is room now, in the order of their queues, and of those that have expired.
func (q *Queues[T]) Release(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, s := range q.byService {
		for range maxReleased {
			item, ok := s.Peek(now)
			if !ok || !q.HasRoom(now, item.Value.(*Waiter[T]).value) {
				break
			}
			s.Dequeue(now)
			q.end(now, service, item, true)
		}
		for _, item := range s.TakeExpired(now) {
			q.end(now, service, item, false)
		}
	}
}

func (q *Queues[T]) end(now time.Time, service string, item admit.Item, hasRoom bool) {
	item.Value.(*Waiter[T]).end(hasRoom)
	q.expired.Record(now, service, !hasRoom)
	if q.OnEnd != nil {
		q.OnEnd(hasRoom)
	}
}

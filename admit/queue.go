// Package admit queues the waiting requests of a VM in a fair order, and refuses those that cannot be served
// in time.
package admit

import (
	"container/heap"
	"math"
	"sync"
	"time"

	"parsleyhatch/event"
)

// Class is the priority class of a request.
type Class uint8

// Priority classes in descending order.
const (
	Interactive Class = iota
	Draft
	classes
)

// DefaultDraftShare is the share of the served cost that drafts receive while interactive requests wait.
const DefaultDraftShare = 0.05

// Item is a waiting request.
type Item struct {
	// ID is unique among the waiting items.
	ID uint64
	// Workspace is the workspace that is charged for the item.
	Workspace string
	// Weight is the workspace's share relative to others, above zero.
	Weight float64
	// Class is Interactive or Draft.
	Class Class
	// Deadline is the latest time of the first byte of the answer.
	Deadline time.Time
	// Cost is the expected work, above zero, in a unit that is the same for all items.
	Cost float64
	// Value is not used by the queue and is returned to the caller with the item.
	Value any
}

// Verdict is the decision about an offered item.
type Verdict uint8

// Verdicts of Enqueue.
const (
	// Queued means that the item waits. Dequeue returns it, or TakeExpired if it expires.
	Queued Verdict = iota
	// ExceedsDeadline means that the expected wait exceeds the deadline.
	ExceedsDeadline
	// WorkspaceFull means that the number of waiting items of the workspace is at its bound.
	WorkspaceFull
	// QueueFull means that the number of waiting items in the queue is at its bound.
	QueueFull
)

// String returns the verdict's text.
func (v Verdict) String() string {
	return [...]string{"queued", "expected wait exceeds the deadline", "workspace's queue is full", "queue is full"}[v]
}

// Outcome is the result of Enqueue.
type Outcome struct {
	Verdict Verdict
	// Wait is the expected wait at the time of the offer.
	Wait time.Duration
	// RetryAfter is the time after which an equal item would probably be queued. It is set on refusals.
	RetryAfter time.Duration
}

// Settings holds the bounds and shares of a queue.
type Settings struct {
	// Total is the largest number of items, above zero.
	Total int
	// PerWorkspace is the largest number of items of one workspace, above zero.
	PerWorkspace int
	// DraftShare is the share of the served cost that drafts receive while interactive requests wait. It is
	// at least 0 and below 1.
	DraftShare float64
	// Rate is the initial estimate of the cost served per second, above zero.
	Rate float64
}

// Queue holds the waiting requests of a VM. It is safe for concurrent use.
type Queue struct {
	mu          sync.Mutex
	settings    Settings
	classQueues [classes]classQueue
	byID        map[uint64]*entry
	// waiting counts the waiting items of each workspace over both classes.
	waiting map[string]int
	// expired holds items past their deadline until TakeExpired returns them. They count as waiting, so that their
	// number is bounded too.
	expired []Item
	// draftCredit is the cost of drafts that may be served before interactive items.
	draftCredit float64
	rateMeter   rateMeter
}

// New returns an empty queue.
func New(s Settings) *Queue {
	q := &Queue{settings: s, byID: map[uint64]*entry{}, waiting: map[string]int{}}
	q.rateMeter.rate = s.Rate
	for i := range q.classQueues {
		q.classQueues[i].flows = map[string]*flow{}
	}
	return q
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.size()
}

func (q *Queue) size() int { return len(q.byID) + len(q.expired) }

// Enqueue queues an item or refuses it immediately.
func (q *Queue) Enqueue(now time.Time, item Item) Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	item.Cost = math.Max(item.Cost, minCost)
	item.Weight = math.Max(item.Weight, minWeight)
	wait := q.expectedWait(now, &item)
	out := Outcome{Wait: wait}
	switch {
	case q.size() >= q.settings.Total:
		out.Verdict = QueueFull
	case q.waiting[item.Workspace] >= q.settings.PerWorkspace:
		out.Verdict = WorkspaceFull
	case now.Add(wait).After(item.Deadline):
		out.Verdict = ExceedsDeadline
	default:
		q.insert(item)
		return out
	}
	out.RetryAfter = q.retryAfter(now, &item, wait)
	return out
}

// retryAfter returns the time until the expected wait falls below the time left until the item's deadline, or
// until one more item fits.
func (q *Queue) retryAfter(now time.Time, item *Item, wait time.Duration) time.Duration {
	late := wait - max(0, item.Deadline.Sub(now))
	return min(max(late, minRetryAfter), maxRetryAfter)
}

func (q *Queue) insert(item Item) {
	e := &entry{Item: item}
	q.byID[item.ID] = e
	q.waiting[item.Workspace]++
	q.classQueues[item.Class].push(e)
	if n := q.size(); n > q.settings.Total {
		event.FailInvariant(nil, event.BrokenQueueBound, "length", n, "bound", q.settings.Total)
	}
}

// Peek returns the item that Dequeue would return.
func (q *Queue) Peek(now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	class, ok := q.nextUnexpired(now)
	if !ok {
		return Item{}, false
	}
	return q.classQueues[class].peek().Item, true
}

// nextUnexpired returns the class to serve, and moves expired items ahead of its next one to those for TakeExpired.
func (q *Queue) nextUnexpired(now time.Time) (Class, bool) {
	class, ok := q.nextClass()
	for ok && now.After(q.classQueues[class].peek().Deadline) {
		q.moveToExpired(q.classQueues[class].peek())
		class, ok = q.nextClass()
	}
	return class, ok
}

// Dequeue removes and returns the item to run now. Items past their deadline are kept for TakeExpired.
func (q *Queue) Dequeue(now time.Time) (Item, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	class, ok := q.nextUnexpired(now)
	if !ok {
		q.rateMeter.reset()
		return Item{}, false
	}
	e := q.classQueues[class].pop()
	q.removeEntry(e)
	q.updateDraftCredit(class, e.Cost)
	q.rateMeter.recordServed(now, e.Cost, len(q.byID) > 0)
	return e.Item, true
}

// nextClass returns the class to serve: interactive, unless the drafts' credit covers the next draft.
func (q *Queue) nextClass() (Class, bool) {
	interactive, drafts := q.classQueues[Interactive].count, q.classQueues[Draft].count
	if drafts == 0 {
		return Interactive, interactive > 0
	}
	if interactive == 0 {
		return Draft, true
	}
	if q.draftCredit >= q.classQueues[Draft].peek().Cost*(1-q.settings.DraftShare) {
		return Draft, true
	}
	return Interactive, true
}

// updateDraftCredit updates the drafts' credit after an item was served. Credit only accumulates while drafts
// wait: otherwise a burst of drafts after a time without drafts would delay interactive requests.
func (q *Queue) updateDraftCredit(served Class, cost float64) {
	if q.classQueues[Draft].count == 0 {
		q.draftCredit = 0
		return
	}
	if served == Interactive {
		q.draftCredit += cost * q.settings.DraftShare
		return
	}
	if q.classQueues[Interactive].count > 0 {
		q.draftCredit = math.Max(0, q.draftCredit-cost*(1-q.settings.DraftShare))
	}
}

// Remove removes a cancelled item from the queue and reports whether it was still waiting.
func (q *Queue) Remove(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.byID[id]
	if e == nil {
		return false
	}
	q.classQueues[e.Class].remove(e)
	q.removeEntry(e)
	q.resetIdleRate()
	return true
}

// resetIdleRate ends the measurement of the service rate if nothing waits: the time until the next item is not part of it.
func (q *Queue) resetIdleRate() {
	if len(q.byID) == 0 {
		q.rateMeter.reset()
	}
}

func (q *Queue) removeEntry(e *entry) {
	delete(q.byID, e.ID)
	q.decrementWaiting(e.Workspace)
}

func (q *Queue) decrementWaiting(workspace string) {
	q.waiting[workspace]--
	if q.waiting[workspace] <= 0 {
		delete(q.waiting, workspace)
	}
}

// TakeExpired returns the items whose deadline has passed, which must receive their final response, and removes idle
// workspaces whose service does not exceed their share.
func (q *Queue) TakeExpired(now time.Time) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expireItems(now)
	q.resetIdleRate()
	for i := range q.classQueues {
		q.classQueues[i].removeIdleFlows()
	}
	late := q.expired
	q.expired = nil
	for i := range late {
		q.decrementWaiting(late[i].Workspace)
	}
	return late
}

// expireItems moves items past their deadline to the expired list. The items of a workspace are ordered by
// deadline, so only the first ones are checked.
func (q *Queue) expireItems(now time.Time) {
	for i := range q.classQueues {
		l := &q.classQueues[i]
		for _, f := range l.flows {
			for len(f.items) > 0 && now.After(f.items[0].Deadline) {
				q.moveToExpired(f.items[0])
			}
		}
	}
}

func (q *Queue) moveToExpired(e *entry) {
	q.classQueues[e.Class].remove(e)
	delete(q.byID, e.ID)
	q.expired = append(q.expired, e.Item)
}

// entry is an item in the heap of its workspace.
type entry struct {
	Item
	flow  *flow
	index int
}

// flow holds the items of one workspace in one class, ordered by deadline.
type flow struct {
	workspace string
	weight    float64
	// virtualStart is the virtual time at which the workspace is served next.
	virtualStart float64
	// waitOrder orders workspaces by the time at which they began to wait. It decides between equal virtual
	// starts. If names decided, a sequence of new workspaces could be served before one that already waits.
	waitOrder uint64
	cost      float64
	items     deadlineHeap
	index     int // In classQueue.active, or -1.
}

// classQueue is the weighted fair queue of one class.
type classQueue struct {
	flows  map[string]*flow
	active flowHeap
	// virtualTime is the virtual time of the last served item.
	virtualTime   float64
	lastWaitOrder uint64
	count         int
	cost          float64
	weight        float64
}

func (l *classQueue) push(e *entry) {
	f := l.flows[e.Workspace]
	if f == nil {
		f = &flow{workspace: e.Workspace, index: -1}
		l.flows[e.Workspace] = f
	}
	e.flow = f
	if f.index < 0 {
		// A workspace earns no credit while it is idle, but service above its share still counts.
		f.virtualStart = math.Max(f.virtualStart, l.virtualTime)
		f.weight = e.Weight
		l.lastWaitOrder++
		f.waitOrder = l.lastWaitOrder
		l.weight += f.weight
		heap.Push(&l.active, f)
	}
	heap.Push(&f.items, e)
	f.cost += e.Cost
	l.cost += e.Cost
	l.count++
}

func (l *classQueue) peek() *entry { return l.active[0].items[0] }

func (l *classQueue) pop() *entry {
	f := l.active[0]
	e := f.items[0]
	l.virtualTime = math.Max(l.virtualTime, f.virtualStart)
	f.virtualStart += e.Cost / f.weight
	l.lastWaitOrder++
	f.waitOrder = l.lastWaitOrder
	heap.Fix(&l.active, 0)
	l.remove(e)
	return e
}

func (l *classQueue) remove(e *entry) {
	f := e.flow
	heap.Remove(&f.items, e.index)
	f.cost -= e.Cost
	l.cost -= e.Cost
	l.count--
	if len(f.items) == 0 {
		f.cost = 0
		l.weight -= f.weight
		heap.Remove(&l.active, f.index)
	}
	if l.count == 0 {
		l.cost, l.weight = 0, 0
	}
}

// removeIdleFlows removes idle flows whose service does not exceed their share. With no items waiting, all
// flows are removed.
func (l *classQueue) removeIdleFlows() {
	for name, f := range l.flows {
		if f.index < 0 && (l.count == 0 || f.virtualStart <= l.virtualTime) {
			delete(l.flows, name)
		}
	}
}

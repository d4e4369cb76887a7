package once

import (
	"container/heap"
	"crypto/sha256"
	"time"
)

// Key identifies a call. The same caller key in another workspace or route identifies another call.
type Key struct {
	Workspace string
	Route     string
	// Key is the caller's Idempotency-Key: a ticket or an opaque key.
	Key string
}

// Digest is the SHA-256 of a request body.
type Digest = [sha256.Size]byte

// Answer is the recorded response of a call.
type Answer struct {
	Status int32
	Header map[string]string
	Body   []byte
}

// bytes returns the size that counts towards Limits.AnswerBytes and Limits.TotalBytes.
func (a Answer) bytes() int {
	n := len(a.Body)
	for name, value := range a.Header {
		n += len(name) + len(value)
	}
	return n
}

// State is the state of a record. The numeric values are part of the protocol between VMs.
type State uint8

// States of a record.
const (
	// Claimed: the key is claimed and no byte of the call has been sent.
	Claimed State = iota + 1
	// Sent: bytes of the call may have been sent and the outcome is not known yet.
	Sent
	// Answered: the call ran and its answer is stored.
	Answered
	// AnswerDropped: the call ran, but its answer was not stored because it would exceed a limit.
	AnswerDropped
	// OutcomeUnknown: bytes may have been sent, and the outcome will never be known.
	OutcomeUnknown
	// Released: no byte was sent, and none will be sent for this record. The key can be used again.
	Released

	// stateRoster and stateMoved mark handover entries that are not calls: a roster, and a workspace that
	// moved into the region.
	stateRoster State = 100
	stateMoved  State = 101
)

// Record tracks the call of one key. All fields except Deadline are guarded by the table's mutex.
type Record struct {
	// Deadline may be set between Begin and MarkSending if the outcome of Begin was Run. Zero means no deadline.
	Deadline time.Time

	key         Key
	body        Digest
	state       State
	answer      Answer
	done        chan struct{}
	firstUsedAt time.Time
	expires     time.Time
	// heapIndex is the index in the expiry heap.
	heapIndex int
	// opaque is true if the key is not a ticket.
	opaque bool
}

// Done returns a channel that is closed when the record reaches its final state, which Result then returns.
func (r *Record) Done() <-chan struct{} { return r.done }

// expiryHeap is a heap of records with the earliest expiry first.
type expiryHeap []*Record

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].expires.Before(e[j].expires) }

func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex = i
	e[j].heapIndex = j
}

// Push implements heap.Interface.
func (e *expiryHeap) Push(x any) {
	r := x.(*Record)
	r.heapIndex = len(*e)
	*e = append(*e, r)
}

// Pop implements heap.Interface.
func (e *expiryHeap) Pop() any {
	old := *e
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return r
}

var _ heap.Interface = (*expiryHeap)(nil)

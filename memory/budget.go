// Package memory bounds the memory that a VM holds for requests. Each body and each buffered answer has a limit of its own;
// a budget bounds their sum, which grows with the open requests.
package memory

import (
	"errors"
	"sync"
)

var (
	// ErrFull means that the budget is used up.
	ErrFull = errors.New("memory for requests is full")
	// ErrShareFull means that the holder has used its share of the budget.
	ErrShareFull = errors.New("share of the memory for requests is full")
)

// IsFull reports whether an error means that no more bytes may be held.
func IsFull(err error) bool { return errors.Is(err, ErrFull) || errors.Is(err, ErrShareFull) }

// Budget bounds the bytes that are held at the same time, in all and by one holder, such as an upstream. It is safe for
// concurrent use. A reservation never waits: what cannot be held is refused or passed on.
type Budget struct {
	mu    sync.Mutex
	limit int64
	// holderShare is the maximum share of the limit for one holder.
	holderShare float64
	// used is the sum of held, which has no entries of zero.
	used int64
	held map[string]int64
}

// NewBudget returns a budget of limit bytes, of which one holder gets at most holderShare.
func NewBudget(limit int64, holderShare float64) *Budget {
	return &Budget{limit: limit, holderShare: holderShare, held: map[string]int64{}}
}

// SetLimit changes the limit. What is reserved above a lower limit stays reserved.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// reserve reserves n bytes for a holder, or fails with ErrFull or ErrShareFull.
func (b *Budget) reserve(holder string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.limit {
		return ErrFull
	}
	// What exceeds the share alone could never be held.
	if b.held[holder] > 0 && b.held[holder]+n > int64(b.holderShare*float64(b.limit)) {
		return ErrShareFull
	}
	b.used += n
	b.held[holder] += n
	return nil
}

// release gives back n reserved bytes.
func (b *Budget) release(holder string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.held[holder] -= n; b.held[holder] == 0 {
		delete(b.held, holder)
	}
}

// shortShare is the share of the budget, or of what one holder may use, from which on it is short.
const shortShare = 0.75

// IsShort reports whether little is left in all, or for a holder, so that what holds memory without need should give it back.
func (b *Budget) IsShort(holder string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	short := shortShare * float64(b.limit)
	return float64(b.used) > short || float64(b.held[holder]) > short*b.holderShare
}

// Usage is the use of a budget, in bytes.
type Usage struct {
	Limit, Used int64
	// Largest is the holder with the most bytes, and LargestUsed what it holds.
	Largest     string
	LargestUsed int64
}

// Usage returns the present use.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := Usage{Limit: b.limit, Used: b.used}
	for holder, n := range b.held {
		if n > u.LargestUsed || n == u.LargestUsed && holder < u.Largest {
			u.Largest, u.LargestUsed = holder, n
		}
	}
	return u
}

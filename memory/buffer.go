package memory

import (
	"errors"
	"io"
	"math"
	"slices"
)

const (
	// UncountedBytes is the capacity up to which a buffer reserves nothing. It is part of the fixed memory of an open request, so
	// that small bodies and events need no lock, and go on when the budget is full.
	UncountedBytes = 4 << 10
	// minCapacity is the smallest capacity of a buffer that holds anything, in bytes.
	minCapacity = 512
	// maxDoubledBytes is the capacity up to which a growing buffer doubles; a larger one grows by half.
	maxDoubledBytes = 64 << 10
)

// ErrTooLong means that more bytes arrived than a buffer may hold.
var ErrTooLong = errors.New("too long to be buffered")

// Buffer holds bytes for one holder of a budget and reserves its capacity as it grows. It is not safe for concurrent use, and must
// be released.
type Buffer struct {
	budget   *Budget
	holder   string
	bytes    []byte
	reserved int64
}

// Buffer returns an empty buffer of a holder.
func (b *Budget) Buffer(holder string) *Buffer { return &Buffer{budget: b, holder: holder} }

// Bytes returns the bytes, which are valid until the buffer changes.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Len returns the number of bytes.
func (b *Buffer) Len() int { return len(b.bytes) }

// Reserve makes room for n bytes in all.
func (b *Buffer) Reserve(n int64) error {
	if n <= int64(cap(b.bytes)) {
		return nil
	}
	if n > UncountedBytes {
		if err := b.budget.reserve(b.holder, n-b.reserved); err != nil {
			return err
		}
		b.reserved = n
	}
	larger := make([]byte, len(b.bytes), n)
	copy(larger, b.bytes)
	b.bytes = larger
	return nil
}

// grow makes room for n bytes in all, and for more up to most bytes, since the buffer may go on growing.
func (b *Buffer) grow(n, most int) error {
	if n <= cap(b.bytes) {
		return nil
	}
	next := 2 * cap(b.bytes)
	if next > maxDoubledBytes {
		next = cap(b.bytes) + cap(b.bytes)/2
	}
	return b.Reserve(int64(max(n, min(max(next, minCapacity), most))))
}

// Append appends data, or nothing if it fails because the budget is full.
func (b *Buffer) Append(data []byte) error {
	if err := b.grow(len(b.bytes)+len(data), math.MaxInt); err != nil {
		return err
	}
	b.bytes = append(b.bytes, data...)
	return nil
}

// ReadAll appends what r has, at most up to limit bytes in all. It returns nil at the end of r. The buffer keeps what was read if
// it fails: with ErrTooLong if there is more, with ErrFull or ErrShareFull, or with the error of r.
func (b *Buffer) ReadAll(r io.Reader, limit int) error {
	for len(b.bytes) <= limit {
		if err := b.grow(len(b.bytes)+1, limit+1); err != nil {
			return err
		}
		n, err := r.Read(b.bytes[len(b.bytes):min(cap(b.bytes), limit+1)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if errors.Is(err, io.EOF) && len(b.bytes) <= limit {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
	return ErrTooLong
}

// Consume removes the first n bytes. A large buffer with few bytes left gives its memory back.
func (b *Buffer) Consume(n int) {
	rest := b.bytes[n:]
	if b.reserved == 0 || len(rest) > UncountedBytes {
		b.bytes = append(b.bytes[:0], rest...)
		return
	}
	rest = slices.Clone(rest)
	b.Release()
	b.bytes = rest
}

// Release removes all bytes and gives their memory back. The buffer can be used again.
func (b *Buffer) Release() {
	if b.reserved > 0 {
		b.budget.release(b.holder, b.reserved)
	}
	b.bytes, b.reserved = nil, 0
}

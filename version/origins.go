package version

import (
	"slices"
	"sync"
	"time"
)

// Origins keeps the services and versions at which streams began, by a key of the content of their requests. Equal requests share a row. It
// is safe for concurrent use.
type Origins struct {
	// Lifetime is the time for which a row is kept at least after the last stream of it began, unless there are more than maxOrigins.
	Lifetime time.Duration

	mu sync.Mutex
	// recent holds the rows of streams that began since rotatedAt, and older those of the Lifetime before.
	recent, older map[string][]datedStream
	rotatedAt     time.Time
	// droppedUntil is the time up to which rows may be missing, zero if none was dropped.
	droppedUntil time.Time
}

const (
	// maxOrigins bounds the rows of one lifetime.
	maxOrigins = 20_000
	// maxStreamsPerOrigin bounds the services and versions of one row to the latest: more than one say as little as two.
	maxStreamsPerOrigin = 2
)

// KeyedStream is a service and version at which streams began, with the key of the content of their requests.
type KeyedStream struct {
	Key string
	Stream
	// At is the time at which the last of these streams began. The zero time means that it is not known.
	At time.Time
}

// datedStream is a service and version of a row with the time at which the last stream there began.
type datedStream struct {
	Stream
	at time.Time
}

// NewOrigins returns an empty table.
func NewOrigins(now time.Time, lifetime time.Duration) *Origins {
	return &Origins{Lifetime: lifetime, recent: map[string][]datedStream{}, older: map[string][]datedStream{}, rotatedAt: now}
}

// Add records the origin of a stream that begins now.
func (o *Origins) Add(now time.Time, key string, stream Stream) {
	o.Keep(now, KeyedStream{Key: key, Stream: stream, At: now})
}

// Keep records an origin that another VM hands over. Without a known time it counts as new, so that it is not dropped too early.
func (o *Origins) Keep(now time.Time, s KeyedStream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	if s.At.IsZero() {
		s.At = now
	}
	if expiry := o.expiry(now); s.At.Before(expiry) {
		o.recordDropped(expiry)
		return
	}
	rows := o.recent
	if s.At.Before(o.rotatedAt) && len(o.older) < maxOrigins {
		rows = o.older
	}
	rows[s.Key] = addLatest(rows[s.Key], datedStream{Stream: s.Stream, at: s.At})
}

// RecordDropped records that streams that began before a time may be missing.
func (o *Origins) RecordDropped(until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recordDropped(until)
}

// Find returns the services and versions at which streams with a key began, each once. complete is set if none that was added since a
// time is missing.
func (o *Origins) Find(now, since time.Time, key string) (streams []Stream, complete bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	for _, stream := range o.latest(key) {
		streams = append(streams, stream.Stream)
	}
	return streams, !o.droppedUntil.After(since)
}

// All returns the services and versions of all keys at which streams began within the Lifetime, each once. Streams that began before
// droppedUntil may be missing; it is zero if none is.
func (o *Origins) All(now time.Time) (all []KeyedStream, droppedUntil time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	expiry := o.expiry(now)
	droppedUntil = o.droppedUntil
	for key := range o.keys() {
		for _, stream := range o.latest(key) {
			if stream.at.Before(expiry) {
				droppedUntil = latestTime(droppedUntil, expiry)
				continue
			}
			all = append(all, KeyedStream{Key: key, Stream: stream.Stream, At: stream.at})
		}
	}
	return all, droppedUntil
}

// keys returns the keys of both generations.
func (o *Origins) keys() map[string]struct{} {
	keys := make(map[string]struct{}, len(o.recent)+len(o.older))
	for key := range o.recent {
		keys[key] = struct{}{}
	}
	for key := range o.older {
		keys[key] = struct{}{}
	}
	return keys
}

// latest returns the row of a key from both generations.
func (o *Origins) latest(key string) []datedStream {
	row := slices.Clone(o.recent[key])
	for _, stream := range o.older[key] {
		row = addLatest(row, stream)
	}
	return row
}

// addLatest adds a stream to a row, which keeps the latest services and versions, each once.
func addLatest(row []datedStream, s datedStream) []datedStream {
	i := slices.IndexFunc(row, func(other datedStream) bool { return other.Stream == s.Stream })
	if i < 0 {
		row = append(row, s)
	} else {
		row[i].at = latestTime(row[i].at, s.at)
	}
	slices.SortFunc(row, func(a, b datedStream) int { return b.at.Compare(a.at) })
	return row[:min(len(row), maxStreamsPerOrigin)]
}

// expiry returns the time before which the last stream of a row began if its lifetime has passed.
func (o *Origins) expiry(now time.Time) time.Time { return now.Add(-o.Lifetime) }

func (o *Origins) recordDropped(until time.Time) { o.droppedUntil = latestTime(o.droppedUntil, until) }

func latestTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rotate starts a new generation of rows if the recent one is old or full.
func (o *Origins) rotate(now time.Time) {
	if now.Sub(o.rotatedAt) < o.Lifetime && len(o.recent) < maxOrigins {
		return
	}
	if len(o.older) > 0 {
		o.recordDropped(o.rotatedAt)
	}
	o.older, o.recent = o.recent, map[string][]datedStream{}
	o.rotatedAt = now
}

// Package workload says what requests, responses and events of simulated callers and upstreams hold, and how long they take. All of it
// follows from the id of the request, so that each side can check what it gets.
package workload

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

const (
	// longBytes exceeds the buffers of 16 KiB between a VM and its peers.
	longBytes    = 20 << 10
	slowBodyTime = 6 * time.Second
	longWorkTime = 1500 * time.Millisecond
	// UsualEventPause is the pause between two writes of events of a stream whose shape names none.
	UsualEventPause = 15 * time.Millisecond
)

// Shape is the form of requests and of the answers to them.
type Shape struct {
	// Stream means that the answer is a stream of events.
	Stream bool
	// Events is the number of events of a stream. EventsPerWrite of them are written at once, with a pause of EventPause, which is
	// UsualEventPause if it is zero.
	Events, EventsPerWrite int
	EventPause             time.Duration
	// Work is the time that an upstream takes before it responds, and Padding the number of bytes that each body has beyond its id.
	Work    time.Duration
	Padding int
	// Of LongEvery requests one has a body that is long, and of as many events one has long data. Zero means none.
	LongEvery uint32
	// SlowEvery is the same for requests whose body is sent slowly, for slowBodyTime at most.
	SlowEvery uint32
	// WorkEvery is the same for requests that take up to longWorkTime at their upstream.
	WorkEvery uint32
}

// PauseBetweenEvents returns the pause between two writes of events.
func (s *Shape) PauseBetweenEvents() time.Duration { return cmp.Or(s.EventPause, UsualEventPause) }

// IsOneOf reports whether a request is one of those that have a property, of which there is one in n.
func IsOneOf(id, property string, n uint32) bool {
	if n == 0 {
		return false
	}
	return HashOf(id, property)%n == 0
}

// HashOf returns the hash from which a property of a request follows.
func HashOf(id, property string) uint32 {
	sum := sha256.Sum256([]byte(property + " " + id))
	return binary.BigEndian.Uint32(sum[:])
}

// RequestBody returns the body of the request with an id.
func (s *Shape) RequestBody(id string) string {
	body := RequestBody(id) + strings.Repeat(".", s.Padding)
	if IsOneOf(id, "long", s.LongEvery) {
		body += strings.Repeat(".", longBytes)
	}
	return body
}

// EventData returns the data of an event of the stream that the request with an id gets.
func (s *Shape) EventData(id string, n int) string {
	data := ResponseBody(id)
	if IsOneOf(fmt.Sprint(n), "event", s.LongEvery) {
		data += strings.Repeat(".", longBytes)
	}
	return data
}

// BodyTime returns how long the body of a request is sent.
func (s *Shape) BodyTime(id string) time.Duration {
	if !IsOneOf(id, "slow", s.SlowEvery) {
		return 0
	}
	return slowBodyTime * time.Duration(1+HashOf(id, "time")%8) / 8
}

// WorkTime returns how long an upstream works on a request before it responds.
func (s *Shape) WorkTime(id string) time.Duration {
	if !IsOneOf(id, "work", s.WorkEvery) {
		return s.Work
	}
	return s.Work + longWorkTime*time.Duration(1+HashOf(id, "time")%8)/8
}

// RequestBody returns the body of the request with an id, without the padding of its shape.
func RequestBody(id string) string { return "request " + id }

// ResponseBody returns the body of the response to the request with an id.
func ResponseBody(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:8])
}

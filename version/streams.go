package version

import (
	"slices"
	"sync"
	"time"
)

// Uncertain is the version of a stream whose upstream may have started again with another version than its registration says. No upstream
// has it.
const Uncertain = "\x00"

// Stream is the version at which a stream of a service began.
type Stream struct {
	Service string
	Version string
}

// StartedStream is a stream that began at this VM.
type StartedStream struct {
	// ID is the id of the attempt that brought the first event.
	ID string
	Stream
	At time.Time
}

// ReportedStream is a stream that began at this VM, and of which others were notified.
type ReportedStream struct {
	StartedStream
	// ReportedAt is the time of the latest notification.
	ReportedAt time.Time
}

// Streams keeps the streams that have begun, by the id of the attempt that brought their first event. It is safe for concurrent use.
type Streams struct {
	// Lifetime is the time for which a stream is kept at least.
	Lifetime time.Duration

	mu sync.Mutex
	// recent holds the streams that were added since rotatedAt, and older those of the Lifetime before.
	recent, older map[string]Stream
	// forwarded and olderForwarded are the same for attempts that another VM forwarded.
	forwarded, olderForwarded map[string]Stream
	rotatedAt                 time.Time
	// unreported and reported hold the streams that began at this VM, by service in the order of their start. Other VMs have been notified
	// of those in reported.
	unreported map[string][]StartedStream
	reported   map[string][]ReportedStream
	// kept holds the streams that other VMs have reported, by service.
	kept map[string]*keptStreams
}

// Process is the process of a VM: its slot and the number that differs between the processes of a slot.
type Process struct {
	Slot        string
	Incarnation uint64
}

// maxStreams bounds the streams of one lifetime, and those of a service that began at this VM, and so the memory for them.
const maxStreams = 100_000

// NewStreams returns an empty table.
func NewStreams(now time.Time, lifetime time.Duration) *Streams {
	return &Streams{
		Lifetime: lifetime, recent: map[string]Stream{}, older: map[string]Stream{}, rotatedAt: now,
		forwarded: map[string]Stream{}, olderForwarded: map[string]Stream{},
		unreported: map[string][]StartedStream{}, reported: map[string][]ReportedStream{}, kept: map[string]*keptStreams{},
	}
}

// Add records a stream.
func (s *Streams) Add(now time.Time, id string, stream Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.recent[id] = stream
}

// Keep records a stream that another VM has reported.
func (s *Streams) Keep(now time.Time, k KeptStream) {
	s.Add(now, k.ID, k.Stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.kept[k.Service]
	if kept == nil {
		kept = &keptStreams{}
		s.kept[k.Service] = kept
	}
	kept.add(k)
}

// Orphans returns the streams of a service that began since a time and that were reported by VMs that no longer run.
func (s *Streams) Orphans(service string, since time.Time, runs func(Process) bool) []KeptStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.kept[service]
	if kept == nil {
		return nil
	}
	running := map[Process]bool{}
	var orphans []KeptStream
	for _, k := range kept.list {
		if _, known := running[k.From]; !known {
			running[k.From] = runs(k.From)
		}
		if !running[k.From] && !k.At.Before(since) {
			orphans = append(orphans, k)
		}
	}
	return orphans
}

// AddForwarded records a stream of an attempt that another VM forwarded. Only that VM knows whether it is the stream that the caller has.
func (s *Streams) AddForwarded(now time.Time, id string, stream Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.forwarded[id] = stream
}

// Begin records a stream that began at this VM.
func (s *Streams) Begin(now time.Time, id string, stream Stream) {
	s.Add(now, id, stream)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreported[stream.Service] = appendLatest(s.unreported[stream.Service], StartedStream{ID: id, Stream: stream, At: now})
}

// TakeUnreported returns the streams of a service that began at this VM since a time and of which other VMs are notified now, each once.
func (s *Streams) TakeUnreported(now time.Time, service string, since time.Time) []StartedStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := slices.DeleteFunc(s.unreported[service], func(b StartedStream) bool { return b.At.Before(since) })
	delete(s.unreported, service)
	for _, began := range taken {
		s.reported[service] = appendLatest(s.reported[service], ReportedStream{StartedStream: began, ReportedAt: now})
	}
	return taken
}

// TakeReported returns the streams of a service that began at this VM since a time and of which TakeUnreported has returned before. The VMs that
// have started since their reports are notified of them now.
func (s *Streams) TakeReported(now time.Time, service string, since time.Time) []ReportedStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reported[service] = slices.DeleteFunc(s.reported[service], func(b ReportedStream) bool { return b.At.Before(since) })
	taken := slices.Clone(s.reported[service])
	for i := range s.reported[service] {
		s.reported[service][i].ReportedAt = now
	}
	return taken
}

// appendLatest appends streams to a list, and drops the first ones if there are more than maxStreams.
func appendLatest[T any](list []T, added ...T) []T {
	list = append(list, added...)
	return list[max(0, len(list)-maxStreams):]
}

// Find returns a stream.
func (s *Streams) Find(now time.Time, id string) (Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if found, ok := s.recent[id]; ok {
		return found, true
	}
	found, ok := s.older[id]
	return found, ok
}

// FindForwarded returns a stream of an attempt that another VM forwarded.
func (s *Streams) FindForwarded(now time.Time, id string) (Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if found, ok := s.forwarded[id]; ok {
		return found, true
	}
	found, ok := s.olderForwarded[id]
	return found, ok
}

// rotate starts a new generation of streams if the recent one is old or full.
func (s *Streams) rotate(now time.Time) {
	if now.Sub(s.rotatedAt) < s.Lifetime && max(len(s.recent), len(s.forwarded)) < maxStreams {
		return
	}
	s.older, s.recent = s.recent, map[string]Stream{}
	s.olderForwarded, s.forwarded = s.forwarded, map[string]Stream{}
	if now.Sub(s.rotatedAt) >= 2*s.Lifetime {
		s.older, s.olderForwarded = map[string]Stream{}, map[string]Stream{}
	}
	for service, list := range s.unreported {
		s.unreported[service] = slices.DeleteFunc(list, func(b StartedStream) bool { return b.At.Before(s.rotatedAt) })
	}
	for service, list := range s.reported {
		s.reported[service] = slices.DeleteFunc(list, func(b ReportedStream) bool { return b.At.Before(s.rotatedAt) })
	}
	for _, kept := range s.kept {
		kept.removeBefore(s.rotatedAt)
	}
	s.rotatedAt = now
}

package once

import (
	"sync"
	"time"

	"parsleyhatch/vmwire"
)

// HandoverStore stores the handovers of stopped VMs until their successors fetch them. It is safe for concurrent
// use.
type HandoverStore struct {
	limits StoreLimits

	mu        sync.Mutex
	handovers map[string]*storedHandover
	bytes     int
	// newest maps slots to their newest known incarnation.
	newest map[string]uint64
}

// StoreLimits bound a HandoverStore.
type StoreLimits struct {
	// Retention is the time from the arrival of the first frame until the handover is removed. It must not
	// exceed the horizon, because after that a successor may have run calls without the handover.
	Retention time.Duration
	// Bytes is the maximum encoded size of all stored frames, in bytes.
	Bytes int
	// Slots is the maximum number of handovers.
	Slots int
}

// DefaultStoreLimits returns the limits used in production.
func DefaultStoreLimits() StoreLimits {
	return StoreLimits{Retention: 5 * time.Minute, Bytes: 64 << 20, Slots: 64}
}

// storedHandover is one handover. Its frames are accepted only in order and without gaps.
type storedHandover struct {
	incarnation uint64
	// successor is the first incarnation observed after this one, or zero if none has been observed.
	successor uint64
	storedAt  time.Time
	frames    []vmwire.Handover
	bytes     int
}

// NewHandoverStore returns an empty store.
func NewHandoverStore(limits StoreLimits) *HandoverStore {
	return &HandoverStore{limits: limits, handovers: map[string]*storedHandover{}, newest: map[string]uint64{}}
}

// ObserveIncarnation records the newest known incarnation of a slot of the region. A handover may only go to the
// incarnation that directly follows its sender: a later one would not know the calls that ran in between.
func (s *HandoverStore) ObserveIncarnation(slot string, incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest[slot] = incarnation
	s.assignSuccessor(slot, incarnation)
}

// assignSuccessor makes the incarnation the successor of the slot's handover, or removes the handover if it
// already has another successor.
func (s *HandoverStore) assignSuccessor(slot string, incarnation uint64) {
	h := s.handovers[slot]
	if h == nil || h.incarnation == incarnation {
		return
	}
	if h.successor == 0 {
		h.successor = incarnation
	}
	if h.successor != incarnation {
		s.remove(slot)
	}
}

// RemoveSlot removes the handover and the newest incarnation of a slot that is no longer in the roster.
func (s *HandoverStore) RemoveSlot(slot string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.newest, slot)
	s.remove(slot)
}

// Put stores one frame. It returns false if the frame is rejected because a newer incarnation is known, an
// earlier frame is missing, or a limit would be exceeded. If a frame is missing or the size limit would be
// exceeded, the frames stored before are removed as well.
func (s *HandoverStore) Put(now time.Time, f vmwire.Handover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest, ok := s.newest[f.Slot]; ok && newest != f.Incarnation {
		return false
	}
	if f.Index == 0 {
		s.remove(f.Slot)
		if len(s.handovers) >= s.limits.Slots {
			return false
		}
		s.handovers[f.Slot] = &storedHandover{incarnation: f.Incarnation, storedAt: now}
	}
	h := s.handovers[f.Slot]
	if h == nil || h.incarnation != f.Incarnation {
		return false
	}
	size := f.Msgsize()
	if int(f.Index) != len(h.frames) || s.bytes+size > s.limits.Bytes {
		s.remove(f.Slot)
		return false
	}
	h.frames = append(h.frames, f)
	h.bytes += size
	s.bytes += size
	return true
}

// Take removes the complete handover of a slot and returns it to the slot's next incarnation, or returns nil. The
// handover is removed before the response is sent: if the response is lost, the successor has to wait until the
// horizon has passed, but no call runs twice.
func (s *HandoverStore) Take(now time.Time, slot string, incarnation uint64) []vmwire.Handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	if newest, ok := s.newest[slot]; ok && newest != incarnation {
		// The newest known incarnation may be the sender of the handover if the successor has not been
		// observed before.
		if h := s.handovers[slot]; h == nil || h.incarnation != newest {
			return nil
		}
	}
	s.assignSuccessor(slot, incarnation)
	h := s.handovers[slot]
	if h == nil || h.successor != incarnation {
		return nil
	}
	frames := h.frames
	s.remove(slot)
	s.newest[slot] = incarnation
	if now.Sub(h.storedAt) >= s.limits.Retention || !complete(frames) {
		return nil
	}
	return frames
}

// Tick removes handovers that are older than StoreLimits.Retention.
func (s *HandoverStore) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for slot, h := range s.handovers {
		if now.Sub(h.storedAt) >= s.limits.Retention {
			s.remove(slot)
		}
	}
}

func (s *HandoverStore) remove(slot string) {
	if h := s.handovers[slot]; h != nil {
		s.bytes -= h.bytes
		delete(s.handovers, slot)
	}
}

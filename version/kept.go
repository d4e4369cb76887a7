package version

import (
	"slices"
	"time"
)

// KeptStream is a stream that another VM has reported.
type KeptStream struct {
	StartedStream
	// From is the VM that has reported it.
	From Process
	// KeptAt is the time of the report.
	KeptAt time.Time
	// FewCopies means that few VMs of this region keep the stream: it began in another region, or was handed over.
	FewCopies bool
}

// keptStreams holds the streams of a service that other VMs have reported, each once, in the order of their first report.
type keptStreams struct {
	list []KeptStream
	// positions holds the position of each stream in list, plus dropped, the number of streams that were dropped from the beginning of it.
	positions map[string]int
	dropped   int
}

// add keeps a stream. Only a report by the VM that began it replaces an earlier one: one that hands it over still runs, so that the stream
// would not be handed over for a while.
func (s *keptStreams) add(k KeptStream) {
	if s.positions == nil {
		s.positions = map[string]int{}
	}
	if at, known := s.positions[k.ID]; known {
		if !k.FewCopies {
			s.list[at-s.dropped] = k
		}
		return
	}
	s.positions[k.ID] = s.dropped + len(s.list)
	s.list = append(s.list, k)
	if len(s.list) > maxStreams {
		delete(s.positions, s.list[0].ID)
		s.list = s.list[1:]
		s.dropped++
	}
}

// removeBefore removes the streams that began before a time.
func (s *keptStreams) removeBefore(at time.Time) {
	s.list = slices.DeleteFunc(s.list, func(k KeptStream) bool { return k.At.Before(at) })
	clear(s.positions)
	s.dropped = 0
	for i, k := range s.list {
		s.positions[k.ID] = i
	}
}

package vm

import (
	"errors"
	"time"

	"parsleyhatch/vmwire"
)

const (
	// pingInterval is the period at which a session with open streams is checked.
	pingInterval = time.Second
	// silenceLimit is the silence after which a session with open streams has ended. A cut link
	// or a frozen VM would otherwise hold its streams until TCP gives up, minutes later.
	silenceLimit = 4 * time.Second
)

var errSilent = errors.New("no frame from the other vm for too long")

// runKeepalive pings the other VM while streams are open, and ends the session when it is silent.
func (s *Session) runKeepalive() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	var busySince time.Time
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			if s.openStreams() == 0 {
				busySince = time.Time{}
				continue
			}
			if busySince.IsZero() {
				busySince = now
			}
			heard := time.Unix(0, s.heardAt.Load())
			if heard.Before(busySince) {
				heard = busySince
			}
			if now.Sub(heard) > silenceLimit {
				s.Close(errSilent)
				return
			}
			s.tryQueue(&vmwire.Frame{Kind: vmwire.KindPing})
		}
	}
}

func (s *Session) openStreams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// tryQueue queues a frame if there is room.
func (s *Session) tryQueue(f *vmwire.Frame) {
	buf, err := encodeFrame(f)
	if err != nil {
		return
	}
	select {
	case s.out <- buf:
	default:
	}
}

package vm

import (
	"errors"
	"time"

	"parsleyhatch/vmwire"
)

const (
	// pingInterval is the period at which a session is checked.
	pingInterval = time.Second
	// silenceLimit is the silence after which a session with open streams has ended. A cut link
	// or a frozen VM would otherwise hold its streams until TCP gives up, minutes later.
	silenceLimit = 4 * time.Second
	// idlePings is the number of checks of which one sends a ping while no stream is open, and
	// idleSilenceLimit the silence then. In a region of 27 VMs each VM has 26 sessions, most of
	// them idle: a ping a second on each took more bytes than all heartbeats.
	idlePings        = 3
	idleSilenceLimit = 10 * time.Second
)

var errSilent = errors.New("no frame from the other vm for too long")

// keepalive is the state of one side's checks.
type keepalive struct {
	// since is the start of the session, or of the latest time with open streams.
	since time.Time
	busy  bool
	sent  int64
	idle  int
	// pinged says that the bytes sent since the last check are those of a ping.
	pinged bool
}

// runKeepalive pings the other VM when nothing else was sent, and ends the session when it is silent.
// Both sides do so: when one direction is cut, only the side that hears nothing can tell, and the
// streams of the other side would wait for ever.
func (s *Session) runKeepalive() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	k := &keepalive{since: time.Now()}
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			if !s.checkAlive(now, k) {
				s.Close(errSilent)
				return
			}
		}
	}
}

// checkAlive sends a ping if one is due, and returns false if the other VM was silent for too long.
func (s *Session) checkAlive(now time.Time, k *keepalive) bool {
	busy := s.OpenStreams() > 0
	if busy && !k.busy {
		k.since = now
	}
	k.busy = busy
	heard := time.Unix(0, s.heardAt.Load())
	if heard.Before(k.since) {
		heard = k.since
	}
	limit, pings := idleSilenceLimit, idlePings
	if busy {
		limit, pings = silenceLimit, 1
	}
	if now.Sub(heard) > limit {
		return false
	}
	k.idle++
	if s.sent.Load() != k.sent && !k.pinged {
		k.idle = 0
	}
	k.pinged = false
	if k.idle >= pings {
		k.idle, k.pinged = 0, true
		s.tryQueue(&vmwire.Frame{Kind: vmwire.KindPing})
	}
	k.sent = s.sent.Load()
	return true
}

// OpenStreams returns the number of open streams of the session.
func (s *Session) OpenStreams() int {
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

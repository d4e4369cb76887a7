package vm

import (
	"errors"
	"time"

	"parsleyhatch/vmwire"
)

const (
	// pingInterval is the period at which a session is checked.
	pingInterval = time.Second
	// silenceLimit is the silence after which a session has ended. A cut link
	// or a frozen VM would otherwise hold its streams until TCP gives up, minutes later.
	silenceLimit = 4 * time.Second
)

var errSilent = errors.New("no frame from the other vm for too long")

// runKeepalive pings the other VM when nothing else was sent, and ends the session when it is silent.
// Both sides do so without regard to open streams: when one direction is cut, only the side that
// hears nothing can tell, and the streams of the other side would wait for ever.
func (s *Session) runKeepalive() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	opened, sent := time.Now(), int64(0)
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			heard := time.Unix(0, s.heardAt.Load())
			if heard.Before(opened) {
				heard = opened
			}
			if now.Sub(heard) > silenceLimit {
				s.Close(errSilent)
				return
			}
			if s.sent.Load() == sent {
				s.tryQueue(&vmwire.Frame{Kind: vmwire.KindPing})
			}
			sent = s.sent.Load()
		}
	}
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

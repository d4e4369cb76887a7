package vm

import (
	"sync/atomic"

	"parsleyhatch/vmwire"
)

// SentCounts counts the frames that an endpoint has queued for other VMs, by kind. It is safe for concurrent use.
type SentCounts struct {
	frames, bytes [vmwire.KindCount]atomic.Int64
}

// Sent returns the number of frames of a kind and their size in bytes.
func (c *SentCounts) Sent(kind int) (frames, bytes int64) {
	return c.frames[kind].Load(), c.bytes[kind].Load()
}

func (c *SentCounts) add(kind uint8, bytes int) {
	if int(kind) < vmwire.KindCount {
		c.frames[kind].Add(1)
		c.bytes[kind].Add(int64(bytes))
	}
}

// countSent counts a frame for VMs of the endpoint's region or of other regions.
func (e *Endpoint) countSent(s *Session, kind uint8, bytes int) {
	if s.Peer.Region == e.Self.Region {
		e.SentSameRegion.add(kind, bytes)
		return
	}
	e.SentOtherRegions.add(kind, bytes)
}

package fleet

import (
	"time"

	"parsleyhatch/vm"
)

// duplicateGrace is the time for which a duplicate session is kept at least. The VM that dials the session to use may open
// streams on the other one until its dial ends, and they must arrive first.
const duplicateGrace = 2 * dialTimeout

// sessionToUse returns the session to use of those with a VM, or nil if there is none. It is the one dialed by the VM with
// the lower name, so that both sides use the same one.
func (f *Fleet) sessionToUse(list []*vm.Session) *vm.Session {
	for _, s := range list {
		if f.isPreferred(s) {
			return s
		}
	}
	if len(list) > 0 {
		return list[0]
	}
	return nil
}

// isPreferred reports whether the VM with the lower name dialed the session.
func (f *Fleet) isPreferred(s *vm.Session) bool {
	return s.Dialed == (f.Endpoint.Self.Slot < s.Peer.Slot)
}

// closeDuplicates closes the duplicate sessions without open streams. The others carry no presences, so it sends pings that
// keep the other VM from closing them.
func (f *Fleet) closeDuplicates(now time.Time) {
	paused := f.PausedRecently(now)
	for _, d := range f.duplicates() {
		if !paused && time.Since(d.replacedAt) > duplicateGrace && d.OpenStreams() == 0 {
			d.Finish(errDuplicate, finishTimeout)
			continue
		}
		d.Ping()
	}
}

// duplicate is a session that one dialed by the other side has replaced.
type duplicate struct {
	*vm.Session
	replacedAt time.Time
}

// duplicates returns the duplicate sessions. Of two sessions dialed by the same side the later one is never used, and ends
// with the read timeout.
func (f *Fleet) duplicates() []duplicate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []duplicate
	for _, sessions := range f.sessions {
		used := f.sessionToUse(sessions)
		for _, s := range sessions {
			if s.Dialed != used.Dialed {
				list = append(list, duplicate{Session: s, replacedAt: used.StartedAt()})
			}
		}
	}
	return list
}

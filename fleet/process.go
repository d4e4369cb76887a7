package fleet

import (
	"time"

	"parsleyhatch/vm"
)

// processRetention is the time for which an ended process is kept. It exceeds the lifetime of streams.
const processRetention = 2 * time.Minute

// Process identifies a process of a VM.
type Process struct {
	Slot string
	// Incarnation is zero if this VM has never had a session with the process, and knows the VM from the lists of others.
	Incarnation uint64
	// HandedOver means that the process has sent this VM the origins of its streams, and starts none any more.
	HandedOver bool
}

// process is what this VM knows of a process of another VM.
type process struct {
	vm.Identity
	seenAt time.Time
	// endedAt is the time at which the process is known to have ended, since a later one of its VM has appeared, and handedOverAt that of
	// its handover. They are zero otherwise.
	endedAt, handedOverAt time.Time
}

// current reports whether the process may have started streams since a time.
func (p *process) current(since time.Time) bool {
	return !p.endedBefore(since) && !(!p.handedOverAt.IsZero() && p.handedOverAt.Before(since))
}

func (p *process) endedBefore(at time.Time) bool { return !p.endedAt.IsZero() && p.endedAt.Before(at) }

// recordProcess records a presence of a process. The caller holds mu.
func (f *Fleet) recordProcess(now time.Time, peer vm.Identity) {
	if p := f.processes[peer.Incarnation]; p != nil {
		p.seenAt = now
		return
	}
	f.processes[peer.Incarnation] = &process{Identity: peer, seenAt: now}
	for incarnation, p := range f.processes {
		if p.Slot == peer.Slot && p.StartedAt.Before(peer.StartedAt) && p.endedAt.IsZero() {
			p.endedAt = now
		}
		if p.endedBefore(now.Add(-processRetention)) || now.Sub(p.seenAt) > memberRetention {
			delete(f.processes, incarnation)
		}
	}
}

// RecordHandover records that a process has handed over the origins of its streams.
func (f *Fleet) RecordHandover(now time.Time, peer vm.Identity) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.processes[peer.Incarnation]; p != nil {
		p.handedOverAt = now
	}
}

// Processes returns the processes of other VMs that may have run since a time, as far as this VM knows: those that have ended or handed
// over before then are left out. One whose presences are overdue may only be cut off from this VM.
func (f *Fleet) Processes(since time.Time) []Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Process
	for incarnation, p := range f.processes {
		if p.current(since) {
			list = append(list, Process{Slot: p.Slot, Incarnation: incarnation, HandedOver: !p.handedOverAt.IsZero()})
		}
	}
	for _, c := range f.candidates {
		if c.slot != "" && c.slot != f.Endpoint.Self.Slot && f.members[c.slot] == nil && c.lastSeenAt.After(since) {
			list = append(list, Process{Slot: c.slot})
		}
	}
	return list
}

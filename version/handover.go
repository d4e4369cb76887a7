package version

import "time"

const (
	// handoverCopies is the number of VMs of a region that are to keep a stream of a VM that no longer runs. Each copy takes bandwidth of the VM
	// that stops, and several VMs may be stopped together.
	handoverCopies = 6
	// holderAge is the time for which a VM must have run when a stream was reported, for the report to have been sent to it: it was ready and
	// had a session with the VM that reported, and the report had arrived.
	holderAge = 5 * time.Second
)

// Holder is another VM that keeps streams of its region.
type Holder struct {
	Slot string
	// StartedAt is the start of its process, by the clock of this VM.
	StartedAt time.Time
	// MayBeNew means that it may not have been among the holders when a stream was reported, since others have ended.
	MayBeNew bool
}

// Receivers returns the VMs to which a VM that stops hands over a stream that it keeps for one that no longer runs, and the number of VMs of the
// region that keep the stream then. holders are those that stay, in the order in which they are asked for the stream. It bounds the traffic of
// VMs that are stopped in turn: each of them keeps the streams of all before it.
func (k *KeptStream) Receivers(holders []Holder) (receivers []string, copies int) {
	for _, v := range holders {
		if k.reportedTo(v) {
			copies++
		}
	}
	for _, v := range holders {
		if copies >= handoverCopies {
			break
		}
		if !k.reportedTo(v) {
			receivers = append(receivers, v.Slot)
			copies++
		}
	}
	return receivers, copies
}

// reportedTo reports whether the VM that began the stream has reported it to another VM of this region as well.
func (k *KeptStream) reportedTo(v Holder) bool {
	return !k.FewCopies && !v.MayBeNew && RanBefore(v.StartedAt, k.KeptAt)
}

// RanBefore reports whether a process that started at a time is known to have got what was sent to it at a later one.
func RanBefore(startedAt, sentAt time.Time) bool { return startedAt.Add(holderAge).Before(sentAt) }

package version

import "time"

const (
	// handoverCopies is the number of VMs that are to keep a stream of a VM that no longer runs: more may be lost at once, but each
	// copy is sent over the link of a VM that stops.
	handoverCopies = 4
	// keeperAge is the time for which a VM must have run when a stream was reported, for the VM that reported it to have known it.
	keeperAge = 3 * time.Second
)

// Keeper is another VM that may keep streams.
type Keeper struct {
	Slot string
	// StartedAt is the start of its process, by the clock of this VM.
	StartedAt time.Time
}

// Receivers returns the VMs to which a VM that stops hands over a stream that it keeps for one that no longer runs, and the number of VMs of the
// region that keep the stream then. keepers are those that stay and would keep the stream if it began now, in the order in which they are asked
// for it. It answers VMs that are stopped in turn: each of them keeps the streams of all before it, and reports to all VMs would fill its link.
func (k *KeptStream) Receivers(keepers []Keeper) (receivers []string, copies int) {
	for _, v := range keepers {
		if k.reportedTo(v) {
			copies++
		}
	}
	for _, v := range keepers {
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
func (k *KeptStream) reportedTo(v Keeper) bool {
	return !k.Scarce && v.StartedAt.Add(keeperAge).Before(k.KeptAt)
}

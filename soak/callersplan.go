package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// restartTime is the time for which a VM is down that starts while a software version changes.
	restartTime = 500 * time.Millisecond
	// companionTime is the time for which a VM is frozen, or has lost the others, while a software version changes, and companionLead
	// the time by which that begins earlier.
	companionTime = 1500 * time.Millisecond
	companionLead = 100 * time.Millisecond
)

// absentFault returns the kind of fault that a seed does without, empty if it has all. In one of four seeds the split of the route never
// changes, and in another one no software version does: callers need not name what they resume then.
func absentFault(seed uint64) faultKind {
	switch seed % 4 {
	case 1:
		return faultSplit
	case 2:
		return faultRollout
	}
	return ""
}

// ofCallers returns a planner of ProfileCallers. Each group of faults has its own one, so that each plan has some of each.
func ofCallers(stream uint64, meanInterval time.Duration, kinds ...faultKind) planner {
	return planner{stream, func(seed uint64, rng *rand.Rand, duration time.Duration) []fault {
		if slices.Contains(kinds, absentFault(seed)) {
			return nil
		}
		var faults []fault
		last := duration - faultFreeTime
		for _, f := range planKinds(rng, kinds, meanInterval, duration+maxFaultExtension) {
			if f.duration = min(f.duration, last-f.start); f.duration < minFault {
				continue
			}
			faults = append(faults, f)
			if f.kind != faultRollout {
				continue
			}
			if c := companionOf(rng, f); c.kind != "" && c.start+c.duration <= last {
				faults = append(faults, c)
			}
		}
		return faults
	}}
}

// companionOf returns a fault of a VM at the moment at which a software version joins or leaves: the VM starts, is frozen, or loses the
// others. For one of four rollouts there is none.
func companionOf(rng *rand.Rand, f fault) fault {
	at := f.start
	if rng.IntN(2) == 0 {
		at += f.duration // The old upstreams leave then.
	}
	c := fault{start: at - companionLead, duration: companionTime, target: rng.IntN(1 << 16)}
	switch rng.IntN(4) {
	case 0:
		c.kind, c.start, c.duration = faultKillVM, at-restartTime, restartTime
	case 1:
		c.kind = faultFreezeVM
	case 2:
		c.kind, c.variant = faultPeerLink, 1 // discards all
	}
	return c
}

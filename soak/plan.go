package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// faultKind names a fault.
type faultKind string

// Faults. Those of VMs and of their links have the index of a VM, those of upstreams that of an upstream.
const (
	killVM      faultKind = "kill vm"
	stopVM      faultKind = "stop vm"
	freezeVM    faultKind = "freeze vm"
	reloadVM    faultKind = "reload vm"
	storeDown   faultKind = "store down"
	storeLink   faultKind = "store link"
	breakLink   faultKind = "upstream link"
	crash       faultKind = "upstream crashes"
	misbehave   faultKind = "upstream misbehaves"
	leave       faultKind = "upstream leaves"
	withdrawKey faultKind = "key withdrawn"
)

var faultKinds = []faultKind{
	killVM, stopVM, freezeVM, reloadVM, storeDown, storeLink, breakLink, crash, misbehave, leave, withdrawKey,
}

// fault is one fault of a plan.
type fault struct {
	kind faultKind
	// at is the time from the start, and length that until the fault ends.
	at, length time.Duration
	// index chooses the VM or upstream, and variant how it fails.
	index, variant int
}

const (
	// faultGap is the mean time between two faults, and maxFault their longest length: faults overlap.
	faultGap = 900 * time.Millisecond
	maxFault = 3 * time.Second
	// quietAfter is the time at the end of a run without faults, in which service has to return.
	quietAfter = 9 * time.Second
)

// plan draws the faults of a seed.
func plan(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 17))
	var faults []fault
	for at := time.Second; ; {
		at += time.Duration(random.ExpFloat64() * float64(faultGap))
		f := fault{
			kind: faultKinds[random.IntN(len(faultKinds))], at: at,
			length: 200*time.Millisecond + time.Duration(random.Float64()*float64(maxFault)),
			index:  random.IntN(1 << 16), variant: random.IntN(1 << 16),
		}
		if f.at+f.length > length-quietAfter {
			break
		}
		faults = append(faults, f)
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].at < faults[j].at })
	return faults
}

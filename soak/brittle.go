package soak

import (
	"fmt"
	"slices"
	"time"

	"parsleyhatch/standin/faultlink"
)

const (
	// contactTime is the time within which VMs obey what upstreams say and recover from faults.
	contactTime = 5 * time.Second
	// overloadCrashTime is the time for which an upstream that crashed from overload is away.
	overloadCrashTime = 2 * time.Second
)

// makeBrittle makes all upstreams brittle. After contactTime, no requests may wait at them.
func (s *soak) makeBrittle(f fault) {
	upstreams := s.someUpstreams(0, 1)
	end := s.history.startBrittleTime(len(upstreams))
	defer end()
	for _, u := range upstreams {
		u.Room.SetBrittle([]int{1, 2, 4}[f.variant%3])
	}
	time.Sleep(min(contactTime, f.duration))
	for _, u := range upstreams {
		u.Room.LetNothingWait()
	}
	s.disturbFor(max(0, f.duration-contactTime), partUpstreams)
	for _, u := range upstreams {
		u.Room.SetBrittle(0)
	}
}

// runOverloadCrash takes an upstream that crashed from overload away for overloadCrashTime.
func (s *soak) runOverloadCrash(u *registeredUpstream, refused []string) {
	_, _ = fmt.Fprintf(s.log, "upstream %s crashes after refusals to %v\n", u.ID, refused)
	s.history.recordOverloadCrash(refused)
	u.links.Refuse(true)
	s.disturbFor(overloadCrashTime, partUpstreams)
	u.Room.Recover()
	if err := u.links.Each((*faultlink.Link).Accept); err != nil {
		_, _ = fmt.Fprintf(s.log, "upstream %s returns: %v\n", u.ID, err)
	}
}

// brittleTime is a time in which a number of upstreams say that they are brittle. end is zero while it lasts.
type brittleTime struct {
	upstreams  int
	start, end time.Time
	crashes    []overloadCrash
}

// overloadCrash is the time at which an upstream crashed from overload, and the VM of each request that it had refused.
type overloadCrash struct {
	at      time.Time
	refused []string
}

// startBrittleTime records the start of a brittle time. The returned function records its end.
func (h *history) startBrittleTime(upstreams int) (end func()) {
	b := &brittleTime{upstreams: upstreams}
	record(h, &h.brittleTimes, b)
	return h.startSpan(&b.start, &b.end)
}

// recordOverloadCrash records a crash in the latest brittle time.
func (h *history) recordOverloadCrash(refused []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.brittleTimes[len(h.brittleTimes)-1]
	b.crashes = append(b.crashes, overloadCrash{at: time.Now(), refused: refused})
}

// checkBrittle counts the crashes after refusals most of which went to VMs that were not disturbed.
func checkBrittle(h *history, b bounds, report reportFunc) {
	for _, t := range h.brittleTimes {
		crashes := 0
		for _, f := range t.crashes {
			if 2*h.refusedUndisturbed(f, b) > len(f.refused) {
				crashes++
			}
		}
		if allowed := b.brittleCrashes + int(b.brittleCrashShare*float64(t.upstreams)); crashes > allowed {
			report("many", "%d brittle upstreams crashed %d times, allowed %d", t.upstreams, crashes, allowed)
		}
	}
}

// refusedUndisturbed returns the number of refusals before a crash that went to VMs that were not disturbed.
func (h *history) refusedUndisturbed(f overloadCrash, b bounds) int {
	return len(slices.DeleteFunc(slices.Clone(f.refused), func(vm string) bool { return h.disturbedBetween(f.at.Add(-b.settle), f.at, vm) }))
}

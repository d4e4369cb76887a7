package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin/faultlink"
	"parsleyhatch/standin/faultyupstream"
	"parsleyhatch/standin/rawanswer"
)

const (
	// signalSetupTime is how long a process needs after its start until it handles signals.
	signalSetupTime = 100 * time.Millisecond
	// drainingTime is how long an upstream keeps running after it is registered as draining.
	drainingTime = 5 * time.Second
	// withdrawnKeyUseTime is how long callers keep using a withdrawn key. It exceeds the revocation bound, so that
	// requests with a key that no longer works are sent, too.
	withdrawnKeyUseTime = 7 * time.Second
	// limitedTime is how much longer than its fault an upstream announces a rate limit, so that windows of the bound pass.
	limitedTime = 6 * time.Second
	// restoreDownTime is how long the store is away while it is restored, rewriteTime how long until the operator and the
	// upstreams have written again what it lost, and registrationTTL when registrations without an upstream expire.
	restoreDownTime = 200 * time.Millisecond
	rewriteTime     = 500 * time.Millisecond
	registrationTTL = 3 * time.Second
	// lateShare, heldBackShare and rebornShare are the shares of the upstreams that send second responses, that refuse with Retry-After
	// and that crash behind a cut.
	lateShare     = 0.7
	heldBackShare = 0.3
	rebornShare   = 0.2
)

// runFaults injects each fault at its start time in a goroutine of its own, so that faults may overlap.
func (s *soak) runFaults(ctx context.Context, faults []fault, running *sync.WaitGroup) {
	begin := time.Now()
	s.faultsEnd = begin.Add(s.Length - faultFreeTime)
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(f.start))):
		}
		running.Go(func() {
			v := s.pickVM(f.target)
			_, _ = fmt.Fprintf(s.log, "fault %s: vm %s, %v long, variant %d\n", f.kind, v.name, f.duration, f.variant)
			if err := s.applyFault(f, v); err != nil {
				_, _ = fmt.Fprintf(s.log, "fault %s: %v\n", f.kind, err)
			}
		})
	}
}

// applyFault injects one fault, at a VM if it concerns one, waits for its duration and reverts it.
func (s *soak) applyFault(f fault, v *vmProcess) error {
	if b, ok := behaviourFaults[f.kind]; ok {
		s.misbehave(f.duration, s.someUpstreams(f.target, b.share), setBehaviour(b.behaviours[f.variant%len(b.behaviours)]))
		return nil
	}
	switch f.kind {
	case faultKillVM, faultStopVM, faultStopDisturbed, faultFreezeVM, faultReloadVM, faultSlowVM:
		return s.withVMs([]*vmProcess{v}, func([]*vmProcess) error { return s.disturbVM(f, v) })
	case faultReloadSeries:
		return s.reloadInSeries(f)
	case faultPowerLoss:
		return s.cutPower(f, v)
	case faultAllVMs:
		return s.loseAllVMs(f)
	case faultAddVM:
		return s.addVM(f)
	case faultRemoveVM:
		return s.removeVM(v)
	case faultPeerLink:
		s.disturbLink(f, v, v.peerLink, linkFaults)
	case faultStoreLink:
		s.disturbLink(f, v, v.storeLink, linkFaults)
	case faultCallerLink:
		s.disturbLink(f, v, v.callerLink, callerLinkFaults)
	case faultUpstreamLink:
		s.disturbUpstreamLink(f)
	case faultLossyLinks:
		s.losePackets(f, v)
	case faultRegionCut:
		s.cutRegions(f, v)
	case faultCut:
		return s.cutVMs(f)
	case faultCutAnswers:
		s.allowRawEnds(f, func(ends *rawanswer.Allowed, on bool) { ends.Cut = on })
	case faultUnmarkedCuts:
		s.allowRawEnds(f, func(ends *rawanswer.Allowed, on bool) { ends.Unmarked = on })
	case faultSplit:
		s.changeSplit(f)
	case faultRollout:
		return s.rollOut(f)
	case faultBrittle:
		s.makeBrittle(f)
	case faultRetryAfter:
		s.announce(f.duration, s.someUpstreams(f.target, heldBackShare), []int64{1, 2, 4}[f.variant%3], func(u *registeredUpstream) *atomic.Int64 { return &u.RetryAfter })
	case faultLateAnswer:
		s.announce(f.duration, s.someUpstreams(f.target, lateShare), 1+int64(f.variant)%int64(faultyupstream.LateTimes), func(u *registeredUpstream) *atomic.Int64 { return &u.Late })
	case faultUpstreamLimit:
		duration := min(f.duration+limitedTime, s.Length-faultFreeTime-f.start)
		s.announce(duration, s.someUpstreams(f.target, 0), []int64{30, 100, 250, 800}[f.variant%4], func(u *registeredUpstream) *atomic.Int64 { return &u.Limit })
	case faultRegionWithout:
		s.emptyRegion(f)
	case faultUpstreamCrash:
		return s.crashUpstream(f)
	case faultUpstreamLeave:
		return s.replaceUpstream(f, drainingTime, s.drainUpstream)
	case faultLeaveByAnswers:
		return s.replaceUpstream(f, f.duration, func(u *registeredUpstream) { u.Leaving.Store(true) })
	case faultReuseAddress:
		return s.reuseAddress(f)
	case faultReborn:
		return s.crashBehindCut(f, s.someUpstreams(f.target, rebornShare))
	case faultFlap:
		return s.flap(f)
	case faultStoreDown:
		s.store.SetDown(true)
		s.disturbFor(f.duration, partStore)
		s.store.SetDown(false)
	case faultStoreSlow:
		s.store.AddDelay(slowStoreTime)
		s.disturbFor(f.duration, partStore)
		s.store.AddDelay(-slowStoreTime)
	case faultStoreRefuses:
		s.refuseAtStore(f, v)
	case faultStoreRestore:
		s.restoreStore(f)
	case faultWithdrawKey:
		s.withdrawKey(f)
	case faultCallersLeave, faultCallersRepeat, faultHotWorkspace:
		s.changeCallers(f)
	}
	return nil
}

// behaviourFaults are the faults that consist of a behaviour of upstreams: the share of the upstreams, which is at least one of them, and the
// behaviours of the variants.
var behaviourFaults = map[faultKind]struct {
	share      float64
	behaviours []faultyupstream.Behaviour
}{
	faultUpstreamBehaviour: {0, []faultyupstream.Behaviour{faultyupstream.RespondsWithError, faultyupstream.RejectsRequests, faultyupstream.RespondsSlowly, faultyupstream.AbortsConnections}},
	faultEventOrder:        {0.5, []faultyupstream.Behaviour{faultyupstream.RepeatsEvents, faultyupstream.ResumesEarly, faultyupstream.ResumesLate}},
	faultBurst:             {0.9, []faultyupstream.Behaviour{faultyupstream.RespondsWithError, faultyupstream.RejectsRequests, faultyupstream.AbortsConnections, faultyupstream.FailsPartly, faultyupstream.FailsPartly}},
	faultLostAnswer:        {0.5, []faultyupstream.Behaviour{faultyupstream.ClosesAfterRun, faultyupstream.ResetsAfterRun}},
	faultEarlyRefusal:      {0.5, []faultyupstream.Behaviour{faultyupstream.RefusesEarly}},
}

// disturbUpstreamLink disturbs the links of all VMs to an upstream for the duration of the fault.
func (s *soak) disturbUpstreamLink(f fault) {
	u := s.pickUpstream(f.target)
	u.links.SetFault(s.upstreamLinkFault(f))
	end := s.history.startDisturbance(partLinkTo(u.ID), partUpstreams)
	time.Sleep(f.duration)
	u.links.SetFault(faultlink.Normal)
	end()
}

// disturbLink disturbs a link of a VM for the duration of the fault.
func (s *soak) disturbLink(f fault, v *vmProcess, link *faultlink.Link, faults []faultlink.Fault) {
	link.SetFault(linkFaultOf(faults, f.variant))
	s.disturbFor(f.duration, v.name)
	link.SetFault(faultlink.Normal)
}

// upstreamLinkFault returns the fault of the link to an upstream. A raw one sends answers that can only be distinguished from complete ones by a reset, so
// that FIN in its place is for ProfileUnmarked.
func (s *soak) upstreamLinkFault(f fault) faultlink.Fault {
	fault := linkFaultOf(linkFaults, f.variant)
	if fault == faultlink.Closes && s.Profile == ProfileRaw {
		return faultlink.Reset
	}
	return fault
}

// stopsFaults reports whether the time of faults is over, since earlier faults of VMs have taken their whole grace period.
func (s *soak) stopsFaults() bool {
	return (s.Profile == ProfileStops || s.Profile == ProfileTroubles) && time.Now().After(s.faultsEnd)
}

// disturbFor records a disturbance of the part and waits for its duration.
func (s *soak) disturbFor(duration time.Duration, part string) {
	end := s.history.startDisturbance(part)
	time.Sleep(duration)
	end()
}

// disturbVM reloads, slows, freezes, kills or stops a VM process, and resumes or restarts it after the duration of the fault.
func (s *soak) disturbVM(f fault, v *vmProcess) error {
	if f.kind == faultReloadVM {
		s.reload(v)
		return nil
	}
	start := s.history.startDisturbance
	if f.kind == faultStopVM {
		start = s.history.startPlannedDisturbance
	}
	defer s.disturbProcesses(start, v)()
	switch f.kind {
	case faultSlowVM:
		v.slow(f.duration)
		return nil
	case faultFreezeVM:
		_ = v.Signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		_ = v.Signal(syscall.SIGCONT)
		return nil
	case faultStopDisturbed:
		_ = v.Signal(syscall.SIGTERM)
		time.Sleep(f.duration / 2)
		_ = v.Signal(syscall.SIGHUP)
		time.Sleep(f.duration / 2)
		v.Kill()
		return v.startAfter(f.duration / 4)
	case faultStopVM:
		record(s.history, &s.history.planned, plannedWork{vm: v.name, stop: true, at: time.Now()})
		v.stop()
	default:
		v.Kill()
	}
	return v.startAfter(f.duration)
}

// emptyRegion removes the registrations of the upstreams of a region for the duration of the fault. The upstreams of the other
// regions fail half of the requests meanwhile.
func (s *soak) emptyRegion(f fault) {
	regions := s.deployment.Regions
	empty := regions[f.target%len(regions)].Name
	s.misbehave(f.duration, s.someUpstreams(0, 1), func(u *registeredUpstream, on bool) {
		switch {
		case u.region != empty:
			setBehaviour(faultyupstream.FailsPartly)(u, on)
		case !s.isListed(u):
		case on:
			s.history.endServing(u.ID)
			s.erase(platform.UpstreamPrefix + u.ID)
		default:
			s.registerUpstream(u, "ready")
		}
	})
}

// setBehaviour returns a function that begins or ends a behaviour of an upstream.
func setBehaviour(behaviour faultyupstream.Behaviour) func(u *registeredUpstream, on bool) {
	return func(u *registeredUpstream, on bool) {
		if on {
			u.SetBehaviour(behaviour)
			return
		}
		u.EndBehaviour(behaviour)
	}
}

// misbehave changes upstreams for a time.
func (s *soak) misbehave(duration time.Duration, upstreams []*registeredUpstream, set func(u *registeredUpstream, on bool)) {
	for _, u := range upstreams {
		set(u, true)
	}
	s.disturbFor(duration, partUpstreams)
	for _, u := range upstreams {
		set(u, false)
	}
}

// announce sets a value of upstreams for a time.
func (s *soak) announce(duration time.Duration, upstreams []*registeredUpstream, value int64, of func(u *registeredUpstream) *atomic.Int64) {
	s.misbehave(duration, upstreams, func(u *registeredUpstream, on bool) {
		of(u).Store(0)
		if on {
			of(u).Store(value)
		}
	})
}

// someUpstreams returns a share of the upstreams, at least one, that begins at an index modulo their number.
func (s *soak) someUpstreams(index int, share float64) []*registeredUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := max(1, int(share*float64(len(s.upstreams))+0.5))
	var some []*registeredUpstream
	for i := range count {
		some = append(some, s.upstreams[(index+i)%len(s.upstreams)])
	}
	return some
}

// crashUpstream stops an upstream without notice, removes its registration after the duration of the fault, and adds
// a replacement.
func (s *soak) crashUpstream(f fault) error {
	u := s.pickUpstream(f.target)
	s.removeUpstream(u)
	u.close()
	s.disturbFor(f.duration, partUpstreams)
	s.erase(platform.UpstreamPrefix + u.ID)
	u.shutDown()
	return s.addUpstream(u.region, u.Service)
}

// drainUpstream registers an upstream as draining.
func (s *soak) drainUpstream(u *registeredUpstream) {
	s.registerUpstream(u, "draining")
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	s.history.drainingSince[u.ID] = time.Now()
}

// replaceUpstream adds a replacement for an upstream, lets the upstream say that it leaves, and stops it after a time.
func (s *soak) replaceUpstream(f fault, after time.Duration, leave func(u *registeredUpstream)) error {
	u := s.pickUpstream(f.target)
	s.removeUpstream(u)
	if err := s.addUpstream(u.region, u.Service); err != nil {
		return err
	}
	leave(u)
	time.Sleep(after)
	s.erase(platform.UpstreamPrefix + u.ID)
	u.shutDown()
	return nil
}

// restoreStore copies the store, and after the duration of the fault restores it from that copy. What was written meanwhile is
// written again; what was deleted meanwhile expires.
func (s *soak) restoreStore(f fault) {
	copied := s.store.Copy()
	time.Sleep(f.duration)
	end := s.history.startDisturbance(partStore)
	s.store.SetDown(true)
	time.Sleep(restoreDownTime)
	s.writeMu.Lock()
	s.store.Restore(copied)
	s.writeMu.Unlock()
	s.store.SetDown(false)
	time.Sleep(time.Duration(f.variant%2) * rewriteTime)
	s.writeMu.Lock()
	for key, value := range s.written {
		s.store.Put(key, value)
	}
	s.writeMu.Unlock()
	end()
	time.Sleep(registrationTTL)
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	for _, key := range copied.Keys() {
		if _, ok := s.written[key]; !ok {
			s.store.Remove(key)
		}
	}
}

// withdrawKey replaces the key of a workspace in the configuration. Callers keep using the old key for
// withdrawnKeyUseTime.
func (s *soak) withdrawKey(f fault) {
	s.mu.Lock()
	old := s.keys[f.target%len(s.keys)]
	if _, withdrawn := s.withdrawnAt(old); withdrawn {
		s.mu.Unlock()
		return
	}
	newKey := fmt.Sprintf("key-%d", s.version+100)
	s.history.mu.Lock()
	s.history.workspaces[newKey] = s.history.workspaces[old]
	s.history.mu.Unlock()
	activeKeys := append([]string{newKey}, slices.DeleteFunc(slices.Clone(s.keys), func(key string) bool {
		_, withdrawn := s.withdrawnAt(key)
		return key == old || withdrawn
	})...)
	all := append(activeKeys, old)
	s.keys = activeKeys
	s.publishConfig()
	s.history.mu.Lock()
	s.history.keyWithdrawnAt[old], s.history.keySuccessors[old] = time.Now(), newKey
	s.history.mu.Unlock()
	s.keys = all
	s.mu.Unlock()
	time.Sleep(withdrawnKeyUseTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = slices.DeleteFunc(slices.Clone(s.keys), func(key string) bool { return key == old })
}

func (s *soak) withdrawnAt(key string) (time.Time, bool) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	at, ok := s.history.keyWithdrawnAt[key]
	return at, ok
}

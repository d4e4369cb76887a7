package soak

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"parsleyhatch/standin/faultlink"
)

const (
	// runTime and stopTime are the times for which a slowed VM runs and stands still in turns.
	runTime  = 10 * time.Millisecond
	stopTime = 40 * time.Millisecond
	// reloadGap is the time between two signals to reload in a series.
	reloadGap = 120 * time.Millisecond
	// arrivalPollInterval is the interval at which a fault looks for the arrival that it waits for.
	arrivalPollInterval = time.Millisecond
	// leaveSettle is the time after the end of a VM that was removed for which callers may still try to reach it.
	leaveSettle = time.Second
)

// withVMs calls act with those of the VMs that are in use, unless there is none or the time of faults is over. No other fault stops or
// signals their processes meanwhile. All faults lock in the order of the VMs.
func (s *soak) withVMs(vms []*vmProcess, act func(vms []*vmProcess) error) error {
	for _, v := range s.vms {
		if slices.Contains(vms, v) {
			v.faults.Lock()
			defer v.faults.Unlock()
		}
	}
	vms = slices.DeleteFunc(slices.Clone(vms), func(v *vmProcess) bool { return v.absent.Load() })
	if len(vms) == 0 || s.stopsFaults() {
		return nil
	}
	return act(vms)
}

// pickVM returns the first VM from an index modulo the number of VMs that is in use.
func (s *soak) pickVM(index int) *vmProcess {
	for i := range s.vms {
		if v := s.vms[(index+i)%len(s.vms)]; !v.absent.Load() {
			return v
		}
	}
	return s.vms[index%len(s.vms)]
}

// presentVMs returns the VMs in use, of one region or of all if it is empty.
func (s *soak) presentVMs(region string) []*vmProcess {
	return slices.DeleteFunc(slices.Clone(s.vms), func(v *vmProcess) bool { return v.absent.Load() || region != "" && v.region != region })
}

// disturbProcesses records a disturbance of the processes of VMs. The returned function records its end.
func (s *soak) disturbProcesses(start func(parts ...string) (end func()), vms ...*vmProcess) (end func()) {
	var parts []string
	for _, v := range vms {
		parts = append(parts, v.name, partProcessOf(v.name))
	}
	return start(parts...)
}

// loseVMs kills VMs at the same time and starts them after a pause. If their machines lose power, their links are silent meanwhile.
func (s *soak) loseVMs(vms []*vmProcess, power bool, pause time.Duration) error {
	var links faultlink.Links
	if power {
		links = s.beginDark(vms)
	}
	var killing sync.WaitGroup
	for _, v := range vms {
		killing.Go(v.Kill)
	}
	killing.Wait()
	err := links.Hang()
	time.Sleep(pause)
	for _, v := range vms {
		if power {
			err = errors.Join(err, s.endDark(v))
		}
		err = errors.Join(err, v.start())
	}
	time.Sleep(signalSetupTime)
	return err
}

// loseAllVMs kills all VMs, every other variant right after an upstream got a request, and takes the power of their machines away in half of
// both forms.
func (s *soak) loseAllVMs(f fault) error {
	return s.withVMs(s.presentVMs(""), func(vms []*vmProcess) error {
		if f.variant%2 == 1 {
			s.history.awaitArrival(f.duration)
		}
		defer s.disturbProcesses(s.history.startDisturbance, vms...)()
		return s.loseVMs(vms, f.variant/2%2 == 1, f.duration/2)
	})
}

// cutPower takes the power of one VM of a region away, or of all of them with their upstreams, and returns it after the duration of the fault.
func (s *soak) cutPower(f fault, v *vmProcess) error {
	vms, upstreams := []*vmProcess{v}, []*registeredUpstream(nil)
	if f.variant%2 == 1 {
		vms, upstreams = s.presentVMs(v.region), s.upstreamsOf(v.region)
	}
	return s.withVMs(vms, func(vms []*vmProcess) error {
		defer s.disturbProcesses(s.history.startDisturbance, vms...)()
		var returning sync.WaitGroup
		var upstreamErr error
		if len(upstreams) > 0 {
			returning.Go(func() { upstreamErr = s.crashBehindCut(f, upstreams) })
		}
		err := s.loseVMs(vms, true, f.duration)
		returning.Wait()
		return errors.Join(err, upstreamErr)
	})
}

func (s *soak) upstreamsOf(region string) []*registeredUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.upstreams), func(u *registeredUpstream) bool { return u.region != region })
}

// beginDark silences the connections of VMs: nothing that their kernels send as their processes end reaches anyone. It returns the links that
// are to answer no new connections.
func (s *soak) beginDark(vms []*vmProcess) faultlink.Links {
	s.mu.Lock()
	defer s.mu.Unlock()
	var links faultlink.Links
	for _, v := range vms {
		v.dark.Store(true)
		v.hangingCuts.Add(1)
		links = append(append(links, v.peerLink, v.callerLink), v.upstreamLinks...)
	}
	return links
}

// endDark ends a beginDark. The connections of before are reset, as the returned machine does.
func (s *soak) endDark(v *vmProcess) error {
	v.peerLink.ResetConnections()
	v.callerLink.ResetConnections()
	v.dark.Store(false)
	return errors.Join(s.endCut(v, cutHangs), v.peerLink.Answer(), v.callerLink.Answer())
}

// addVM starts a VM that has not been in use, if there is one. Callers use it when it is ready.
func (s *soak) addVM(f fault) error {
	for i := range s.vms {
		v := s.vms[(f.target+i)%len(s.vms)]
		v.faults.Lock()
		if v.absent.Load() && !v.HasStarted() {
			defer v.faults.Unlock()
			return s.startSpare(v)
		}
		v.faults.Unlock()
	}
	return nil
}

func (s *soak) startSpare(v *vmProcess) error {
	defer s.disturbProcesses(s.history.startPlannedDisturbance, v)()
	if err := errors.Join(v.start(), v.waitReady()); err != nil {
		return err
	}
	v.absent.Store(false)
	return nil
}

// removeVM stops a VM for good, unless it is the last one of its region.
func (s *soak) removeVM(v *vmProcess) error {
	return s.withVMs(s.presentVMs(v.region), func(vms []*vmProcess) error {
		if len(vms) < 2 || !slices.Contains(vms, v) {
			return nil
		}
		defer s.disturbProcesses(s.history.startPlannedDisturbance, v)()
		v.absent.Store(true)
		record(s.history, &s.history.planned, plannedWork{vm: v.name, stop: true, at: time.Now()})
		v.stop()
		time.Sleep(leaveSettle)
		return nil
	})
}

// slow stops and continues the process in short turns for a time.
func (v *vmProcess) slow(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(runTime) {
		_ = v.Signal(syscall.SIGSTOP)
		time.Sleep(stopTime)
		_ = v.Signal(syscall.SIGCONT)
	}
}

// reloadInSeries makes one VM after the other reload its settings, for the duration of the fault.
func (s *soak) reloadInSeries(f fault) error {
	begin := time.Now()
	for i := f.target; time.Since(begin) < f.duration; i++ {
		v := s.pickVM(i)
		if err := s.withVMs([]*vmProcess{v}, func([]*vmProcess) error { return s.disturbVM(fault{kind: faultReloadVM}, v) }); err != nil {
			return err
		}
		time.Sleep(reloadGap)
	}
	return nil
}

// reload makes a VM reload its settings.
func (s *soak) reload(v *vmProcess) {
	defer s.history.startPlannedDisturbance(v.name)()
	record(s.history, &s.history.planned, plannedWork{vm: v.name, at: time.Now()})
	_ = v.Signal(syscall.SIGHUP)
}

// awaitArrival waits until an upstream gets a request, for a time at most.
func (h *history) awaitArrival(most time.Duration) {
	before := h.countArrivals()
	for end := time.Now().Add(most); time.Now().Before(end) && h.countArrivals() == before; {
		time.Sleep(arrivalPollInterval)
	}
}

func (h *history) countArrivals() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.arrivals)
}

package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// bootTime is the time after its start in which a process can't take signals over yet.
	bootTime = 100 * time.Millisecond
	// lingerAfterLeave is the time for which an upstream goes on after it said that it leaves.
	lingerAfterLeave = 5 * time.Second
	// keyOverlap is the time for which callers go on using a key after it was withdrawn: longer than the bound.
	keyOverlap = 7 * time.Second
)

// runFaults applies the faults at their times. Each ends by itself, and several may overlap.
func (s *soak) runFaults(ctx context.Context, faults []fault, running *sync.WaitGroup) {
	begin := time.Now()
	// busy holds one lock for each VM, since a process can only be stopped once at a time.
	busy := make([]sync.Mutex, len(s.vms))
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(f.at))):
		}
		running.Go(func() {
			if err := s.apply(f, busy); err != nil {
				_, _ = fmt.Fprintf(s.log, "fault %s: %v\n", f.kind, err)
			}
		})
	}
}

// apply applies one fault, waits and ends it.
func (s *soak) apply(f fault, busy []sync.Mutex) error {
	index := f.index % len(s.vms)
	v := s.vms[index]
	_, _ = fmt.Fprintf(s.log, "fault %s: vm %s, %v long, variant %d\n", f.kind, v.name, f.length, f.variant)
	switch f.kind {
	case killVM, stopVM, freezeVM, reloadVM:
		busy[index].Lock()
		defer busy[index].Unlock()
		return s.disturbVM(f, v)
	case storeDown:
		s.store.SetDown(true)
		s.during(f.length, theStore)
		s.store.SetDown(false)
	case storeLink:
		v.store.set([]int32{delays, silences, silencesAnswers, resets}[f.variant%4])
		s.during(f.length, v.name)
		v.store.set(passes)
	case breakLink:
		u := s.pickUpstream(f.index)
		u.link.set([]int32{delays, silences, silencesAnswers, resets}[f.variant%4])
		s.during(f.length, theUpstreams)
		u.link.set(passes)
	case misbehave:
		u := s.pickUpstream(f.index)
		u.behaviour.Store([]int32{fails, refuses, slow, breaks}[f.variant%4])
		s.during(f.length, theUpstreams)
		u.behaviour.Store(answers)
	case crash:
		return s.crash(f)
	case leave:
		return s.leave(f)
	case withdrawKey:
		s.withdraw(f)
	}
	return nil
}

// during waits for the length of a fault and notes it.
func (s *soak) during(length time.Duration, part string) {
	end := s.ledger.disturb(part)
	time.Sleep(length)
	end()
}

// disturbVM stops a process in one way or another and lets it go on.
func (s *soak) disturbVM(f fault, v *vmProcess) error {
	end := s.ledger.disturb(v.name)
	defer end()
	switch f.kind {
	case reloadVM:
		v.signal(syscall.SIGHUP)
		return nil
	case freezeVM:
		v.signal(syscall.SIGSTOP)
		time.Sleep(f.length)
		v.signal(syscall.SIGCONT)
	case killVM:
		v.kill()
		return v.startAfter(f.length)
	default:
		v.stop()
		return v.startAfter(f.length)
	}
	return nil
}

// crash ends an upstream at once. Another one takes its place.
func (s *soak) crash(f fault) error {
	u := s.pickUpstream(f.index)
	s.remove(u)
	u.close()
	s.during(f.length, theUpstreams)
	s.store.Remove("servers/" + u.id)
	u.link.close()
	return s.addUpstream(u.region)
}

// leave lets an upstream say that it leaves. It ends some time later, after another one has come.
func (s *soak) leave(f fault) error {
	u := s.pickUpstream(f.index)
	s.remove(u)
	if err := s.addUpstream(u.region); err != nil {
		return err
	}
	s.register(u, "draining")
	s.ledger.mu.Lock()
	s.ledger.draining[u.id] = time.Now()
	s.ledger.mu.Unlock()
	time.Sleep(lingerAfterLeave)
	s.store.Remove("servers/" + u.id)
	u.close()
	u.link.close()
	return nil
}

// withdraw takes a key away and gives its workspace a new one. Callers use the old one for a while.
func (s *soak) withdraw(f fault) {
	s.mu.Lock()
	old := s.keys[f.index%len(s.keys)]
	if _, gone := s.withdrawnAt(old); gone {
		s.mu.Unlock()
		return
	}
	fresh := fmt.Sprintf("key-%d", s.version+100)
	s.ledger.mu.Lock()
	s.ledger.workspaces[fresh] = s.ledger.workspaces[old]
	s.ledger.mu.Unlock()
	kept := []string{fresh}
	for _, key := range s.keys {
		if _, gone := s.withdrawnAt(key); key != old && !gone {
			kept = append(kept, key)
		}
	}
	all := append(kept, old)
	s.keys = kept
	s.publish()
	s.ledger.mu.Lock()
	s.ledger.withdrawn[old] = time.Now()
	s.ledger.mu.Unlock()
	s.keys = all
	s.mu.Unlock()
	time.Sleep(keyOverlap)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, key := range s.keys {
		if key == old {
			s.keys = append(s.keys[:i:i], s.keys[i+1:]...)
			return
		}
	}
}

func (s *soak) withdrawnAt(key string) (time.Time, bool) {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	at, ok := s.ledger.withdrawn[key]
	return at, ok
}

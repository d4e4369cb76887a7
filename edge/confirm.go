package edge

import (
	"context"
	"sync"
	"time"

	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// confirmAfter is the age of what a VM knows of the store at which it asks another VM. A VM that
	// reaches the store learns something every second.
	confirmAfter = 1500 * time.Millisecond
	// confirmInterval is the period of questions.
	confirmInterval = 400 * time.Millisecond
	// maxCopyBytes is the longest configuration that is passed on.
	maxCopyBytes = vm.MaxFrameBytes - 4096
)

// confirmation is the latest question of a VM that does not reach the store.
type confirmation struct {
	mu    sync.Mutex
	id    uint64
	asked time.Time
}

// RunConfirm asks other VMs for what the store says while this VM does not reach it.
func (e *Edge) RunConfirm(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.askForConfig(e.Now())
		}
	}
}

func (e *Edge) askForConfig(now time.Time) {
	if now.Sub(e.Source.FreshAt()) < confirmAfter {
		return
	}
	e.confirm.mu.Lock()
	e.confirm.id++
	e.confirm.asked = now
	ask := &vmwire.ConfigAsk{ID: e.confirm.id}
	e.confirm.mu.Unlock()
	if t := e.table(); t != nil {
		ask.Version = t.Config.Version
	}
	e.Fleet.Ask(now, ask)
}

// Control handles messages of other VMs.
func (e *Edge) Control(s *vm.Session, f vmwire.Frame) {
	var err error
	switch f.Kind {
	case vmwire.KindSuspect:
		var m vmwire.Suspect
		if err = vm.Decode(f, &m); err == nil {
			e.Poison.Merge(e.Now(), m)
		}
	case vmwire.KindConfigAsk:
		var m vmwire.ConfigAsk
		if err = vm.Decode(f, &m); err == nil {
			e.copyConfig(s, m)
		}
	case vmwire.KindConfigCopy:
		var m vmwire.ConfigCopy
		if err = vm.Decode(f, &m); err == nil {
			e.takeConfig(m)
		}
	}
	if err != nil {
		s.Close(err)
	}
}

// copyConfig answers a VM that does not reach the store.
func (e *Edge) copyConfig(s *vm.Session, m vmwire.ConfigAsk) {
	t := e.table()
	if t == nil {
		return
	}
	// The age is taken before the version: a version that comes into force in between is newer.
	answer := &vmwire.ConfigCopy{ID: m.ID, FreshMillis: e.Now().Sub(e.Source.FreshAt()).Milliseconds() + 1}
	answer.Version = e.table().Config.Version
	if value := e.Source.Value(); answer.Version > m.Version && len(value) <= maxCopyBytes {
		answer.Value = value
	}
	s.Control(vmwire.KindConfigCopy, answer)
}

// takeConfig takes over what another VM knows. Its age counts from the question, since the time of the
// answer on its way is not known.
func (e *Edge) takeConfig(m vmwire.ConfigCopy) {
	e.confirm.mu.Lock()
	current := m.ID == e.confirm.id
	asked := e.confirm.asked
	e.confirm.mu.Unlock()
	if !current || m.FreshMillis < 0 {
		return
	}
	if len(m.Value) > 0 {
		e.Source.Accept(m.Value)
	}
	e.Source.Confirm(m.Version, asked.Add(-time.Duration(m.FreshMillis)*time.Millisecond))
}

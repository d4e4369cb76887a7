package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/platform"
	"parsleyhatch/vmwire"
)

const (
	// peerConfigWait is the time after its start for which a VM waits for other VMs before it serves the configuration that it
	// has read: the store may have been restored from an older copy, and only the others know what came after it.
	peerConfigWait = 400 * time.Millisecond
	// configSettleTime is the time for which a VM must have run before another one starts that takes its configuration for the
	// latest, without waiting for more VMs.
	configSettleTime = 10 * time.Second
	// maxConfigLag is the time for which a VM may have an older configuration than another one before it asks that VM. Usually
	// it reads the change from the store by then.
	maxConfigLag = time.Second
	// configQueryInterval is the shortest time between two queries for a configuration.
	configQueryInterval = 250 * time.Millisecond
)

// catchUp is the state in which a VM follows the configuration of other VMs.
type catchUp struct {
	// startedUp is set once the VM has had the latest configuration that it knows of.
	startedUp atomic.Bool

	mu sync.Mutex
	// behindSince is the time since which another VM has had a newer configuration, zero if none has.
	behindSince time.Time
	queriedAt   time.Time
}

// startedUp reports whether the VM has had the latest configuration since its start, as far as other VMs have reported.
func (e *Edge) startedUp(now time.Time) bool {
	if e.catchUp.startedUp.Load() {
		return true
	}
	t := e.table()
	if t == nil {
		return false
	}
	latest, settled := e.Fleet.LatestConfig(now, configSettleTime)
	waits := !settled && e.Fleet.KnowsOthers() && now.Sub(e.startedAt) < peerConfigWait
	if t.Config.Version < latest || waits {
		return false
	}
	e.catchUp.startedUp.Store(true)
	return true
}

// followConfig asks another VM for its configuration if this VM has an older one: at once after its start, otherwise if it has not
// read the newer one from the store for a while.
func (e *Edge) followConfig(now time.Time, slot string, version uint64) {
	t := e.table()
	if t == nil {
		return // The first configuration comes from the store.
	}
	c := &e.catchUp
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= t.Config.Version {
		if !c.behindSince.IsZero() {
			c.endLag(now, e.Fleet, t.Config.Version)
		}
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	due := !c.startedUp.Load() || now.Sub(c.behindSince) >= maxConfigLag
	if due && now.Sub(c.queriedAt) >= configQueryInterval {
		c.queriedAt = now
		go e.runConfigQuery(slot)
	}
}

// endLag records that no other VM has a newer configuration, if that is so. The caller holds mu.
func (c *catchUp) endLag(now time.Time, f *fleet.Fleet, version uint64) {
	if latest, _ := f.LatestConfig(now, 0); latest <= version {
		c.behindSince = time.Time{}
	}
}

// runConfigQuery takes the configuration of another VM.
func (e *Edge) runConfigQuery(slot string) {
	a, err := e.ask(context.Background(), vmwire.StoreQuery{}, func(_ time.Time, m *vmwire.StoreQuery) (string, bool) {
		return slot, e.Fleet.SendStoreQueryTo(slot, m)
	})
	if err != nil {
		return // The next presence of a VM with a newer configuration repeats the query.
	}
	for _, item := range a.Events {
		if item.Key == platform.ConfigKey && !item.Deleted {
			e.Watcher.AcceptConfigItem(item)
		}
	}
}

package edge

import (
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// LoadReport returns the load that this VM has on the upstreams of the region: on all of them if full is set,
// otherwise on those where it has changed since the last call. It returns nil if nothing has changed.
func (e *Edge) LoadReport(full bool) *vmwire.UpstreamLoads {
	m := &vmwire.UpstreamLoads{Whole: full}
	uses := e.Replicas.ChangedUses
	if full {
		uses = e.Replicas.Uses
	}
	for id, use := range uses() {
		m.Uses = append(m.Uses, vmwire.SenderLoad{Upstream: id, Running: int32(use.Running), Prefill: use.Prefill[:], Held: use.Held})
	}
	if !full && len(m.Uses) == 0 {
		return nil
	}
	return m
}

// receiveUses applies the load that another VM of the region reported.
func (e *Edge) receiveUses(now time.Time, from vm.Identity, m *vmwire.UpstreamLoads) {
	uses := make(map[string]replica.Use, len(m.Uses))
	for _, u := range m.Uses {
		use := replica.Use{Running: int(u.Running), Held: u.Held}
		copy(use.Prefill[:], u.Prefill)
		uses[u.Upstream] = use
	}
	if m.Whole {
		e.Replicas.SetPeerUse(now, from.Slot, uses)
		return
	}
	e.Replicas.UpdatePeerUse(now, from.Slot, uses)
}

package edge

import (
	"time"

	"parsleyhatch/replica"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// DescribeUses returns what this VM has running at the upstreams of the region: at all of them, or where that
// has changed since the last call. It returns nil if there is nothing to tell.
func (e *Edge) DescribeUses(whole bool) *vmwire.Uses {
	m := &vmwire.Uses{Whole: whole}
	uses := e.Replicas.ChangedUses
	if whole {
		uses = e.Replicas.Uses
	}
	for id, use := range uses() {
		m.Uses = append(m.Uses, vmwire.UpstreamUse{Upstream: id, Running: int32(use.Running), Prefill: use.Prefill[:], Held: use.Held})
	}
	if !whole && len(m.Uses) == 0 {
		return nil
	}
	return m
}

// hearUses takes over what another VM of the region has running.
func (e *Edge) hearUses(now time.Time, from vm.Identity, m *vmwire.Uses) {
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
	e.Replicas.ChangePeerUse(now, from.Slot, uses)
}

package fleet

import (
	"context"
	"time"

	"parsleyhatch/vmwire"
)

const (
	// usesInterval is the interval at which VMs of a region report changes of the load that they put on upstreams.
	// VMs that act on the same outdated load all choose the same upstream.
	usesInterval = 100 * time.Millisecond
	// fullUsesTicks is the number of intervals between two full reports.
	fullUsesTicks = 10
)

// runUses reports the load that this VM puts on upstreams to the VMs of the region, until ctx ends.
func (f *Fleet) runUses(ctx context.Context) {
	ticker := time.NewTicker(usesInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.sendUses(n%fullUsesTicks == 0)
		}
	}
}

func (f *Fleet) sendUses(full bool) {
	uses := f.LoadReport(full)
	if uses == nil {
		return
	}
	for _, slot := range f.connectedSlots() {
		if s := f.session(slot); s != nil && !f.remote(s) {
			s.SendControl(vmwire.KindUpstreamLoads, uses)
		}
	}
}

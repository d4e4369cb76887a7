package fleet

import (
	"context"
	"time"

	"parsleyhatch/vmwire"
)

const (
	// usesTick is the period at which VMs of a region tell each other what has changed of the load that they
	// put on upstreams. VMs that know the same old load all choose the same upstream.
	usesTick = 100 * time.Millisecond
	// wholeUsesEvery is the number of periods between two reports of the load on all upstreams.
	wholeUsesEvery = 10
)

// runUses tells the VMs of the region what this one has running, until ctx ends.
func (f *Fleet) runUses(ctx context.Context) {
	ticker := time.NewTicker(usesTick)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.sendUses(n%wholeUsesEvery == 0)
		}
	}
}

func (f *Fleet) sendUses(whole bool) {
	m := f.DescribeUses(whole)
	if m == nil {
		return
	}
	for _, slot := range f.connected() {
		if s := f.session(slot); s != nil && !f.far(s) {
			s.Control(vmwire.KindUses, m)
		}
	}
}

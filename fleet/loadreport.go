package fleet

import (
	"context"
	"slices"
	"time"

	"parsleyhatch/vmwire"
)

const (
	// usesInterval is the interval at which VMs of a small region report changes of the load that they put on
	// upstreams. VMs that act on the same outdated load all choose the same upstream.
	usesInterval = 100 * time.Millisecond
	// fullUsesInterval is the interval between two full reports.
	fullUsesInterval = time.Second
	// maxDirectReceivers is the number of other VMs of a region up to which each VM reports its load to all of them.
	// In a larger region the VMs report to collectors, which send sums, so that the messages of a VM do not grow with
	// the number of VMs.
	maxDirectReceivers = 12
	// sumIntervalPerVM is the interval between two sums per VM of the region. It bounds what a collector sends.
	sumIntervalPerVM = 4 * time.Millisecond
	// missedSums is the number of sums of the first collector that may be missing before the second one sends.
	missedSums = 3
)

// loadReporter schedules the reports of upstream load. It is used only by the goroutine of runUses.
type loadReporter struct {
	// reportedAt, fullReportAt and sentSumsAt are the times of the latest report, full report and sums of this VM.
	reportedAt, fullReportAt, sentSumsAt time.Time
	// receivers are the VMs that got the latest report. A change of them makes the next report a full one.
	receivers []string
	// collectors is the list of collectors at chosenAt, and collecting whether this VM is one of them.
	collectors []string
	chosenAt   time.Time
	collecting bool
}

// runUses reports the load that this VM puts on upstreams, or the sums of all VMs, until ctx ends.
func (f *Fleet) runUses(ctx context.Context) {
	ticker := time.NewTicker(usesInterval)
	defer ticker.Stop()
	var r loadReporter
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.reportLoad(f.Now(), &r)
		}
	}
}

// reportLoad sends what is due: the own load to its receivers, and as a collector the sums to all VMs of the region.
func (f *Fleet) reportLoad(now time.Time, r *loadReporter) {
	if now.Sub(r.chosenAt) >= collectorsInterval {
		r.chosenAt, r.collectors = now, f.collectors(now)
		r.setCollecting(f, slices.Contains(r.collectors, f.Endpoint.Self.Slot))
	}
	collectors := r.collectors
	local := f.localSlots()
	receivers, interval := local, usesInterval
	if len(local) > maxDirectReceivers {
		receivers, interval = collectors, sumInterval(len(local))
	}
	full := now.Sub(r.fullReportAt) >= fullUsesInterval || !slices.Equal(receivers, r.receivers)
	if full || now.Sub(r.reportedAt) >= interval {
		r.reportedAt, r.receivers = now, receivers
		if full {
			r.fullReportAt = now
		}
		f.sendUses(full, receivers)
	}
	if r.collecting && len(local) > maxDirectReceivers && now.Sub(r.sentSumsAt) >= interval && f.mustSendSums(now, collectors, interval) {
		r.sentSumsAt = now
		f.sendSums(now, local)
	}
}

// setCollecting notifies the owner of the fleet when this VM starts or stops to collect load reports.
func (r *loadReporter) setCollecting(f *Fleet, collecting bool) {
	if r.collecting == collecting {
		return
	}
	r.collecting = collecting
	f.collecting.Store(collecting)
	f.OnCollecting(collecting)
}

// sumInterval returns the shortest time between two reports to a collector, and between two of its sums. It is half a tick of
// runUses below the interval, because ticks come early or late.
func sumInterval(vms int) time.Duration {
	return max(usesInterval, (time.Duration(vms)*sumIntervalPerVM).Round(usesInterval)) - usesInterval/2
}

// mustSendSums reports whether this VM is the collector that sends sums: the first one, or the next one if the sums of the
// first have stopped.
func (f *Fleet) mustSendSums(now time.Time, collectors []string, interval time.Duration) bool {
	if collectors[0] == f.Endpoint.Self.Slot {
		return true
	}
	return now.Sub(f.sumsReceivedAt()) > missedSums*interval
}

// sumsReceivedAt returns the time of the latest sums of another VM.
func (f *Fleet) sumsReceivedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastSumsAt
}

// sendUses sends this VM's load to the receivers.
func (f *Fleet) sendUses(full bool, receivers []string) {
	uses := f.LoadReport(full)
	if uses == nil {
		return
	}
	for _, slot := range receivers {
		if s := f.session(slot); s != nil {
			s.SendControl(vmwire.KindUpstreamLoads, uses)
		}
	}
}

// sendSums sends each VM the load of all others.
func (f *Fleet) sendSums(now time.Time, receivers []string) {
	sumsFor := f.LoadSums(now)
	for _, slot := range receivers {
		if s := f.session(slot); s != nil {
			s.SendControl(vmwire.KindUpstreamSums, sumsFor(slot))
		}
	}
}

// localSlots returns the names of the VMs of this region with a session, sorted.
func (f *Fleet) localSlots() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var slots []string
	for slot, sessions := range f.sessions {
		if !f.remote(sessions[0]) {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	return slots
}

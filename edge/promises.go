package edge

import (
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/returns"
	"parsleyhatch/vmwire"
)

// fillPromises adds the promises of this VM to a presence for its region. In a large region, the presence of one tick is sent only to a part of
// the VMs. The interval in the presence is the time until all have received one.
func (e *Edge) fillPromises(now time.Time, p *vmwire.Presence) {
	round := time.Duration(p.IntervalMillis) * time.Millisecond
	for _, c := range e.promiseReports.Report(now, e.Returns, round) {
		p.Promises = append(p.Promises, vmwire.CallerPromise{Service: c.Service, Caller: c.Caller, Cost: c.Cost, DueMillis: c.DueMillis})
	}
}

// applyPromises applies the promises of another VM of the region.
func (e *Edge) applyPromises(now time.Time, m fleet.Member, p *vmwire.Presence) {
	promises := make([]returns.Promise, 0, len(p.Promises))
	for _, c := range p.Promises {
		promises = append(promises, returns.Promise{Service: c.Service, Caller: c.Caller, Cost: c.Cost, DueMillis: c.DueMillis})
	}
	e.Returns.ApplyReport(now, m.Slot, promises)
}

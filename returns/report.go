package returns

import "time"

const (
	// maxReported is the maximum number of promises in a report.
	maxReported = 64
	// maxReportedDelay is the longest delay that is accepted from a report: the length of the schedule.
	maxReportedDelay = bucketCount * bucketLength
	// renewalTolerance is the difference between the due times in two reports above which they describe two promises. A caller gets a new
	// promise only when the earlier one is due, and then at least minDelay later. Reports of one promise differ by the delay of the network.
	renewalTolerance = 200 * time.Millisecond
	// reporterTimeout is the time for which a VM counts as promising after its latest report.
	reporterTimeout = 5 * time.Second
	// maxReporters bounds the VMs whose reports are used, far above the size of a region.
	maxReporters = 1024
)

// Report returns the promises made since the latest report that are not due yet, at most 64. Others made in that time are never reported.
func (s *Schedule) Report(now time.Time) []Promise {
	s.mu.Lock()
	defer s.mu.Unlock()
	var promises []Promise
	for _, k := range s.unreported {
		e, found := s.kept.get(k)
		if !found || e.consumed || !e.due.After(now) {
			continue
		}
		promises = append(promises, Promise{Service: k.service, Caller: k.caller, Cost: e.cost, DueMillis: int32(e.due.Sub(now).Milliseconds())})
	}
	s.unreported = s.unreported[:0]
	return promises
}

// ApplyReport adds the promises that another VM of the region has made. Repeated promises count once, and invalid ones are ignored.
func (s *Schedule) ApplyReport(now time.Time, vm string, promises []Promise) {
	if len(promises) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.otherVMs(now)
	if _, known := s.reporters[vm]; !known && len(s.reporters) >= maxReporters {
		return
	}
	s.reporters[vm] = now
	for _, p := range promises[:min(len(promises), maxReported)] {
		if p.isValid() {
			s.applyPromise(now, p)
		}
	}
}

func (p Promise) isValid() bool {
	delay := time.Duration(p.DueMillis) * time.Millisecond
	return p.Service != "" && len(p.Service) <= maxServiceName && p.Cost >= 0 && p.Cost <= maxCost && delay >= 0 && delay <= maxReportedDelay
}

func (s *Schedule) applyPromise(now time.Time, p Promise) {
	k := key{service: p.Service, caller: p.Caller}
	due := now.Add(time.Duration(p.DueMillis) * time.Millisecond)
	if e, found := s.kept.get(k); found && due.Sub(e.due) <= renewalTolerance {
		return
	}
	s.kept.put(k, entry{due: due, cost: p.Cost})
	if r := s.rooms[p.Service]; r != nil {
		r.advance(now)
		r.addOthers(due, float64(p.Cost))
	}
}

// otherVMs returns the number of other VMs that have reported promises within reporterTimeout. VMs beyond it are removed once a second.
func (s *Schedule) otherVMs(now time.Time) int {
	if now.Sub(s.reportersCheckedAt) < time.Second {
		return len(s.reporters)
	}
	s.reportersCheckedAt = now
	for vm, at := range s.reporters {
		if now.Sub(at) > reporterTimeout {
			delete(s.reporters, vm)
		}
	}
	return len(s.reporters)
}

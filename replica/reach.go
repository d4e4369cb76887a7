package replica

import (
	"time"

	"parsleyhatch/route"
)

const (
	// cutEvidence is the number of upstreams of a service to which no connection can be opened, one after the other, from which
	// this VM counts as cut from the service. A few upstreams may crash at once, but then others still accept connections.
	cutEvidence = 3
	// firstProbeDelay and maxProbeDelay bound the time between two probes of an unreachable upstream.
	firstProbeDelay = 250 * time.Millisecond
	maxProbeDelay   = time.Second
	// lossReportInterval is the time for which the report of one VM that an upstream is not reachable stands for all of them.
	lossReportInterval = 5 * time.Second
)

// servicePath is the state of this VM's path to the upstreams of a service.
type servicePath struct {
	// failed holds the upstreams to which no connection could be opened since openedAt, with the time of the first attempt.
	failed map[string]time.Time
	// openedAt is the time at which a connection to an upstream of the service was last opened.
	openedAt time.Time
	// cut is set once a cut was reported.
	cut bool
	// healedAt is the time at which the latest cut ended.
	healedAt time.Time
	// lentUntil is the time until which other VMs may use this VM's shares of the bounds, see Table.LendShares.
	lentUntil time.Time
}

// Probe is an attempt to connect to an upstream in order to find out whether it is reachable.
type Probe struct {
	ID      string
	Address string
	Service string
}

// RecordUnreachable records that an attempt to connect to an upstream, made at startedAt, has failed. It reports whether the upstream
// was reachable before, and whether this VM counts as cut from its service from now on.
func (t *Table) RecordUnreachable(now, startedAt time.Time, id string) (first, cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil {
		return false, false
	}
	if first = r.unreachableSince.IsZero(); first {
		r.unreachableSince, r.probeDelay = startedAt, 0
	}
	r.probeDelay = min(max(firstProbeDelay, 2*r.probeDelay), maxProbeDelay)
	r.probeAt = now.Add(r.probeDelay)
	p := t.path(r.Service)
	if !startedAt.After(p.openedAt) {
		return first, false
	}
	if _, known := p.failed[id]; !known {
		p.failed[id] = startedAt
	}
	if !p.cut && t.isCut(r.Service) {
		p.cut = true
		return first, true
	}
	return first, false
}

// isCut reports whether no connection could be opened to several upstreams of a service, and to none since. Upstreams that are
// not registered any more do not count: they may all have been replaced.
func (t *Table) isCut(service string) bool {
	p := t.paths[service]
	if p == nil || len(p.failed) == 0 {
		return false
	}
	t.rebuildIndex()
	usable, failed := 0, 0
	for _, r := range t.byService[service] {
		if t.isWithdrawn(r) {
			continue
		}
		usable++
		if _, ok := p.failed[r.ID]; ok {
			failed++
		}
	}
	return usable > 0 && failed >= min(cutEvidence, usable)
}

// Return describes the return of an upstream that a VM can connect to again.
type Return struct {
	// Away is the time for which no connection could be opened before, zero if the upstream was reachable.
	Away time.Duration
	// Healed is set if this ends a cut from the upstream's service.
	Healed bool
	// Ask is set if the upstream must be asked whether it is cold. The question is counted already. Born is then its start time.
	Ask  bool
	Born int64
}

// RecordReachable records that a connection to an upstream of a service was opened. s is nil if the service is not configured. An
// upstream that returns may have started again, and its registration says so later than it accepts connections: it counts as cold.
func (t *Table) RecordReachable(now time.Time, id string, s *route.Service) Return {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil {
		return Return{}
	}
	p := t.path(r.Service)
	p.openedAt = now
	clear(p.failed)
	result := Return{Healed: p.cut}
	if p.cut {
		p.cut, p.healedAt = false, now
	}
	if r.unreachableSince.IsZero() {
		return result
	}
	result.Away = now.Sub(r.unreachableSince)
	r.unreachableSince, r.backoffUntil, r.backoff = time.Time{}, time.Time{}, 0
	result.Ask, result.Born = t.assumeCold(now, r, s), r.Born
	return result
}

func (t *Table) path(service string) *servicePath {
	p := t.paths[service]
	if p == nil {
		p = &servicePath{failed: map[string]time.Time{}}
		t.paths[service] = p
	}
	return p
}

// IsCut reports whether this VM is cut from the upstreams of a service.
func (t *Table) IsCut(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCut(service)
}

// CutServices returns the services from whose upstreams this VM is cut.
func (t *Table) CutServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutServices()
}

func (t *Table) cutServices() []string {
	var services []string
	for service := range t.paths {
		if t.isCut(service) {
			services = append(services, service)
		}
	}
	return services
}

// IsImpaired reports whether this VM may reach fewer upstreams of a service than other VMs do, or was cut from them until recently.
func (t *Table) IsImpaired(now time.Time, s *route.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[s.Name]; p != nil && (t.isCut(s.Name) || now.Sub(p.healedAt) < s.WarmUp || now.Before(p.lentUntil)) {
		return true
	}
	for _, r := range t.byService[s.Name] {
		if !r.unreachableSince.IsZero() {
			return true
		}
	}
	return false
}

// NeedsProbes reports whether an upstream is unreachable, or this VM is cut from a service.
func (t *Table) NeedsProbes() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.upstreams {
		if t.needsProbe(r) {
			return true
		}
	}
	return false
}

// needsProbe reports whether an upstream is to be probed: it is unreachable, or nothing else is sent to it because of a cut.
func (t *Table) needsProbe(r *upstreamState) bool {
	return !r.unreachableSince.IsZero() || t.isCut(r.Service)
}

// DueProbes returns at most n probes that are due.
func (t *Table) DueProbes(now time.Time, n int) []Probe {
	return t.probes(n, func(r *upstreamState) bool { return t.needsProbe(r) && !now.Before(r.probeAt) })
}

// SweepProbes returns probes of upstreams with the given reachability, at most n of each service.
func (t *Table) SweepProbes(n int, reachable bool) []Probe {
	perService := map[string]int{}
	return t.probes(0, func(r *upstreamState) bool {
		if t.isWithdrawn(r) || r.unreachableSince.IsZero() != reachable || perService[r.Service] == n {
			return false
		}
		perService[r.Service]++
		return true
	})
}

// probes returns probes of the upstreams that are selected, at most n unless n is zero.
func (t *Table) probes(n int, selected func(r *upstreamState) bool) []Probe {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Probe
	for _, r := range t.upstreams {
		if n > 0 && len(list) == n {
			break
		}
		if selected(r) {
			list = append(list, Probe{ID: r.ID, Address: r.Address, Service: r.Service})
		}
	}
	return list
}

// ReportLoss reports whether the other VMs must learn that an upstream is not reachable, and the start time of the upstream. They
// must not if one of them has reported it.
func (t *Table) ReportLoss(now time.Time, id string) (born int64, report bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil || now.Sub(r.lossReportedAt) < lossReportInterval {
		return 0, false
	}
	r.lossReportedAt = now
	return r.Born, true
}

// ReceiveLoss records the report of another VM that a lifetime of an upstream was not reachable. It returns the probe that shows
// whether this VM reaches it, unless this VM knows already that it does not.
func (t *Table) ReceiveLoss(now time.Time, id string, born int64) (Probe, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil || r.Born != born {
		return Probe{}, false
	}
	r.lossReportedAt = now
	return Probe{ID: r.ID, Address: r.Address, Service: r.Service}, r.unreachableSince.IsZero()
}

// AssumeCold counts an upstream of a service as cold, because it may have started again. It returns the start time of the upstream, and
// reports whether it must be asked whether it is; the question is counted already.
func (t *Table) AssumeCold(now time.Time, id string, s *route.Service) (born int64, ask bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[id]
	if r == nil {
		return 0, false
	}
	return r.Born, t.assumeCold(now, r, s)
}

// assumeCold counts the question as a request to the cold upstream before any other request can be: a VM whose share is one request
// would ask too late.
func (t *Table) assumeCold(now time.Time, r *upstreamState, s *route.Service) (ask bool) {
	r.assumedColdUntil, r.doubtedAt = now, now
	if s == nil || s.WarmUp <= 0 {
		return false
	}
	r.assumedColdUntil = now.Add(s.WarmUp)
	if s.HealthPath == "" || t.isWithdrawn(r) || t.isHeldBack(now, r) || !r.hasColdCapacity(now, t.coldQuota(r, s)) || !t.hasLimitCapacity(now, r) || !t.hasRoom(now, r) {
		return false
	}
	r.coldRequests = append(r.coldRequests, now)
	t.takeLimitCapacity(r)
	return true
}

// ConfirmWarm ends the assumption that an upstream is cold. One that had started again while it was away would be.
func (t *Table) ConfirmWarm(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.upstreams[id]; r != nil {
		r.assumedColdUntil, r.doubtedAt = time.Time{}, time.Time{}
	}
}

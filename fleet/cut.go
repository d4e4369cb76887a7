package fleet

import "time"

// lendDelay is the time for which a VM must have been cut from the upstreams of a service before others use its shares of their bounds:
// requests that it sent before may still run.
const lendDelay = 2 * time.Second

// setCutServices records from which services the VM is cut, and since when.
func (m *Member) setCutServices(now time.Time, services []string) {
	var since map[string]time.Time
	if len(services) > 0 {
		since = make(map[string]time.Time, len(services))
	}
	for _, service := range services {
		since[service] = now
		if at, ok := m.cutSince[service]; ok {
			since[service] = at
		}
	}
	m.CutServices, m.cutSince = services, since
}

// CutVMs returns the other VMs of this region that have been cut from the upstreams of services for a while, by service, without those
// whose presence is overdue.
func (f *Fleet) CutVMs(now time.Time) map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	cut := map[string][]string{}
	for slot, m := range f.members {
		if m.remote || !m.responsive(now) {
			continue
		}
		for service, since := range m.cutSince {
			if now.Sub(since) >= lendDelay {
				cut[service] = append(cut[service], slot)
			}
		}
	}
	return cut
}

// CutRetention returns the time after a presence of this VM for which others may count the services in it as cut: until the next one is
// overdue, with the time until that is noticed and the time that the presence is underway.
func (f *Fleet) CutRetention() time.Duration {
	return time.Duration(f.presenceInterval.Load()) + presenceDelay + tick + presenceDelay
}

package route

import (
	"slices"
	"time"
)

const (
	// pastRetention is the time for which the routes of earlier configurations are kept. It exceeds the timeouts of routes.
	pastRetention = 2 * time.Minute
	// maxPast bounds the number of earlier configurations whose routes are kept.
	maxPast = 64
)

// pastRoutes are the routes of an earlier configuration.
type pastRoutes struct {
	byHost routeIndex
	// until is the time at which the next configuration replaced them.
	until time.Time
}

// recordPast keeps the routes of the previous configuration, which may be nil, and of those before it.
func (t *Table) recordPast(now time.Time, previous *Table) {
	if previous == nil {
		t.pastSince = now
		t.firstVersion, t.unchangedFrom = t.Config.Version, t.Config.Version
		return
	}
	t.past, t.pastSince = previous.past, previous.pastSince
	t.firstVersion, t.unchangedFrom = previous.firstVersion, previous.unchangedFrom
	if !sameTargets(previous.Config.Routes, t.Config.Routes) {
		t.past = append([]pastRoutes{{byHost: previous.byHost, until: now}}, t.past...)
		t.unchangedFrom = t.Config.Version
	}
	for i, past := range t.past {
		if i == maxPast || now.Sub(past.until) > pastRetention {
			t.past = t.past[:i]
			if past.until.After(t.pastSince) {
				t.pastSince, t.firstVersion = past.until, 0
			}
			break
		}
	}
}

// sameTargets reports whether two lists of routes select the same service for each request, for the same time.
func sameTargets(a, b []Route) bool {
	return slices.EqualFunc(a, b, func(a, b Route) bool {
		return a.Host == b.Host && a.Prefix == b.Prefix && a.KeepsService() == b.KeepsService() && a.Timeout == b.Timeout &&
			slices.Equal(a.Split, b.Split)
	})
}

// MarkFirst records that no configuration was in force before that of the table.
func (t *Table) MarkFirst() { t.past, t.pastSince = nil, time.Time{} }

// MarkGap records that configurations may have been in force before that of the table which were not read. It is in force from now on.
func (t *Table) MarkGap(now time.Time) {
	t.pastSince = now
	t.firstVersion, t.unchangedFrom = t.Config.Version, t.Config.Version
}

// Unchanged states that the routes of all configurations from version From to To choose the same services, and that nothing else has been in
// force since a time, which is zero if no earlier configuration has existed.
type Unchanged struct {
	From, To uint64
	Since    time.Time
}

// Unchanged returns what the table knows of the time before, for other VMs.
func (t *Table) Unchanged() Unchanged {
	u := Unchanged{From: t.unchangedFrom, To: t.Config.Version, Since: t.pastSince}
	if len(t.past) > 0 && t.past[0].until.After(u.Since) {
		u.Since = t.past[0].until
	}
	return u
}

// Extend returns the table with what another VM knows of the time before the first configuration that this table knows.
func (t *Table) Extend(u Unchanged) *Table {
	if u.From > t.firstVersion || t.firstVersion > u.To || !u.Since.Before(t.pastSince) {
		return t
	}
	extended := *t
	extended.pastSince, extended.firstVersion = u.Since, u.From
	return &extended
}

// TargetsSince returns the services, each once, that resumable streams of a host and path with a key were sent to under the configurations
// that have been in force since a time. complete is set if all of these configurations are known.
func (t *Table) TargetsSince(since time.Time, host, path, key string) (services []string, complete bool) {
	services = t.byHost.appendTargets(nil, host, path, key)
	for _, past := range t.past {
		if past.until.Before(since) {
			break
		}
		services = past.byHost.appendTargets(services, host, path, key)
	}
	return services, !t.pastSince.After(since)
}

// SplitChanged reports whether a resumable route that a service belongs to has had another split since a time.
func (t *Table) SplitChanged(since time.Time, service string) bool {
	for i := range t.Config.Routes {
		r := &t.Config.Routes[i]
		if !r.KeepsService() {
			continue
		}
		for _, past := range t.past {
			if past.until.Before(since) {
				break
			}
			before := past.byHost.match(r.Host, r.Prefix)
			if before != nil && !slices.Equal(before.Split, r.Split) && (r.Allows(service) || before.Allows(service)) {
				return true
			}
		}
	}
	return false
}

// EarlierRoute is a route of an earlier configuration.
type EarlierRoute struct {
	*Route
	// Until is the time at which the next configuration replaced it.
	Until time.Time
}

// Earlier returns the routes of a host and path in the earlier configurations that are kept, the latest first.
func (t *Table) Earlier(host, path string) []EarlierRoute {
	var routes []EarlierRoute
	for _, past := range t.past {
		if r := past.byHost.match(host, path); r != nil {
			routes = append(routes, EarlierRoute{Route: r, Until: past.until})
		}
	}
	return routes
}

// appendTargets appends the services to which requests with a key are sent, unless the list has them. Where a route distributes requests
// by another key, these are all of its services.
func (x routeIndex) appendTargets(services []string, host, path, key string) []string {
	r := x.match(host, path)
	if r == nil {
		return services
	}
	for _, target := range r.Split {
		selected := !r.KeepsService() || target.Service == r.target(key)
		if selected && !slices.Contains(services, target.Service) {
			services = append(services, target.Service)
		}
	}
	return services
}

package edge

import (
	"time"

	"parsleyhatch/contention"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// maxPriority is the least urgent priority of a route for which room is reported to other regions. Later priorities have the rank of this one.
const maxPriority = 9

// averageStream returns an average stream of a route at a service. Whether there is room for it is reported to other regions.
func (e *Edge) averageStream(now time.Time, s *route.Service, r *route.Route) contention.Request {
	return contention.Request{
		LessUrgent: e.isLessUrgent(s.Name, r), Pressure: e.pressures.Share(now, s.Name),
		Left: r.Timeout, Events: e.lengths.Expected(now, r.Name, 0, 0),
	}
}

// fullFrom returns the most urgent rank of routes for whose streams a service has no room, plus one, or zero if it has room for those of all ranks.
func (e *Edge) fullFrom(now time.Time, t *route.Table, s *route.Service) uint8 {
	if s.Engine == nil {
		return 0
	}
	for priority := range maxPriority + 1 {
		r := t.StreamingRoute(s.Name, priority)
		if r == nil {
			continue
		}
		rank := routeRank(r)
		pick, ok := e.Replicas.Estimate(now, replica.Request{Service: s, Rank: rank, Stream: e.averageStream(now, s, r)})
		if ok && pick.Limit != contention.None {
			return uint8(rank + 1)
		}
	}
	return 0
}

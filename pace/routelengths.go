package pace

import (
	"sync"
	"time"
)

// RouteLengths holds the Lengths of each route, by name. It is safe for concurrent use.
type RouteLengths struct {
	mu      sync.Mutex
	byRoute map[string]*Lengths
}

// NewRouteLengths returns a RouteLengths without records.
func NewRouteLengths() *RouteLengths { return &RouteLengths{byRoute: map[string]*Lengths{}} }

// Record records a completed stream of a route, see Lengths.Record.
func (l *RouteLengths) Record(now time.Time, route string, events int, hint int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lengthsOf(route).Record(now, events, hint)
}

// Expected returns the expected number of events of a stream of a route, see Lengths.Expected.
func (l *RouteLengths) Expected(now time.Time, route string, hint, most int64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lengthsOf(route).Expected(now, hint, most)
}

// Retain removes all routes except the given ones.
func (l *RouteLengths) Retain(routes map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route := range l.byRoute {
		if !routes[route] {
			delete(l.byRoute, route)
		}
	}
}

// lengthsOf returns the lengths of a route. It must be called with the lock held.
func (l *RouteLengths) lengthsOf(route string) *Lengths {
	lengths := l.byRoute[route]
	if lengths == nil {
		lengths = &Lengths{}
		l.byRoute[route] = lengths
	}
	return lengths
}

// Package profile keeps the running means of the times that the requests of each route take.
package profile

import (
	"sync"
	"time"

	"parsleyhatch/choose"
)

const (
	// firstTokenGuess and runGuess stand for a route that this VM has not measured yet.
	firstTokenGuess = 200 * time.Millisecond
	runGuess        = 3 * time.Second
	// weight is that of a new measurement in the running mean.
	weight = 0.05
)

// Table holds the times by route. It is safe for concurrent use; the zero value is ready.
type Table struct {
	mu     sync.Mutex
	routes map[string]*choose.Profile
}

// Record adds a measurement; a zero time is ignored.
func (t *Table) Record(route string, firstToken, run time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]*choose.Profile{}
	}
	p := t.routes[route]
	if p == nil {
		p = &choose.Profile{FirstToken: firstTokenGuess, Run: runGuess}
		t.routes[route] = p
	}
	if firstToken > 0 {
		p.FirstToken += time.Duration(weight * float64(firstToken-p.FirstToken))
	}
	if run > 0 {
		p.Run += time.Duration(weight * float64(run-p.Run))
	}
}

// Get returns the means of a route.
func (t *Table) Get(route string) choose.Profile {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.routes[route]; p != nil {
		return *p
	}
	return choose.Profile{FirstToken: firstTokenGuess, Run: runGuess}
}

// Package profile maintains moving averages of the response times of each route.
package profile

import (
	"sync"
	"time"

	"parsleyhatch/choose"
)

const (
	// defaultFirstToken and defaultRunTime are used for a route without measurements at this VM.
	defaultFirstToken = 200 * time.Millisecond
	defaultRunTime    = 3 * time.Second
	// measurementWeight is the weight of a new measurement in the moving average.
	measurementWeight = 0.05
)

// Table holds the averages by route. It is safe for concurrent use; the zero value is ready to use.
type Table struct {
	mu     sync.Mutex
	routes map[string]*choose.Profile
}

// Record adds a measurement. Zero times are ignored.
func (t *Table) Record(route string, firstToken, run time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]*choose.Profile{}
	}
	p := t.routes[route]
	if p == nil {
		p = &choose.Profile{FirstToken: defaultFirstToken, RunTime: defaultRunTime}
		t.routes[route] = p
	}
	if firstToken > 0 {
		p.FirstToken += time.Duration(measurementWeight * float64(firstToken-p.FirstToken))
	}
	if run > 0 {
		p.RunTime += time.Duration(measurementWeight * float64(run-p.RunTime))
	}
}

// Get returns the averages of a route.
func (t *Table) Get(route string) choose.Profile {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.routes[route]; p != nil {
		return *p
	}
	return choose.Profile{FirstToken: defaultFirstToken, RunTime: defaultRunTime}
}

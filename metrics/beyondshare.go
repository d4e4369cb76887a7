package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// maxBeyondShareWorkspaces bounds the pairs of a service and a workspace that have a counter of their own. Few workspaces are above their
// share at a time; the rest are counted as otherWorkspaces.
const maxBeyondShareWorkspaces = 64

// otherWorkspaces is the tag of the workspaces without a counter of their own.
const otherWorkspaces = "other"

// beyondShare holds the counters of requests beyond the share of their workspace.
type beyondShare struct {
	mu       sync.Mutex
	counters map[beyondShareKey]tally.Counter
}

type beyondShareKey struct{ service, workspace string }

// CountBeyondShare counts a request beyond the share of its workspace at a service.
func (m *Metrics) CountBeyondShare(service, workspace string) {
	b := &m.beyondShare
	b.mu.Lock()
	defer b.mu.Unlock()
	key := beyondShareKey{service: service, workspace: workspace}
	if b.counters[key] == nil && len(b.counters) >= maxBeyondShareWorkspaces {
		key = beyondShareKey{service: otherWorkspaces, workspace: otherWorkspaces}
	}
	c := b.counters[key]
	if c == nil {
		c = m.scope.Tagged(map[string]string{"service": key.service, "workspace": key.workspace}).Counter("requests_beyond_share")
		if b.counters == nil {
			b.counters = map[beyondShareKey]tally.Counter{}
		}
		b.counters[key] = c
	}
	c.Inc(1)
}

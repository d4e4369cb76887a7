package gateway

import (
	"sync"
	"time"

	"parsleyhatch/config"
)

// failurePause is how long a failed upstream is avoided.
const failurePause = 2 * time.Second

// healthTable counts the outstanding requests of upstreams and remembers failures.
type healthTable struct {
	mu          sync.Mutex
	outstanding map[string]int
	failedUntil map[string]time.Time
}

// pick returns the usable upstream with the fewest outstanding requests of this VM.
func (t *healthTable) pick(now time.Time, list []*config.Upstream, region string, exclude map[string]bool) *config.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *config.Upstream
	for _, u := range list {
		if u.Region != region || u.State == config.StateDraining || exclude[u.Name] {
			continue
		}
		if now.Before(t.failedUntil[u.Name]) {
			continue
		}
		if best == nil || t.outstanding[u.Name] < t.outstanding[best.Name] {
			best = u
		}
	}
	if best != nil {
		if t.outstanding == nil {
			t.outstanding = map[string]int{}
		}
		t.outstanding[best.Name]++
	}
	return best
}

func (t *healthTable) release(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outstanding[name]--
}

func (t *healthTable) failed(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failedUntil[name] = now.Add(failurePause)
}

// upstreamStatus lists the upstreams of the own region.
func (g *Gateway) upstreamStatus(s *config.Snapshot, now time.Time) []UpstreamStatus {
	g.health.mu.Lock()
	defer g.health.mu.Unlock()
	var list []UpstreamStatus
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if u.Region != g.Self.Region {
			continue
		}
		state := u.State
		switch {
		case now.Before(g.health.failedUntil[u.Name]):
			state = "failed"
		case state == "":
			state = config.StateActive
		}
		list = append(list, UpstreamStatus{Name: u.Name, State: state, Outstanding: g.health.outstanding[u.Name]})
	}
	return list
}

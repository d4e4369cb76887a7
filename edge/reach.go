package edge

import (
	"time"

	"parsleyhatch/event"
	"parsleyhatch/replica"
)

// recordUnreachable records that no connection to an upstream could be opened.
func (e *Edge) recordUnreachable(pick *replica.Pick, err error) {
	if e.Replicas.RecordUnreachable(e.Now(), pick.ID) {
		event.UpstreamUnreachable.Log(e.Log, "upstream", pick.ID, "error", err.Error())
	}
}

// recordReachable records that an upstream answered.
func (e *Edge) recordReachable(pick *replica.Pick) {
	if away := e.Replicas.RecordReachable(e.Now(), pick.ID); away > 0 {
		event.UpstreamReachable.Log(e.Log, "upstream", pick.ID, "awayMillis", away.Milliseconds())
	}
}

// markCold marks an upstream as cold for the time that its answer states.
func (e *Edge) markCold(id string, left time.Duration) {
	if e.Replicas.MarkCold(e.Now(), id, left) {
		event.UpstreamCold.Log(e.Log, "upstream", id, "leftMillis", left.Milliseconds(), "sharers", e.Replicas.Sharers())
	}
}

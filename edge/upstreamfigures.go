package edge

import (
	"parsleyhatch/event"
	"parsleyhatch/pace"
	"parsleyhatch/platform"
	"parsleyhatch/upstream"
)

// recordLength records the length of a stream that an upstream has sent completely.
func (e *Edge) recordLength(r *request, out Outcome) {
	if out.Complete && r.events > 0 && r.lastEvent == "" && r.runs == 1 {
		hint := platform.ParseLengthHint(r.header)
		if most := r.prompt.MaxAnswerTokens; most > 0 {
			hint = min(hint, most)
		}
		e.lengths.Record(e.Now(), r.route.Name, r.events, hint)
	}
}

// recordLoad records the load that an upstream states in an answer.
func (e *Edge) recordLoad(id string, a *upstream.Response) {
	load, stated, err := platform.ParseLoad(a.Header)
	if err != nil {
		e.Metrics.AddCounter("invalid_upstream_loads", 1)
		if e.loadLog.allows(e.Now()) {
			event.UpstreamLoadInvalid.Log(e.Log, "upstream", id, "error", err.Error())
		}
		return
	}
	if stated {
		e.Replicas.RecordLoad(e.Now(), id, pace.Load{Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Percent: load.Percent})
	}
}

package replica

import (
	"time"

	"parsleyhatch/pace"
)

// Result is the outcome of a request at an upstream.
type Result uint8

// Results of requests.
const (
	// Answered means that the upstream sent a complete answer.
	Answered Result = iota
	// Failed means that the upstream answered with an error or aborted the answer.
	Failed
	// Shed means that the upstream refused the request without running it.
	Shed
	// Unreachable means that no connection could be established.
	Unreachable
	// Misdirected means that another upstream uses the address.
	Misdirected
	// RequestCancelled means that the caller disconnected or its time limit was exceeded.
	RequestCancelled
	// NoResponse means that the upstream sent nothing within the request's time limit.
	NoResponse
)

// FirstToken records that the first token of a pick's answer has arrived.
func (t *Table) FirstToken(now time.Time, p *Pick) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[p.ID]
	if r == nil || p.UncachedTokens == 0 && p.pickedAt.IsZero() {
		return
	}
	t.changedUses[r.ID] = true
	service, elapsed := t.paceOf(r.Service), now.Sub(p.pickedAt)
	r.pace.RecordFirst(now, service, elapsed, p.UncachedTokens, p.othersTokens)
	service.RecordBias(now, p.rank, elapsed, p.unbiased)
	r.endReading(p.rank, p.UncachedTokens)
	p.UncachedTokens = 0
	if p.FirstToken > 0 {
		ratio := float64(elapsed) / float64(p.FirstToken)
		r.slowness += slownessWeight * (min(ratio, 10) - r.slowness)
	}
}

// RecordEvents records the mean time between a number of consecutive events of a stream of an upstream.
func (t *Table) RecordEvents(now time.Time, p *Pick, gap time.Duration, events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.upstreams[p.ID]; r != nil {
		r.pace.RecordGap(now, t.paceOf(r.Service), gap, events)
		t.changedUses[r.ID] = true
	}
}

// RecordLoad records the load that an upstream has stated in an answer.
func (t *Table) RecordLoad(now time.Time, id string, l pace.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.upstreams[id]; r != nil {
		r.pace.RecordLoad(now, l)
	}
}

// Done records the result of a pick and removes its load from the upstream.
func (t *Table) Done(now time.Time, p *Pick, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.upstreams[p.ID]
	if r == nil {
		return
	}
	t.changedUses[r.ID] = true
	r.localUse.Running = max(0, r.localUse.Running-1)
	r.endReading(p.rank, p.UncachedTokens)
	r.localUse.Held = max(0, r.localUse.Held-p.heldTokens)
	if r.localUse.Running == 0 {
		r.localUse, r.reading = Use{}, nil
	}
	t.recordResult(now, r, result)
}

// RecordSilence records that the upstream of a pick sends nothing, while the request goes on there.
func (t *Table) RecordSilence(now time.Time, p *Pick) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.upstreams[p.ID]; r != nil {
		t.recordResult(now, r, NoResponse)
	}
}

func (t *Table) recordResult(now time.Time, r *upstreamState, result Result) {
	switch result {
	case Answered:
		r.setFailureShare(now, r.failureShare(now)*(1-failureWeight))
		r.backoff = 0
	case Failed, NoResponse:
		r.setFailureShare(now, r.failureShare(now)*(1-failureWeight)+failureWeight)
	case Unreachable:
		r.startBackoff(now)
	case Misdirected:
		delete(t.upstreams, r.ID)
		t.indexStale = true
	case Shed:
		// A full upstream receives no requests for a short time, so that it can finish some.
		r.backoffUntil = now.Add(t.refusalPause(r))
	case RequestCancelled:
	}
}

// shedPause is the time without new requests after an upstream refused one because it was full.
const shedPause = 30 * time.Millisecond

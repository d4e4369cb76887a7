package replica

import "time"

// Result is how a request ended at an upstream.
type Result uint8

// Results of requests.
const (
	// Answered means that the upstream gave a whole answer.
	Answered Result = iota
	// Failed means that the upstream answered with an error, or broke off.
	Failed
	// Shed means that the upstream refused the request without running it.
	Shed
	// Unreachable means that no connection was made.
	Unreachable
	// Misdirected means that another upstream has the address.
	Misdirected
	// Abandoned means that the caller left or its time was over.
	Abandoned
	// Silent means that the upstream sent nothing until the request's time was over.
	Silent
)

// FirstToken tells that the answer of a pick has begun.
func (t *Table) FirstToken(now time.Time, p *Pick) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[p.ID]
	if r == nil || p.Uncached == 0 && p.begunAt.IsZero() {
		return
	}
	t.used[r.ID] = true
	r.own.Prefill[p.rank] = max(0, r.own.Prefill[p.rank]-p.Uncached)
	p.Uncached = 0
	if p.FirstToken > 0 {
		ratio := float64(now.Sub(p.begunAt)) / float64(p.FirstToken)
		r.slowness += slowWeight * (min(ratio, 10) - r.slowness)
	}
}

// Done ends a pick.
func (t *Table) Done(now time.Time, p *Pick, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[p.ID]
	if r == nil {
		return
	}
	t.used[r.ID] = true
	r.own.Running = max(0, r.own.Running-1)
	r.own.Prefill[p.rank] = max(0, r.own.Prefill[p.rank]-p.Uncached)
	r.own.Held = max(0, r.own.Held-p.held)
	if r.own.Running == 0 {
		r.own = Use{}
	}
	t.judge(now, r, result)
}

func (t *Table) judge(now time.Time, r *row, result Result) {
	switch result {
	case Answered:
		r.setFailures(now, r.failureShare(now)*(1-failureWeight))
		r.backoff = 0
	case Failed, Silent:
		r.setFailures(now, r.failureShare(now)*(1-failureWeight)+failureWeight)
	case Unreachable:
		r.backOff(now)
	case Misdirected:
		delete(t.rows, r.ID)
		t.changed = true
	case Shed:
		// A full upstream gets a moment to finish requests.
		r.downUntil = now.Add(shedPause)
	case Abandoned:
	}
}

// shedPause is the time without new requests after an upstream refused one because it was full.
const shedPause = 30 * time.Millisecond

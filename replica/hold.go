package replica

import "time"

// maxHold bounds the time for which an upstream can ask for no requests, so that a mistaken value does not end its use.
const maxHold = time.Minute

// ReturnTime is the time over which a VM fills its share of the slots of an upstream that wants requests again. All that waited would
// meet it at once otherwise, and it would refuse most of them.
const ReturnTime = time.Second

// hold is the time for which a lifetime of an upstream has asked this VM for no requests.
type hold struct {
	born  int64
	until time.Time
}

// nextStart returns the time from which this VM may have one more request than it has running, if it has a share of the slots.
func (h *hold) nextStart(running, share int) time.Time {
	if running >= share {
		return h.until.Add(ReturnTime)
	}
	return h.until.Add(ReturnTime * time.Duration(running) / time.Duration(share))
}

// HoldBack records that a lifetime of an upstream has refused a request and wants nothing from this VM for a time. The latest end
// counts: each refusal binds on its own. It returns that end, and whether it is news: an end that moves by less than ReturnTime is not.
func (t *Table) HoldBack(now time.Time, id string, born int64, wanted time.Duration) (until time.Time, news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetHolds(now)
	h := t.holds[id]
	if h != nil && h.born > born {
		return time.Time{}, false
	}
	if h == nil || h.born < born {
		h = &hold{born: born}
		t.holds[id] = h
	}
	until = now.Add(min(wanted, maxHold))
	news = until.Sub(h.until) >= ReturnTime || !now.Before(h.until)
	if until.After(h.until) {
		h.until = until
	}
	if r := t.upstreams[id]; r != nil && r.Born == born {
		r.hold = h
	}
	return h.until, news
}

// forgetHolds drops the holds that have ended, with the return after them.
func (t *Table) forgetHolds(now time.Time) {
	for id, h := range t.holds {
		if now.Before(h.until.Add(ReturnTime)) {
			continue
		}
		delete(t.holds, id)
		if r := t.upstreams[id]; r != nil {
			r.hold = nil
		}
	}
}

// holdOf returns the hold of a lifetime of an upstream, or nil. Registrations may lapse while it lasts.
func (t *Table) holdOf(e Registration) *hold {
	if h := t.holds[e.ID]; h != nil && h.born == e.Born {
		return h
	}
	return nil
}

// heldBackUntil returns the time from which this VM may send the next request to an upstream that has asked for none, zero if it may
// now.
func (t *Table) heldBackUntil(now time.Time, r *upstreamState) time.Time {
	if r.hold == nil || !now.Before(r.hold.until.Add(ReturnTime)) {
		return time.Time{}
	}
	if now.Before(r.hold.until) {
		return r.hold.until
	}
	if next := r.hold.nextStart(r.localUse.Running, t.slotShare(now, r)); now.Before(next) {
		return next
	}
	return time.Time{}
}

// isHeldBack reports whether the upstream wants nothing from this VM now.
func (t *Table) isHeldBack(now time.Time, r *upstreamState) bool {
	return r.hold != nil && !t.heldBackUntil(now, r).IsZero()
}

// HeldBackFor returns the time until the first upstream of a service wants requests again, zero if one does now or there is none.
func (t *Table) HeldBackFor(now time.Time, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuildIndex()
	var first time.Duration
	for _, r := range t.byService[service] {
		if t.isWithdrawn(r) {
			continue
		}
		next := t.heldBackUntil(now, r)
		if next.IsZero() {
			return 0
		}
		if left := next.Sub(now); first == 0 || left < first {
			first = left
		}
	}
	return first
}

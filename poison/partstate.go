package poison

import (
	"slices"
	"time"

	"parsleyhatch/event"
)

// partEntry is a part with crashes that no completion and no answer has discarded.
type partEntry struct {
	// crashes maps the lifetimes of upstreams to the times of their crashes. It is not empty.
	crashes map[Lifetime]time.Time
	// clearedAt is the time of the latest completion, zero if none is known.
	clearedAt time.Time
	// quarantined is set while the crashes suffice for a quarantine, which began at quarantinedAt. probes is the number of
	// requests that this VM has sent since then.
	quarantined   bool
	quarantinedAt time.Time
	probes        int
}

// lastCrash returns the time of the latest crash.
func (e *partEntry) lastCrash() time.Time {
	var last time.Time
	for _, at := range e.crashes {
		last = latest(last, at)
	}
	return last
}

// evictBefore reports whether e is evicted before o when the table is full: the part with fewer crashes, or else the one
// whose last crash is older.
func (e *partEntry) evictBefore(o *partEntry) bool {
	if e.quarantined != o.quarantined {
		return !e.quarantined
	}
	if len(e.crashes) != len(o.crashes) {
		return len(e.crashes) < len(o.crashes)
	}
	return e.lastCrash().Before(o.lastCrash())
}

// suffices reports whether the crashes suffice for a quarantine.
func (e *partEntry) suffices(limits PartLimits) bool {
	n := e.episodes(limits.EpisodeLength)
	return n >= limits.MaxEpisodes || n > 1 && len(e.crashes) >= limits.MaxUpstreams
}

// episodes returns the number of episodes of the crashes.
func (e *partEntry) episodes(length time.Duration) int {
	times := make([]time.Time, 0, len(e.crashes))
	for _, at := range e.crashes {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var start time.Time
	for _, at := range times {
		if n == 0 || at.Sub(start) >= length {
			n++
			start = at
		}
	}
	return n
}

// completion is the latest completion of a part.
type completion struct {
	at time.Time
	// announced is the time of the latest completion that was reported to another VM, zero if there is none.
	announced time.Time
}

// partCompletions remembers the latest completions of parts in two generations, of which the older one is dropped.
type partCompletions struct {
	recent, older map[Part]*completion
	startedAt     time.Time
}

func (c *partCompletions) get(p Part) *completion {
	if found := c.recent[p]; found != nil {
		return found
	}
	return c.older[p]
}

// add records a completion.
func (c *partCompletions) add(now time.Time, p Part, at time.Time, limits PartLimits) {
	found := c.recent[p]
	if found == nil {
		if now.Sub(c.startedAt) > limits.CompletionMemory || len(c.recent) >= limits.MaxCompletions/2 {
			c.recent, c.older, c.startedAt = map[Part]*completion{}, c.recent, now
		}
		if found = c.older[p]; found == nil {
			found = &completion{}
		}
		c.recent[p] = found
	}
	found.at = latest(found.at, at)
}

// isExpired reports whether the last crash of a part is too old to count.
func (t *Parts) isExpired(now time.Time, e *partEntry) bool {
	return now.Sub(e.lastCrash()) >= t.limits.Lifetime
}

// entry returns the entry of a part, or nil. It drops an expired one.
func (t *Parts) entry(now time.Time, p Part) *partEntry {
	e := t.entries[p]
	if e != nil && t.isExpired(now, e) {
		delete(t.entries, p)
		return nil
	}
	return e
}

// dropExpired drops the expired parts and upstreams.
func (t *Parts) dropExpired(now time.Time) {
	for p, e := range t.entries {
		if t.isExpired(now, e) {
			delete(t.entries, p)
		}
	}
	for l, known := range t.lifetimes {
		if now.Sub(known.lastChange()) >= t.limits.Lifetime {
			delete(t.lifetimes, l)
		}
	}
}

// clearedAt returns the time of the latest known completion of a part, zero if none is known.
func (t *Parts) clearedAt(p Part) time.Time {
	var at time.Time
	if c := t.completions.get(p); c != nil {
		at = c.at
	}
	if e := t.entries[p]; e != nil {
		at = latest(at, e.clearedAt)
	}
	return at
}

// isDiscarded reports whether a crash is discarded by a completion of the part or an answer of the upstream.
func (t *Parts) isDiscarded(p Part, l Lifetime, at time.Time) bool {
	if cleared := t.clearedAt(p); !cleared.IsZero() && !at.After(cleared.Add(t.limits.CompletionMargin)) {
		return true
	}
	known := t.lifetimes[l]
	return known != nil && !at.After(known.answeredAt)
}

// addCrash adds a crash at a time and reports whether the upstream is a new one for the part.
func (t *Parts) addCrash(now time.Time, p Part, l Lifetime, at time.Time) bool {
	if t.isDiscarded(p, l, at) {
		return false
	}
	t.lifetime(l).lostAt = latest(t.lifetime(l).lostAt, at)
	e := t.entry(now, p)
	if e == nil {
		t.evictPart()
		e = &partEntry{crashes: map[Lifetime]time.Time{}, clearedAt: t.clearedAt(p)}
		t.entries[p] = e
	}
	previous, known := e.crashes[l]
	e.crashes[l] = latest(previous, at)
	if len(e.crashes) > t.limits.MaxCrashesPerPart {
		e.dropOldestCrash()
	}
	t.update(now, p, e)
	return !known
}

// dropOldestCrash drops the oldest crash.
func (e *partEntry) dropOldestCrash() {
	var oldest Lifetime
	found := false
	for l, at := range e.crashes {
		if !found || at.Before(e.crashes[oldest]) {
			oldest, found = l, true
		}
	}
	delete(e.crashes, oldest)
}

// addAnswer discards the crashes of an upstream up to a time, and reports whether there were any.
func (t *Parts) addAnswer(now time.Time, l Lifetime, sentAt time.Time) bool {
	known := t.lifetime(l)
	known.answeredAt = latest(known.answeredAt, sentAt)
	removed := false
	for p, e := range t.entries {
		if at, ok := e.crashes[l]; ok && !at.After(known.answeredAt) {
			delete(e.crashes, l)
			t.update(now, p, e)
			removed = true
		}
	}
	return removed
}

// addCompletion records a completion of a part, and reports whether the part was suspected.
func (t *Parts) addCompletion(now time.Time, p Part, at time.Time) bool {
	t.completions.add(now, p, at, t.limits)
	e := t.entry(now, p)
	if e == nil {
		return false
	}
	e.clearedAt = latest(e.clearedAt, at)
	limit := e.clearedAt.Add(t.limits.CompletionMargin)
	removed := false
	for l, crashedAt := range e.crashes {
		if !crashedAt.After(limit) {
			delete(e.crashes, l)
			removed = true
		}
	}
	t.update(now, p, e)
	return removed
}

// update derives the state of a part after its crashes have changed.
func (t *Parts) update(now time.Time, p Part, e *partEntry) {
	was := e.quarantined
	e.quarantined = e.suffices(t.limits)
	switch {
	case e.quarantined && !was:
		e.quarantinedAt, e.probes = now, 0
		event.PartQuarantined.Log(t.Log, "part", p.logHash(), "service", p.Service, "crashes", len(e.crashes))
	case was && !e.quarantined:
		event.PartCleared.Log(t.Log, "part", p.logHash(), "service", p.Service, "crashes", len(e.crashes))
	}
	if len(e.crashes) == 0 {
		delete(t.entries, p)
	}
}

// evictPart makes room for another part.
func (t *Parts) evictPart() {
	if len(t.entries) < t.limits.MaxParts {
		return
	}
	var victim Part
	var victimEntry *partEntry
	for p, e := range t.entries {
		if victimEntry == nil || e.evictBefore(victimEntry) {
			victim, victimEntry = p, e
		}
	}
	delete(t.entries, victim)
	event.PoisonFull.Log(t.Log, "part", victim.logHash())
}

// lifetime returns the entry of an upstream, and adds it if there is none.
func (t *Parts) lifetime(l Lifetime) *lifetimeEntry {
	known := t.lifetimes[l]
	if known != nil {
		return known
	}
	if len(t.lifetimes) >= t.limits.MaxLifetimes {
		t.evictLifetime()
	}
	known = &lifetimeEntry{}
	t.lifetimes[l] = known
	return known
}

// evictLifetime drops the upstream that changed least recently.
func (t *Parts) evictLifetime() {
	var victim Lifetime
	found := false
	for l, known := range t.lifetimes {
		if !found || known.lastChange().Before(t.lifetimes[victim].lastChange()) {
			victim, found = l, true
		}
	}
	delete(t.lifetimes, victim)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

package poison

import (
	"sync"
	"time"
)

// BreakLimits configure a table of answers that were broken off.
type BreakLimits struct {
	// Memory is the time for which answers that were broken off are remembered.
	Memory time.Duration
	// EpisodeLength is the time within which answers that one upstream breaks off have one cause, such as a process that ends.
	EpisodeLength time.Duration
	// MinEpisodes is the number of episodes of other requests from which the upstream counts as the cause.
	MinEpisodes int
	// MaxExcused is the number of times for which the same request is excused until there was no excuse for ExcuseMemory. It bounds the
	// processes that a request crashes at upstreams that also break off other answers.
	MaxExcused   int
	ExcuseMemory time.Duration
	// MaxPerUpstream and MaxEntries bound the answers that are remembered of an upstream, and the upstreams and requests.
	MaxPerUpstream int
	MaxEntries     int
}

// DefaultBreakLimits returns the limits for production.
func DefaultBreakLimits() BreakLimits {
	return BreakLimits{
		Memory: 5 * time.Second, EpisodeLength: 50 * time.Millisecond, MinEpisodes: 2, MaxExcused: 12, ExcuseMemory: 2 * time.Minute,
		MaxPerUpstream: 64, MaxEntries: 4096,
	}
}

// Breaks holds the answers that upstreams broke off at this VM, in order to distinguish upstreams that break off the answers to any request
// from requests that crash any upstream. It is safe for concurrent use.
type Breaks struct {
	limits BreakLimits

	mu        sync.Mutex
	upstreams map[Lifetime][]brokenAnswer
	excused   map[Fingerprint]excuse
}

// brokenAnswer is an answer to a request that an upstream broke off at a time.
type brokenAnswer struct {
	fingerprint Fingerprint
	at          time.Time
}

// excuse counts how often a request was excused, lastly at a time.
type excuse struct {
	count int
	at    time.Time
}

// NewBreaks returns an empty table.
func NewBreaks(limits BreakLimits) *Breaks {
	return &Breaks{limits: limits, upstreams: map[Lifetime][]brokenAnswer{}, excused: map[Fingerprint]excuse{}}
}

// Record records that an upstream broke off its answer to a request.
func (b *Breaks) Record(now time.Time, l Lifetime, f Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.upstreams[l]
	if list == nil && !b.hasRoom(now, len(b.upstreams)) {
		return // The answer explains no other one.
	}
	for len(list) > 0 && (b.expired(now, list[0].at) || len(list) >= b.limits.MaxPerUpstream) {
		list = list[1:]
	}
	b.upstreams[l] = append(list, brokenAnswer{fingerprint: f, at: now})
}

// Excuse reports whether the upstream that broke off its answer to a request is the cause: it has broken off its answers to other
// requests, too, at times at which it did not run this one. It counts the excuse.
func (b *Breaks) Excuse(now time.Time, l Lifetime, f Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.excused[f]
	if now.Sub(e.at) > b.limits.ExcuseMemory {
		e = excuse{}
	}
	if e.count >= b.limits.MaxExcused || b.otherEpisodes(now, l, f) < b.limits.MinEpisodes {
		return false
	}
	if e.count == 0 && !b.hasRoom(now, len(b.excused)) {
		return false
	}
	b.excused[f] = excuse{count: e.count + 1, at: now}
	return true
}

// otherEpisodes returns the number of episodes in which an upstream broke off its answers to others than a request, each to
// another one.
func (b *Breaks) otherEpisodes(now time.Time, l Lifetime, f Fingerprint) int {
	list := b.upstreams[l]
	counted := map[Fingerprint]bool{}
	var last time.Time
	for _, x := range list {
		if b.expired(now, x.at) || counted[x.fingerprint] || len(counted) > 0 && x.at.Sub(last) < b.limits.EpisodeLength || b.isNear(list, f, x.at) {
			continue
		}
		counted[x.fingerprint], last = true, x.at
	}
	return len(counted)
}

// isNear reports whether the list has an answer to a request that was broken off in the same episode as one at a time.
func (b *Breaks) isNear(list []brokenAnswer, f Fingerprint, at time.Time) bool {
	for _, x := range list {
		if x.fingerprint == f && x.at.Sub(at).Abs() < b.limits.EpisodeLength {
			return true
		}
	}
	return false
}

// hasRoom reports whether another entry may be added to a map with a number of entries. It drops expired entries if there are too many.
func (b *Breaks) hasRoom(now time.Time, entries int) bool {
	if entries < b.limits.MaxEntries {
		return true
	}
	b.dropExpired(now)
	return len(b.upstreams) < b.limits.MaxEntries && len(b.excused) < b.limits.MaxEntries
}

// dropExpired drops what is not remembered any more.
func (b *Breaks) dropExpired(now time.Time) {
	for l, list := range b.upstreams {
		if b.expired(now, list[len(list)-1].at) {
			delete(b.upstreams, l)
		}
	}
	for f, e := range b.excused {
		if now.Sub(e.at) > b.limits.ExcuseMemory {
			delete(b.excused, f)
		}
	}
}

// expired reports whether a time is longer ago than Memory.
func (b *Breaks) expired(now, at time.Time) bool { return now.Sub(at) > b.limits.Memory }

package choose

import (
	"sync"
	"time"
)

const (
	// prefixSets times prefixWays is the bound of the table: 32,768 prefixes, about 2.4 MB.
	prefixSets  = 8192
	prefixWays  = 4
	prefixLocks = 64
	// prefixHolders is the number of upstreams remembered for one prefix.
	prefixHolders = 3
	// prefixLife is the age at which a holder is forgotten, since engines evict without telling
	// and events have gaps.
	prefixLife = 2 * time.Minute
)

type holder struct {
	upstream *Upstream
	at       int64
}

type prefixEntry struct {
	hash    uint64
	usedAt  int64
	holders [prefixHolders]holder
}

// prefixes remembers which upstreams probably hold a prompt prefix. It is a set-associative table of
// fixed size, so that recording never allocates.
type prefixes struct {
	locks [prefixLocks]sync.Mutex
	sets  [prefixSets][prefixWays]prefixEntry
}

// lookup copies the holders of a prefix.
func (p *prefixes) lookup(hash uint64, now int64) [prefixHolders]holder {
	set := hash % prefixSets
	lock := &p.locks[set%prefixLocks]
	lock.Lock()
	defer lock.Unlock()
	for i := range p.sets[set] {
		e := &p.sets[set][i]
		if e.hash == hash {
			e.usedAt = now
			return e.holders
		}
	}
	return [prefixHolders]holder{}
}

// add records that an upstream holds a prefix. It replaces the entry and the holder used longest ago.
func (p *prefixes) add(hash uint64, u *Upstream, now int64) {
	set := hash % prefixSets
	lock := &p.locks[set%prefixLocks]
	lock.Lock()
	defer lock.Unlock()
	oldest := &p.sets[set][0]
	for i := range p.sets[set] {
		e := &p.sets[set][i]
		if e.hash == hash {
			e.usedAt = now
			e.hold(u, now)
			return
		}
		if e.usedAt < oldest.usedAt {
			oldest = e
		}
	}
	*oldest = prefixEntry{hash: hash, usedAt: now}
	oldest.hold(u, now)
}

func (e *prefixEntry) hold(u *Upstream, now int64) {
	oldest := 0
	for i := range e.holders {
		if e.holders[i].upstream == u {
			e.holders[i].at = max(e.holders[i].at, now)
			return
		}
		if e.holders[i].at < e.holders[oldest].at {
			oldest = i
		}
	}
	e.holders[oldest] = holder{upstream: u, at: now}
}

// remove records that an upstream evicted a prefix. An event older than the newest send is ignored:
// that send has filled the cache again.
func (p *prefixes) remove(hash uint64, u *Upstream, at int64) {
	set := hash % prefixSets
	lock := &p.locks[set%prefixLocks]
	lock.Lock()
	defer lock.Unlock()
	for i := range p.sets[set] {
		e := &p.sets[set][i]
		if e.hash != hash {
			continue
		}
		for h := range e.holders {
			if e.holders[h].upstream == u && e.holders[h].at <= at {
				e.holders[h] = holder{}
			}
		}
	}
}

// confidence returns how likely it is that the holder still has the prefix, in [0, 1].
func (h holder) confidence(now int64) float64 {
	age := now - h.at
	if h.upstream == nil || age >= int64(prefixLife) {
		return 0
	}
	c := 1 - float64(max(age, 0))/float64(prefixLife)
	if h.at <= h.upstream.gapAt.Load() {
		// An eviction may have been among the lost events.
		c *= 0.5
	}
	return c
}

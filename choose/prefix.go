package choose

import (
	"sync"
	"time"
)

const (
	// prefixSets times prefixWays is the number of prefixes in the table: 32,768, which take about
	// 2.4 MB.
	prefixSets  = 8192
	prefixWays  = 4
	prefixLocks = 64
	// maxPrefixHolders is the number of upstreams recorded for one prefix.
	maxPrefixHolders = 3
	// prefixTTL is the age at which a holder is no longer considered. Engines can evict prefixes
	// without an event, and event streams have gaps.
	prefixTTL = 2 * time.Minute
)

// holder is an upstream that probably has a prefix cached. at is the Unix time in nanoseconds when
// it last received or reported the prefix.
type holder struct {
	upstream *Upstream
	at       int64
}

// prefixEntry records the holders of one prefix. The times are Unix nanoseconds.
type prefixEntry struct {
	hash    uint64
	usedAt  int64
	holders [maxPrefixHolders]holder
}

// prefixTable records which upstreams probably have a prompt prefix in their cache. It is a
// set-associative table of fixed size, so that recording a prefix never allocates.
type prefixTable struct {
	locks [prefixLocks]sync.Mutex
	sets  [prefixSets][prefixWays]prefixEntry
}

// lookup returns a copy of the holders of a prefix.
func (p *prefixTable) lookup(hash uint64, now int64) [maxPrefixHolders]holder {
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
	return [maxPrefixHolders]holder{}
}

// add records that an upstream holds a prefix. If there is no room, it replaces the least recently
// used entry of the set.
func (p *prefixTable) add(hash uint64, u *Upstream, now int64) {
	set := hash % prefixSets
	lock := &p.locks[set%prefixLocks]
	lock.Lock()
	defer lock.Unlock()
	oldest := &p.sets[set][0]
	for i := range p.sets[set] {
		e := &p.sets[set][i]
		if e.hash == hash {
			e.usedAt = now
			e.addHolder(u, now)
			return
		}
		if e.usedAt < oldest.usedAt {
			oldest = e
		}
	}
	*oldest = prefixEntry{hash: hash, usedAt: now}
	oldest.addHolder(u, now)
}

// addHolder records a holder. If all places are taken, it replaces the one with the oldest time.
func (e *prefixEntry) addHolder(u *Upstream, now int64) {
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

// remove records that an upstream evicted a prefix. An eviction older than the latest send of the
// prefix is ignored, because that send has filled the cache again.
func (p *prefixTable) remove(hash uint64, u *Upstream, at int64) {
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

// confidence returns how likely the holder still has the prefix, in [0, 1].
func (h holder) confidence(now int64) float64 {
	age := now - h.at
	if h.upstream == nil || age >= int64(prefixTTL) {
		return 0
	}
	c := 1 - float64(max(age, 0))/float64(prefixTTL)
	if h.at <= h.upstream.eventGapAt.Load() {
		// An eviction may have been among the lost events.
		c *= 0.5
	}
	return c
}

package standin

import "time"

// maxCacheEvents bounds the events that an engine keeps.
const maxCacheEvents = 4096

// CacheEvent tells of a prefix that entered or left an engine's cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is "add" or "evict".
	Op     string `json:"op"`
	Prefix string `json:"prefix"`

	visible time.Time
	lost    bool
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of after for the next page.
	Next uint64 `json:"next"`
}

// prefixCache holds prefixes up to a number of tokens and evicts the least recently used.
type prefixCache struct {
	size   int
	tokens int
	// order lists the prefixes, least recently used first.
	order  []string
	cached map[string]int
	seq    uint64
	events []CacheEvent
}

// reset empties the cache. Sequence numbers go on, and no event tells of the lost prefixes.
func (c *prefixCache) reset(size int) {
	c.size, c.tokens, c.order = size, 0, nil
	c.cached = map[string]int{}
}

// touch returns the cached tokens of the prefix, 0 if it is not cached.
func (c *prefixCache) touch(prefix string) int {
	tokens, ok := c.cached[prefix]
	if !ok {
		return 0
	}
	c.remove(prefix)
	c.order = append(c.order, prefix)
	return tokens
}

func (c *prefixCache) remove(prefix string) {
	for i, p := range c.order {
		if p == prefix {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// add caches a prefix and returns the operations that this took.
func (c *prefixCache) add(prefix string, tokens int) []CacheEvent {
	if prefix == "" || tokens <= 0 || tokens > c.size || c.touch(prefix) > 0 {
		return nil
	}
	var ops []CacheEvent
	for c.tokens+tokens > c.size {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.tokens -= c.cached[oldest]
		delete(c.cached, oldest)
		ops = append(ops, CacheEvent{Op: "evict", Prefix: oldest})
	}
	c.cached[prefix] = tokens
	c.order = append(c.order, prefix)
	c.tokens += tokens
	return append(ops, CacheEvent{Op: "add", Prefix: prefix})
}

// publish numbers an event and keeps it.
func (c *prefixCache) publish(ev CacheEvent) {
	c.seq++
	ev.Seq = c.seq
	c.events = append(c.events, ev)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// page returns the events after a number that are visible by now.
func (c *prefixCache) page(now time.Time, after uint64) CacheEvents {
	page := CacheEvents{Events: []CacheEvent{}, Next: after}
	for _, ev := range c.events {
		if ev.visible.After(now) {
			break
		}
		if ev.Seq <= after {
			continue
		}
		page.Next = ev.Seq
		if !ev.lost {
			page.Events = append(page.Events, ev)
		}
	}
	return page
}

// cachePrefix caches a prefix and publishes the events.
func (e *Engine) cachePrefix(prefix string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, ev := range e.cache.add(prefix, tokens) {
		ev.visible = now.Add(e.settings.CacheEventDelay)
		ev.lost = e.rng.Float64() < e.settings.CacheEventLoss
		e.cache.publish(ev)
	}
	e.recordLoad(now)
}

package loadbench

import (
	"container/list"

	"parsleyhatch/replica"
)

// partCache keeps the parts of prompts in an engine's memory. Parts that no request uses yield, the least
// recently used first.
type partCache struct {
	memory int64
	parts  map[uint64]*cachedPart
	// idle holds the parts that no request uses, the least recently used first.
	idle *list.List
	// referenced and held are the tokens of parts in use and of all parts.
	referenced, held int64
}

type cachedPart struct {
	id     uint64
	tokens int64
	uses   int
	idle   *list.Element
}

func newPartCache(memory int64) *partCache {
	return &partCache{memory: memory, parts: map[uint64]*cachedPart{}, idle: list.New()}
}

// take makes room for the parts of a prompt beside other memory, and returns how many tokens at its start
// need not be read. It reports false if there is no room.
func (c *partCache) take(parts []replica.Part, other int64) (int64, bool) {
	need := int64(0)
	for _, p := range parts {
		if held := c.parts[p.ID]; held == nil || held.uses == 0 {
			need += p.Tokens
		}
	}
	if c.referenced+need+other > c.memory && c.referenced > 0 {
		return 0, false
	}
	cached, whole := int64(0), true
	for _, p := range parts {
		held := c.parts[p.ID]
		if held == nil {
			whole = false
			held = &cachedPart{id: p.ID, tokens: p.Tokens}
			c.parts[p.ID] = held
			c.held += p.Tokens
		} else if whole {
			cached += p.Tokens
		}
		c.use(held)
	}
	c.evict(other)
	return cached, true
}

func (c *partCache) use(p *cachedPart) {
	if p.uses == 0 {
		c.referenced += p.tokens
	}
	p.uses++
	if p.idle != nil {
		c.idle.Remove(p.idle)
		p.idle = nil
	}
}

func (c *partCache) release(parts []replica.Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		p := c.parts[parts[i].ID]
		if p == nil {
			continue
		}
		p.uses--
		if p.uses == 0 {
			c.referenced -= p.tokens
			p.idle = c.idle.PushBack(p)
		}
	}
}

func (c *partCache) evict(other int64) {
	for c.held+other > c.memory && c.idle.Len() > 0 {
		c.evictOldest()
	}
}

// clear drops the parts that no request uses.
func (c *partCache) clear() {
	for c.idle.Len() > 0 {
		c.evictOldest()
	}
}

func (c *partCache) evictOldest() {
	oldest := c.idle.Remove(c.idle.Front()).(*cachedPart)
	delete(c.parts, oldest.id)
	c.held -= oldest.tokens
}

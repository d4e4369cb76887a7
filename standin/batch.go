package standin

import "time"

// batch admits waiting streams by priority, then in order of arrival.
type batch struct {
	size    int
	running int
	waiting []*entry
}

// entry is a stream in front of the batch.
type entry struct {
	priority int
	ready    chan struct{} // Closed when the stream has a slot.
}

func (b *batch) enter(priority int) *entry {
	en := &entry{priority: priority, ready: make(chan struct{})}
	b.waiting = append(b.waiting, en)
	b.fill()
	return en
}

// leave reports whether the entry has a slot; if not, it stops waiting.
func (b *batch) leave(en *entry) bool {
	for i, other := range b.waiting {
		if other == en {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return false
		}
	}
	return true
}

func (b *batch) release() {
	b.running--
	b.fill()
}

func (b *batch) fill() {
	for b.running < b.size && len(b.waiting) > 0 {
		best := 0
		for i, en := range b.waiting {
			if en.priority > b.waiting[best].priority {
				best = i
			}
		}
		en := b.waiting[best]
		b.waiting = append(b.waiting[:best], b.waiting[best+1:]...)
		b.running++
		close(en.ready)
	}
}

// Load is an engine's load report.
type Load struct {
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MaxBatch     int    `json:"maxBatch"`
	CachedTokens int    `json:"cachedTokens"`
	BootID       string `json:"bootId"`
	// AgeMillis is the age of the other fields, in milliseconds.
	AgeMillis int64    `json:"ageMillis"`
	Model     string   `json:"model,omitempty"`
	Version   string   `json:"version,omitempty"`
	Adapters  []string `json:"adapters,omitempty"`
	Role      string   `json:"role,omitempty"`
	// Loading says that the engine does not serve the model yet.
	Loading bool `json:"loading,omitempty"`
}

// loadHistory keeps the reports of the recent past, oldest first.
type loadHistory struct {
	times []time.Time
	loads []Load
}

func (h *loadHistory) add(now time.Time, load Load, keep time.Duration) {
	h.times = append(h.times, now)
	h.loads = append(h.loads, load)
	drop := 0
	for drop+1 < len(h.times) && now.Sub(h.times[drop+1]) > keep {
		drop++
	}
	h.times, h.loads = h.times[drop:], h.loads[drop:]
}

// at returns the last report that is not after the time, or else the oldest.
func (h *loadHistory) at(t time.Time) Load {
	i := len(h.times) - 1
	for i > 0 && h.times[i].After(t) {
		i--
	}
	return h.loads[i]
}

// recordLoad adds the present load to the history; mu is held.
func (e *Engine) recordLoad(now time.Time) {
	e.loads.add(now, Load{
		Running:      e.batch.running,
		Waiting:      len(e.batch.waiting),
		MaxBatch:     e.batch.size,
		CachedTokens: e.cache.tokens,
		BootID:       e.bootID,
		Model:        e.loaded.Model,
		Version:      e.loaded.Version,
		Adapters:     e.loaded.Adapters,
		Role:         e.loaded.Role,
		Loading:      e.loaded.loading,
	}, e.settings.LoadLag)
}

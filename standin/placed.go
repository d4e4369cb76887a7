package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// idlePause is the period at which a load looks for the end of the running streams.
const idlePause = 2 * time.Millisecond

// loadedModel is what a placed engine runs, or loads.
type loadedModel struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	loading  bool
	// number counts the loads, so that one that was replaced does not end its successor.
	number int
}

// place applies an OrderPlace; mu is held.
func (e *Engine) place(o Order) {
	was := e.loaded
	e.loaded = loadedModel{Model: o.Model, Version: o.Version, Adapters: o.Adapters, Role: o.Role, number: was.number + 1}
	weights := missingWeights(was, e.loaded)
	if len(weights) > 0 && !e.closed {
		e.loaded.loading = true
		number := e.loaded.number
		e.loading.Go(func() { e.runLoad(number, weights) })
	}
	e.recordLoad(time.Now())
}

// missingWeights names what a change must read. After an unfinished load everything is read.
func missingWeights(was, next loadedModel) []string {
	var list []string
	fresh := was.loading || was.Model != next.Model || was.Version != next.Version
	if fresh && next.Model != "" {
		list = append(list, WeightName(next.Model, next.Version))
	}
	for _, a := range next.Adapters {
		if fresh || !slices.Contains(was.Adapters, a) {
			list = append(list, a)
		}
	}
	return list
}

// WeightName returns the name of a model's weights in the weight store.
func WeightName(model, version string) string {
	if version == "" {
		return model
	}
	return model + "@" + version
}

// runLoad waits for the streams of the earlier model, whose memory is needed, and reads the weights.
func (e *Engine) runLoad(number int, weights []string) {
	ok := e.waitIdle(number)
	for _, name := range weights {
		ok = ok && e.readWeights(name) == nil
	}
	ok = ok && sleepUntil(e.stop, time.Now().Add(e.settings.LoadTime))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded.number != number {
		return
	}
	if !ok {
		e.loaded = loadedModel{number: number}
	}
	e.loaded.loading = false
	e.cache.reset(e.settings.CacheTokens)
	e.recordLoad(time.Now())
}

// waitIdle returns false if the load was replaced or the engine is closed.
func (e *Engine) waitIdle(number int) bool {
	for {
		e.mu.Lock()
		busy, current := len(e.streams) > 0, e.loaded.number == number
		e.mu.Unlock()
		if !current {
			return false
		}
		if !busy {
			return true
		}
		if !sleepUntil(e.stop, time.Now().Add(idlePause)) {
			return false
		}
	}
}

// readWeights reads from the weight store, which limits the rate over all readers.
func (e *Engine) readWeights(name string) error {
	if e.settings.WeightStore == "" {
		return nil
	}
	ctx, cancel := context.WithCancel(e.stop)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.settings.WeightStore+"/v1/weights/"+name, nil)
	if err != nil {
		return fmt.Errorf("read weights %s: %w", name, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("read weights %s: %w", name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("read weights %s: status %d", name, resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Loading reports whether the engine loads what it was ordered to run.
func (e *Engine) Loading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded.loading
}

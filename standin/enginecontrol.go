package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxOrderBytes bounds the body of an order, maxKVBytes that of imported KV cache.
const (
	maxOrderBytes = 64 << 10
	maxKVBytes    = 64 << 20
)

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
	// OrderPlace names everything that the engine is to run.
	OrderPlace = "place"
)

// Order tells an engine what to load or which role to take.
type Order struct {
	Fencing uint64 `json:"fencing"`
	// Kind is OrderLoad, OrderUnload, OrderRole or OrderPlace.
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Adapters are those of an OrderPlace.
	Adapters []string `json:"adapters,omitempty"`
}

// LastOrder names the highest fencing number that an engine has accepted.
type LastOrder struct {
	Fencing uint64 `json:"fencing"`
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// RefusedOrders returns the orders with an old fencing number, oldest first.
func (e *Engine) RefusedOrders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.refused)
}

// serveCancel ends every stream of a request id.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	set := e.streams[r.PathValue("id")]
	for s := range set {
		s.cancel()
	}
	found := len(set) > 0
	e.mu.Unlock()
	if !found {
		refuse(w, http.StatusNotFound, "no stream %q", r.PathValue("id"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := e.loads.at(time.Now().Add(-e.settings.LoadLag))
	e.mu.Unlock()
	load.AgeMillis = e.settings.LoadLag.Milliseconds()
	writeJSON(w, http.StatusOK, load)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, ok := uintQuery(w, r, "after")
	if !ok {
		return
	}
	e.mu.Lock()
	page := e.cache.page(time.Now(), after)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

// uintQuery reads a number, 0 if it is missing. It answers a malformed one and returns false.
func uintQuery(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "parameter %s: %v", name, err)
		return 0, false
	}
	return value, true
}

func (e *Engine) serveLastOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	last := LastOrder{Fencing: e.fencing}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, last)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, "read order: %v", err)
		return
	}
	if !slices.Contains([]string{OrderLoad, OrderUnload, OrderRole, OrderPlace}, o.Kind) {
		refuse(w, http.StatusBadRequest, "unknown order %q", o.Kind)
		return
	}
	if !e.accept(o) {
		refuse(w, http.StatusConflict, "fencing number %d is not above the last one", o.Fencing)
		return
	}
	writeJSON(w, http.StatusOK, LastOrder{Fencing: o.Fencing})
}

func (e *Engine) accept(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && o.Fencing <= e.fencing {
		e.refused = append(e.refused, o)
		return false
	}
	e.fencing = o.Fencing
	e.orders = append(e.orders, o)
	switch o.Kind {
	case OrderLoad:
		e.models[o.Model] = true
	case OrderUnload:
		delete(e.models, o.Model)
	case OrderPlace:
		e.place(o)
	}
	return true
}

// serveExportKV answers with bytes whose number is the cached tokens times KVBytesPerToken.
func (e *Engine) serveExportKV(w http.ResponseWriter, r *http.Request) {
	prefix := r.PathValue("prefix")
	e.mu.Lock()
	tokens := e.cache.touch(prefix)
	e.mu.Unlock()
	if tokens == 0 {
		refuse(w, http.StatusNotFound, "prefix %q is not cached", prefix)
		return
	}
	unit := strings.Repeat("k", e.settings.KVBytesPerToken)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(w, strings.Repeat(unit, tokens)) // The client may be gone.
}

func (e *Engine) serveImportKV(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxKVBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "read KV cache: %v", err)
		return
	}
	e.cachePrefix(r.PathValue("prefix"), int(n)/e.settings.KVBytesPerToken)
	w.WriteHeader(http.StatusNoContent)
}

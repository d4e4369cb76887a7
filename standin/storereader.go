package standin

import (
	"net/http"
	"sync/atomic"
	"time"
)

// StoreRefusal is how a store refuses one of its readers.
type StoreRefusal int32

// Refusals of a store.
const (
	StoreServes StoreRefusal = iota
	StoreIsBusy
	StoreSaysMany
	StoreResets
	StoreIsSilent
)

// silencePollInterval is the interval at which a silent store looks whether it answers again.
const silencePollInterval = 20 * time.Millisecond

// StoreReader serves a store to one reader, whom it may refuse while it serves others. It is an http.Handler.
type StoreReader struct {
	store   *Store
	view    func(value string) string
	refusal atomic.Int32
}

// NewReader returns a reader that gets the values as view returns them.
func (s *Store) NewReader(view func(value string) string) *StoreReader {
	return &StoreReader{store: s, view: view}
}

// Refuse begins a refusal.
func (r *StoreReader) Refuse(how StoreRefusal) { r.refusal.Store(int32(how)) }

// EndRefusal ends a refusal unless another one has taken its place.
func (r *StoreReader) EndRefusal(how StoreRefusal) {
	r.refusal.CompareAndSwap(int32(how), int32(StoreServes))
}

func (r *StoreReader) refused() StoreRefusal { return StoreRefusal(r.refusal.Load()) }

// ServeHTTP answers a call or refuses it.
func (r *StoreReader) ServeHTTP(w http.ResponseWriter, call *http.Request) {
	switch r.refused() {
	case StoreIsBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case StoreSaysMany:
		w.WriteHeader(http.StatusTooManyRequests)
	case StoreResets:
		panic(http.ErrAbortHandler)
	case StoreIsSilent:
		for r.refused() == StoreIsSilent && call.Context().Err() == nil {
			time.Sleep(silencePollInterval)
		}
		panic(http.ErrAbortHandler)
	default:
		r.store.serve(w, call, r.view)
	}
}

package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxWatchWait bounds one long poll.
	maxWatchWait = time.Minute
	// weightPiece is the unit in which the weight store is rate-limited, in bytes.
	weightPiece = 64 << 10
	// maxControlBytes bounds the body of a control call.
	maxControlBytes = 4 << 20
)

// Watch is the answer of a watch.
type Watch struct {
	Revision uint64 `json:"revision"`
	// Keys lists what changed, sorted; empty at a timeout.
	Keys []string `json:"keys"`
}

// ModeSetting is the body of PUT /standin/mode.
type ModeSetting struct {
	Mode     Mode   `json:"mode"`
	Revision uint64 `json:"revision"`
}

// CallCount is the answer of GET /standin/calls.
type CallCount struct {
	Calls   int `json:"calls"`
	Refused int `json:"refused"`
}

// counted charges a call to the budget. The charge is taken at the start, also for a watch.
func (p *Platform) counted(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.spend(time.Now()) {
			w.Header().Set("Retry-After", "1")
			refuse(w, http.StatusTooManyRequests, "over the budget of reads")
			return
		}
		next(w, r)
	}
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	data, revision, found, err := p.read(r.PathValue("key"))
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "%v", err)
		return
	}
	w.Header().Set("X-Revision", strconv.FormatUint(revision, 10))
	if !found {
		refuse(w, http.StatusNotFound, "no value %q", r.PathValue("key"))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(data) // The client may be gone.
}

func (p *Platform) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, ok := uintQuery(w, r, "after")
	if !ok {
		return
	}
	millis, ok := uintQuery(w, r, "timeoutMillis")
	if !ok {
		return
	}
	wait := time.Duration(min(millis, uint64(maxWatchWait.Milliseconds()))) * time.Millisecond
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	expired := false
	for {
		watch, changed, err := p.changes(after)
		if err != nil {
			refuse(w, http.StatusServiceUnavailable, "%v", err)
			return
		}
		if watch.Revision > after || expired {
			writeJSON(w, http.StatusOK, watch)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		case <-p.closed:
			return
		}
	}
}

func (p *Platform) serveVMs(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.vmsAt(time.Now().Add(-p.settings.VMLag)))
}

// vmsAt returns the list in force at a time, or else the oldest. It forgets older ones.
func (p *Platform) vmsAt(t time.Time) []VMState {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.vms) > 1 && !p.vms[1].since.After(t) {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 {
		return []VMState{}
	}
	return p.vms[0].list
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	size, found := p.weights[r.PathValue("name")]
	p.mu.Unlock()
	if !found {
		refuse(w, http.StatusNotFound, "no weights %q", r.PathValue("name"))
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	unit := bytes.Repeat([]byte{'w'}, weightPiece)
	for size > 0 {
		n := int(min(size, weightPiece))
		if !sleepUntil(r.Context(), p.weight.reserve(time.Now(), n)) {
			return
		}
		if _, err := w.Write(unit[:n]); err != nil {
			return
		}
		size -= int64(n)
	}
}

func (p *Platform) serveSetValue(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "read value: %v", err)
		return
	}
	revision, err := p.Set(r.PathValue("key"), data)
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, "%v", err)
		return
	}
	w.Header().Set("X-Revision", strconv.FormatUint(revision, 10))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveSetMode(w http.ResponseWriter, r *http.Request) {
	var setting ModeSetting
	if !readControl(w, r, &setting) {
		return
	}
	if err := p.SetMode(setting.Mode, setting.Revision); err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveSetVMs(w http.ResponseWriter, r *http.Request) {
	var list []VMState
	if !readControl(w, r, &list) {
		return
	}
	p.SetVMs(list)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveSetWeights(w http.ResponseWriter, r *http.Request) {
	var bytes int64
	if !readControl(w, r, &bytes) {
		return
	}
	p.SetWeights(r.PathValue("name"), bytes)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	all, refused := p.Calls()
	writeJSON(w, http.StatusOK, CallCount{Calls: all, Refused: refused})
}

// readControl decodes a JSON body. It answers a malformed one and returns false.
func readControl(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(value); err != nil {
		refuse(w, http.StatusBadRequest, "read body: %v", err)
		return false
	}
	return true
}

package gateway

import (
	"context"
	"errors"
	"sync"

	"parsleyhatch/config"
)

// Causes of a cancelled request.
var (
	errKeyWithdrawn = errors.New("key withdrawn")
	errDeadline     = errors.New("deadline for the first byte passed")
	errCallerGone   = errors.New("caller disconnected")
	errVMEnds       = errors.New("the vm has to end")
)

// openStream is a request that this VM is processing.
type openStream struct {
	request *Request
	cancel  context.CancelCauseFunc
}

// streamTable holds the open requests.
type streamTable struct {
	mu   sync.Mutex
	open map[string]*openStream
}

// add registers a request unless the table has limit entries or one of its id.
func (t *streamTable) add(r *Request, cancel context.CancelCauseFunc, limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.open[r.ID]; ok || len(t.open) >= limit {
		return false
	}
	t.open[r.ID] = &openStream{request: r, cancel: cancel}
	return true
}

func (t *streamTable) remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

func (t *streamTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// cancelAll cancels all requests, and returns their number.
func (t *streamTable) cancelAll(cause error) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.open {
		o.cancel(cause)
	}
	return len(t.open)
}

// cancelWithdrawn cancels the requests whose key is withdrawn or gone in the snapshot. It returns
// the ids of the requests.
func (t *streamTable) cancelWithdrawn(s *config.Snapshot) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var cut []string
	for id, o := range t.open {
		if !o.request.keyStillValid(s) {
			o.cancel(errKeyWithdrawn)
			cut = append(cut, id)
		}
	}
	return cut
}

// keyStillValid reports whether the request's key still admits it under the snapshot. A key whose
// secret was replaced counts as another key.
func (r *Request) keyStillValid(s *config.Snapshot) bool {
	if r.KeyID == "" {
		return true
	}
	key, admitted := s.Keys[r.KeyID], r.Snapshot.Keys[r.KeyID]
	return key != nil && admitted != nil && !key.Withdrawn && key.SHA256 == admitted.SHA256 && key.Workspace == r.Workspace.Name
}

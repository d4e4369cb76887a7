package edge

import (
	"errors"
	"sync"
)

// errWorkspaceShare reports that one workspace has as many open requests as it may have.
var errWorkspaceShare = errors.New("the open requests of the workspace use its share of the connections")

// openByWorkspace counts the open requests of callers by workspace. It is safe for concurrent use.
type openByWorkspace struct {
	mu    sync.Mutex
	most  int
	count map[string]int
}

// setMost sets the maximum number of open requests of one workspace.
func (o *openByWorkspace) setMost(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.most = n
}

// start counts a request of a workspace until end, unless the workspace has too many.
func (o *openByWorkspace) start(workspace string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count[workspace] >= o.most {
		return false
	}
	if o.count == nil {
		o.count = map[string]int{}
	}
	o.count[workspace]++
	return true
}

// end ends a request that start has counted.
func (o *openByWorkspace) end(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count[workspace]--; o.count[workspace] == 0 {
		delete(o.count, workspace)
	}
}

// startShare counts a request of a caller in the share of its workspace. It reports false with the refusal if that is used up.
func (e *Edge) startShare(r *request) (Outcome, bool) {
	name := r.workspaceName()
	if !e.clients.requests.start(name) {
		return e.refuseBody(r, errWorkspaceShare), false
	}
	r.endShare = func() { e.clients.requests.end(name) }
	return Outcome{}, true
}

package edge

import (
	"time"

	"parsleyhatch/fairshare"
	"parsleyhatch/fleet"
	"parsleyhatch/vmwire"
)

// fillShares adds the usage of services by workspaces at this VM to a presence: all of it if full is set, otherwise the recent changes.
func (e *Edge) fillShares(now time.Time, p *vmwire.Presence, full bool) {
	for _, u := range e.Shares.Report(now, full) {
		p.Shares = append(p.Shares, vmwire.WorkspaceShare(u))
	}
}

// applyShares applies the usage that another VM of this region reports.
func (e *Edge) applyShares(now time.Time, m fleet.Member, p *vmwire.Presence) {
	usages := make([]fairshare.Usage, len(p.Shares))
	for i, s := range p.Shares {
		usages[i] = fairshare.Usage(s)
	}
	e.Shares.ApplyReport(now, m.Slot, m.Incarnation, usages)
}

// askShare counts a request that looks for an upstream for the first time, and reports whether it is within the share of its workspace.
// A forwarded request was counted by the VM that its caller is connected to.
func (e *Edge) askShare(now time.Time, r *request) bool {
	if r.forwarded || e.Shares.Ask(now, r.shareKey(), costOf(r)) {
		return true
	}
	e.Metrics.CountBeyondShare(r.service.Name, r.workspaceName())
	return false
}

// serveShare counts a request that is sent to an upstream or a region for the first time. Further attempts do not count: what is asked and
// what is served must be equal while nothing is short.
func (e *Edge) serveShare(now time.Time, r *request) {
	if !r.forwarded && r.sends == 1 {
		e.Shares.Serve(now, r.shareKey(), costOf(r))
	}
}

func (r *request) shareKey() fairshare.Key {
	return fairshare.Key{Service: r.service.Name, Workspace: r.workspaceName()}
}

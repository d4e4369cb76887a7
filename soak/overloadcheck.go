package soak

// minShareRequests is the number of requests of a workspace from which its share is checked.
const minShareRequests = 30

// checkShares finds workspaces that request no more than an equal share of all, and whose requests are served less often than bounds.workspaceShare
// times as often as all. Requests with withdrawn keys don't count.
func checkShares(h *history, b bounds, report reportFunc) {
	var all servedCount
	byWorkspace := map[string]servedCount{}
	for id, req := range h.requests {
		if _, withdrawn := h.keyWithdrawnAt[req.key]; withdrawn {
			continue
		}
		own := byWorkspace[h.workspaces[req.key]]
		own.add(h.responses[id])
		byWorkspace[h.workspaces[req.key]] = own
		all.add(h.responses[id])
	}
	for workspace, own := range byWorkspace {
		isBelow := own.sent*len(byWorkspace) <= all.sent
		if isBelow && own.sent >= minShareRequests && own.share() < b.workspaceShare*all.share() {
			report("many", "%v requests of workspace %s are served, and %v of all", own, workspace, all)
		}
	}
}

// checkEndedVMs finds VMs whose processes ended without a fault that ended them.
func checkEndedVMs(h *history, _ bounds, report reportFunc) {
	for _, vm := range h.endedVMs {
		report("none", "vm %s does not run at the end of the run", vm)
	}
}

// recordEndedVMs records the VMs in use that don't run after all faults. Each fault restarts the VMs that it ends.
func (s *soak) recordEndedVMs() {
	for _, v := range s.presentVMs("") {
		if v.Ended() {
			record(s.history, &s.history.endedVMs, v.name)
		}
	}
}

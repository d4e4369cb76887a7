package edge

import (
	"encoding/hex"

	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// admission is what the configuration of this VM makes of a request. It is set while the request is admitted; only the service may change
// later. The VM that forwards a request sets probe.
type admission struct {
	// route is nil until one is found. Requests that have started to run keep theirs when the configuration changes.
	route *route.Route
	// workspace is nil on public routes, without keys in the configuration, and if the key is refused.
	workspace *route.Workspace
	// service is set before the request runs. It changes only to the service that began the stream, or that another VM has chosen.
	service *route.Service
	prompt  replica.Prompt
	// fingerprint identifies equal requests of a workspace.
	fingerprint poison.Fingerprint

	// probe is set if the request tests the quarantine of one of its prompt parts, and probedPart if this VM decided it.
	probe      bool
	probedPart poison.Part

	// charged is the amount charged to the workspace, in tokens or requests. A request that has not run gets it back. It is zero for
	// forwarded requests, which the first VM has charged.
	charged int64
}

// workspaceName returns the name of the request's workspace, empty if it has none.
func (a *admission) workspaceName() string {
	if a.workspace == nil {
		return ""
	}
	return a.workspace.Name
}

// splitKey returns the key by which the service of a route with several services is chosen. A caller that resumes a stream has a new id
// and need not name the earlier one, so that the key of a resumable stream is what all its attempts have in common.
func (r *request) splitKey() string {
	if r.route.KeepsService() {
		return r.contentKey()
	}
	return r.id
}

// contentKey returns what all attempts at a request have in common.
func (a *admission) contentKey() string { return hex.EncodeToString(a.fingerprint[:]) }

// charge returns the amount that the request is charged, in tokens or requests.
func (r *request) charge() int64 {
	if !r.workspace.RateInTokens {
		return 1
	}
	if r.header.Get(platform.HeaderTokenUsage) == "" {
		return r.workspace.PlainTokens
	}
	return r.prompt.TotalTokens()
}

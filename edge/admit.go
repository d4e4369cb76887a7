package edge

import (
	"fmt"
	"net/http"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// admit matches, authenticates and rate-limits a request, and reads its body. It reports false with the
// refusal if the request may not run.
func (e *Edge) admit(w http.ResponseWriter, h *http.Request, r *request) (Outcome, bool) {
	now := e.Now()
	t := e.table()
	if out, ok := e.mayAdmit(now, t); !ok {
		return out, false
	}
	if limit := t.Config.Limits.MaxHeaderBytes; limit > 0 && r.headerBytes() > limit {
		return refuse(HeaderTooLarge, fmt.Sprintf("header above %d bytes", limit), 0), false
	}
	if key := h.Header.Get(platform.HeaderAPIKey); key != "" {
		r.key, r.hasKey = route.HashKey(key), true
	}
	if out, ok := e.routeAndAuthenticate(now, t, r, h.URL.Path); !ok {
		return out, false
	}
	if out, ok := e.startShare(r); !ok {
		return out, false
	}
	body, out, ok := e.readBody(w, h, r, t.Config.Limits)
	if !ok {
		return out, false
	}
	r.body = body
	if out, ok := e.prepare(t, r); !ok {
		return out, false
	}
	e.recordForBudget(now, r)
	return e.charge(now, r)
}

// mayAdmit refuses requests while this VM has no configuration or stops.
func (e *Edge) mayAdmit(now time.Time, t *route.Table) (Outcome, bool) {
	if t == nil || !e.startedUp(now) {
		return refuse(NoConfiguration, "no current configuration is known yet", defaultRetryAfter), false
	}
	if e.refusesNew(now) {
		return refuseLeaving(leavingRetryAfter), false
	}
	return Outcome{}, true
}

// routeAndAuthenticate sets the route and the workspace of a request.
func (e *Edge) routeAndAuthenticate(now time.Time, t *route.Table, r *request, path string) (Outcome, bool) {
	if out, ok := e.findRoute(now, t, r, path); !ok {
		return out, false
	}
	if !needsKey(t, r.route) {
		return Outcome{}, true
	}
	r.workspace = t.Authenticate(r.key)
	if r.workspace == nil || !r.hasKey {
		return refuse(UnknownKey, "the key is unknown or withdrawn", 0), false
	}
	return Outcome{}, true
}

// findRoute sets the route of a request. It refuses requests that need a key while the knowledge of keys is too old.
func (e *Edge) findRoute(now time.Time, t *route.Table, r *request, path string) (Outcome, bool) {
	fresh := e.keysFresh(now)
	r.path = path
	r.route = t.Match(r.host, path)
	switch {
	case r.route == nil && !fresh:
		return refuse(StaleKeys, "the configuration may be out of date", defaultRetryAfter), false
	case r.route == nil:
		return refuse(NoRoute, "no route for this host and path", 0), false
	case needsKey(t, r.route) && !fresh:
		return refuse(StaleKeys, "the knowledge of keys is too old", defaultRetryAfter), false
	}
	return Outcome{}, true
}

// needsKey reports whether the requests of a route need a key.
func needsKey(t *route.Table, r *route.Route) bool { return !r.Public && t.NeedsKeys() }

// prepare sets the deadline, the prompt, the fingerprint and the service of a request from its headers and body, and
// refuses quarantined requests.
func (e *Edge) prepare(t *route.Table, r *request) (Outcome, bool) {
	r.setDeadline()
	prompt, err := replica.ParsePrompt(r.header.Get(platform.HeaderPromptPrefix), r.header.Get(platform.HeaderTokenUsage))
	if err != nil {
		return refuse(BadRequest, err.Error(), 0), false
	}
	r.prompt = prompt
	r.fingerprint = e.hasher.Fingerprint(r.workspaceName()+" "+r.target, r.body)
	if out, ok := e.chooseService(t, r); !ok {
		return out, false
	}
	if e.Poison.State(e.Now(), r.fingerprint) == poison.Quarantined {
		return refuse(Quarantined, "the request crashed the upstreams that ran it", 0), false
	}
	if parts := e.quarantinedParts(r); len(parts) > 0 && !e.mayProbe(r, parts) {
		return refuse(Quarantined, partQuarantinedDetail, 0), false
	}
	return Outcome{}, true
}

// charge deducts the cost of the request from the quota of its workspace.
func (e *Edge) charge(now time.Time, r *request) (Outcome, bool) {
	if r.workspace == nil {
		return Outcome{}, true
	}
	if ok, wait := e.Quota.Charge(now, r.workspace.Name, r.charge()); !ok {
		return refuse(RateLimited, "the workspace is over its rate", wait), false
	}
	r.charged = r.charge()
	return Outcome{}, true
}

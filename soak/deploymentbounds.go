package soak

import "time"

// allowedBounds are the bounds that the operators state for a deployment.
type allowedBounds struct {
	// GraceMillis is the time from SIGTERM to SIGKILL, RevokeMillis the longest time for which a withdrawn key works, DrainMillis that
	// for which a draining upstream gets requests, ContactMillis the time after a disturbance until bounds hold again, and
	// ConfigApplyMillis the time within which a configuration is in force. From RollbackMillis after its first effect, a VM may not obey an
	// older one.
	GraceMillis       millis `json:"graceMillis"`
	RevokeMillis      millis `json:"revokeMillis"`
	DrainMillis       millis `json:"drainMillis"`
	ContactMillis     millis `json:"contactMillis"`
	ConfigApplyMillis millis `json:"configApplyMillis"`
	RollbackMillis    millis `json:"rollbackMillis"`
	// In each RetryWindowMillis, retries may be RetryRatio times the requests and RetrySlack more.
	RetryRatio        float64 `json:"retryRatio"`
	RetryWindowMillis millis  `json:"retryWindowMillis"`
	RetrySlack        int     `json:"retrySlack"`
	// A cold upstream may get WarmUpOverage times its rate and WarmUpSlack more requests in a second.
	WarmUpOverage      float64 `json:"warmUpOverage"`
	WarmUpSlack        float64 `json:"warmUpSlack"`
	DirectoryTTLMillis millis  `json:"directoryTTLMillis"`
}

// bounds returns the bounds that the invariants allow on the deployment.
func (d *deployment) bounds() bounds {
	allowed := &d.Bounds
	b := bounds{
		revoke: allowed.RevokeMillis.duration(), drain: allowed.DrainMillis.duration(), settle: allowed.ContactMillis.duration(),
		rollback:       allowed.RollbackMillis.duration(),
		brittleCrashes: 2, brittleCrashShare: 0.1, holdBackAfter: 500 * time.Millisecond, holdBackRequests: 2,
		cutServedShare: 2.0 / 3, cutFailures: 10, cutFailureShare: 0.02,
		retryWindow: allowed.RetryWindowMillis.duration(), retryRatio: allowed.RetryRatio, retrySlack: allowed.RetrySlack,
		lost: lostBounds{
			grace: allowed.GraceMillis.duration(), after: time.Second, reload: allowed.ConfigApplyMillis.duration(), early: 3 * time.Second,
		},
		limitSettle: time.Second, limitWindow: 4 * time.Second, limitOverage: 1.5, limitSlack: 5,
		resumeSettle: time.Second, responseSlack: time.Second, successRate: 0.95, workspaceShare: 0.25,
		routes: map[requestKind]routeBounds{}, cold: map[string]coldBounds{},
	}
	for _, r := range d.Routes {
		b.routes[r.Kind] = routeBounds{maxAttempts: r.MaxAttempts, homes: r.HomeRegions, service: r.Service}
	}
	for _, s := range d.services(true) {
		if s.WarmUpRate > 0 {
			b.cold[s.Name] = coldBounds{
				duration: s.WarmUpMillis.duration(), requests: int(allowed.WarmUpOverage*s.WarmUpRate + allowed.WarmUpSlack),
			}
		}
	}
	return b
}

// Package edge takes the requests of callers and has each answered by an upstream: it finds the route and
// the workspace, charges the request, chooses where it runs, sends it and relays the answer. What a request
// contains is opaque.
package edge

import (
	"log/slog"
	"sync/atomic"
	"time"

	"parsleyhatch/callerconn"
	"parsleyhatch/fleet"
	"parsleyhatch/metrics"
	"parsleyhatch/place"
	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/quota"
	"parsleyhatch/replica"
	"parsleyhatch/retry"
	"parsleyhatch/route"
	"parsleyhatch/source"
	"parsleyhatch/upstream"
)

// Edge is one VM's path of requests.
type Edge struct {
	Settings platform.Settings
	Log      *slog.Logger
	// Now returns the present time since boot.
	Now func() time.Time

	Source   *source.Source
	Replicas *replica.Table
	Pool     *upstream.Pool
	Fleet    *fleet.Fleet
	Quota    *quota.Table
	Retries  *retry.Window
	Poison   *poison.Table
	Metrics  *metrics.Metrics
	// Conns watches the connections of callers.
	Conns *callerconn.Watch

	// pausedLately reports whether this VM did not run for a while until shortly before.
	pausedLately func(now time.Time) bool

	store   *platform.Store
	asks    storeAsks
	sent    place.Sent
	started time.Time
	hasher  *poison.Hasher
	open    atomic.Int64
	// leaving is the time of SIGTERM in nanoseconds since boot, zero before.
	leaving atomic.Int64
}

// keyAge is the share of the revocation bound within which knowledge of keys must be current. The rest
// covers the delay of the store's answers.
const keyAge = 0.7

// table returns the configuration in force, or nil.
func (e *Edge) table() *route.Table { return e.Source.Table() }

// keysFresh reports whether the VM knows of all keys that were withdrawn longer ago than the bound.
func (e *Edge) keysFresh(now time.Time) bool {
	limit := time.Duration(keyAge * float64(e.Settings.Bounds.Revoke))
	return now.Sub(e.Source.FreshAt()) <= limit
}

// isLeaving reports whether the VM was told to stop, and since when.
func (e *Edge) isLeaving(now time.Time) (bool, time.Duration) {
	at := e.leaving.Load()
	if at == 0 {
		return false, 0
	}
	return true, now.Sub(time.Unix(0, at))
}

// Leave makes the VM tell callers and other VMs that it stops.
func (e *Edge) Leave(now time.Time) {
	e.leaving.CompareAndSwap(0, now.UnixNano())
	e.Fleet.Announce()
}

// Ready reports whether the VM can serve callers and does not leave.
func (e *Edge) Ready(now time.Time) bool {
	leaving, _ := e.isLeaving(now)
	return !leaving && e.accepts(now)
}

// accepts reports whether the VM takes new requests.
func (e *Edge) accepts(now time.Time) bool {
	leaving, since := e.isLeaving(now)
	return e.table() != nil && e.Source.UpstreamsKnown() && !(leaving && since > LeaveAccept)
}

// Open returns the number of open requests.
func (e *Edge) Open() int { return int(e.open.Load()) }

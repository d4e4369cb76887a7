// Package edge serves the requests of callers: it matches the route, authenticates the workspace, charges its
// quota, chooses a region and an upstream, sends the request and relays the answer. The content of a request
// is opaque to it.
package edge

import (
	"log/slog"
	"sync/atomic"
	"time"

	"parsleyhatch/callerconn"
	"parsleyhatch/contention"
	"parsleyhatch/fairshare"
	"parsleyhatch/fleet"
	"parsleyhatch/metrics"
	"parsleyhatch/pace"
	"parsleyhatch/place"
	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/pollbarrier"
	"parsleyhatch/quota"
	"parsleyhatch/replica"
	"parsleyhatch/retry"
	"parsleyhatch/returns"
	"parsleyhatch/route"
	"parsleyhatch/sequence"
	"parsleyhatch/source"
	"parsleyhatch/upstream"
	"parsleyhatch/version"
	"parsleyhatch/waitqueue"
)

// Edge is the request path of one VM.
type Edge struct {
	Settings platform.Settings
	Log      *slog.Logger
	// Now returns the current time since boot, see clock.Now.
	Now func() time.Time

	Watcher  *source.Watcher
	Replicas *replica.Table
	Pool     *upstream.Pool
	Fleet    *fleet.Fleet
	Quota    *quota.Table
	Shares   *fairshare.Table
	Retries  *retry.Window
	Returns  *returns.Schedule
	Poison   *poison.Table
	Breaks   *poison.Breaks
	Parts    *poison.Parts
	Streams  *version.Streams
	Origins  *version.Origins
	Steps    *sequence.Steps
	Metrics  *metrics.Metrics
	// ConnLimiter enforces the limits of callers' connections.
	ConnLimiter *callerconn.Limiter

	// pausedRecently reports whether the process was paused until shortly before now.
	pausedRecently func(now time.Time) bool

	// sockets tells when this process has noticed what has arrived at its sockets.
	sockets *pollbarrier.Barrier

	memory     *requestMemory
	lengths    *pace.RouteLengths
	pressures  *contention.Pressures
	waiting    *waitqueue.Queues[*request]
	loadLog    logRate
	clients    clients
	store      *platform.Store
	storeReads pendingStoreReads
	forwards   place.SentTokens
	sentCosts  returns.SentCosts
	// promiseReports holds the promises that presences carry.
	promiseReports returns.Repeater
	// othersLoad is the latest result of loadOfOthers.
	othersLoad atomic.Int64
	startedAt  time.Time
	hasher     *poison.Hasher
	open       atomic.Int64
	catchUp    catchUp
	reach      reach
	queries    streamQueries
	framing    framingHistory
	// unsizedEnds holds what is known of the ends of streams without a length.
	unsizedEnds endHistory
	// openTime is defaultOpenTime; tests replace it.
	openTime time.Duration
	// undecidedCrashes is the number of answers that were broken off for which it is not decided whether their upstreams crashed.
	undecidedCrashes atomic.Int64
	stop             stop
	// reportScheduled is set while streams that began are collected for a report.
	reportScheduled atomic.Bool
	// leavingSince is the time of SIGTERM in nanoseconds since boot, zero before.
	leavingSince atomic.Int64
	// closing is set once the sessions with other VMs end. No request is accepted any more.
	closing atomic.Bool
	// otherProtocolAt is the latest time, in nanoseconds since boot, at which a VM that speaks another protocol was refused a session, zero
	// before.
	otherProtocolAt atomic.Int64
}

// keyFreshnessShare is the maximum age of the known state of the store, as a share of the revocation bound. The rest of the
// bound covers the delay of the store's answers.
const keyFreshnessShare = 0.7

// watchShare is the timeout of a watch, as a share of the revocation bound. One answer may be lost before the known keys are
// too old.
const watchShare = 0.3

// table returns the active configuration, or nil if there is none yet.
func (e *Edge) table() *route.Table { return e.Watcher.Table() }

// keysFresh reports whether the known keys are recent enough to honor the revocation bound.
func (e *Edge) keysFresh(now time.Time) bool { return now.Sub(e.Watcher.FreshAt()) <= e.maxStateAge() }

// maxStateAge returns the age up to which the known state of the store counts as current.
func (e *Edge) maxStateAge() time.Duration {
	return time.Duration(keyFreshnessShare * float64(e.Settings.Bounds.RevocationDelay))
}

// Ready reports whether the VM can serve callers and is not shutting down.
func (e *Edge) Ready(now time.Time) bool {
	leaving, _ := e.isLeaving(now)
	return !leaving && e.acceptsRequests(now)
}

// acceptsRequests reports whether the VM accepts new requests.
func (e *Edge) acceptsRequests(now time.Time) bool {
	return e.table() != nil && e.startedUp(now) && e.Watcher.RegistrationsLoaded() && !e.refusesNew(now)
}

// OpenRequests returns the number of open requests.
func (e *Edge) OpenRequests() int { return int(e.open.Load()) }

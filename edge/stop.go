package edge

import (
	"context"
	"errors"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const (
	// ShutdownAcceptTime is the maximum time after SIGTERM during which new requests are accepted, because callers use a cached
	// directory answer until it expires.
	ShutdownAcceptTime = 2500 * time.Millisecond
	// acceptShare is the maximum share of the grace during which new requests are accepted, and startShare the share during which
	// attempts begin. The rest is for the attempts that run.
	acceptShare = 5.0 / 16
	startShare  = 3.0 / 8
	// KillMargin is the time before the platform's SIGKILL at which a leaving VM ends the requests that are still open. Their
	// answers, the end of the sessions and the shutdown of the server for callers must fit into it.
	KillMargin = 500 * time.Millisecond
)

// errVMEnds is the cancellation cause of requests that are open when the VM has to end.
var errVMEnds = errors.New("the vm has to end")

// StopSchedule holds the times of a planned stop, counted from SIGTERM.
type StopSchedule struct {
	// Accept is the time after which the VM refuses requests that are not complete, LastStart the one after which no attempt
	// begins, and End the one at which it ends open requests. Accept <= LastStart <= End.
	Accept, LastStart, End time.Duration
}

// NewStopSchedule returns the times of a stop with a grace, the time from SIGTERM to SIGKILL.
func NewStopSchedule(grace time.Duration) StopSchedule {
	end := max(0, grace-KillMargin)
	last := min(time.Duration(startShare*float64(grace)), end)
	return StopSchedule{Accept: min(ShutdownAcceptTime, time.Duration(acceptShare*float64(grace)), last), LastStart: last, End: end}
}

// mayStart reports whether an attempt may begin the time since after SIGTERM, if its first answer is expected to take the time expected.
func (s StopSchedule) mayStart(since, expected time.Duration) bool {
	return since <= s.LastStart && since+expected <= s.End
}

// stop is the state of the shutdown of a VM.
type stop struct {
	StopSchedule
	// accepting ends with the time for which a leaving VM accepts requests.
	accepting context.Context
	refuseNew context.CancelFunc
	// running ends when the requests that are still open have to end.
	running context.Context
	endOpen context.CancelFunc
}

func newStop(grace time.Duration) stop {
	s := stop{StopSchedule: NewStopSchedule(grace)}
	s.accepting, s.refuseNew = context.WithCancel(context.Background())
	s.running, s.endOpen = context.WithCancel(context.Background())
	return s
}

// isLeaving reports whether the VM is shutting down, and for how long.
func (e *Edge) isLeaving(now time.Time) (bool, time.Duration) {
	at := e.leavingSince.Load()
	if at == 0 {
		return false, 0
	}
	return true, now.Sub(time.Unix(0, at))
}

// refusesNew reports whether the VM is shutting down and accepts no requests any more.
func (e *Edge) refusesNew(now time.Time) bool {
	leaving, since := e.isLeaving(now)
	return leaving && since > e.stop.Accept || e.closing.Load()
}

// mayStart reports whether an attempt may begin whose first answer is expected after a time: the process must not end before it.
// It is asked again for each attempt: requests also wait for bodies, configurations, grants and failed attempts. A stream of which the
// caller has a part resumes as long as the VM runs, since it would be broken off otherwise.
func (e *Edge) mayStart(now time.Time, r *request, expected time.Duration) bool {
	leaving, since := e.isLeaving(now)
	if !leaving {
		return true
	}
	if r.headSent {
		return since+expected <= e.stop.End
	}
	return e.stop.mayStart(since, expected)
}

// refuseLeaving returns the refusal of a request for which this VM has no time left.
func refuseLeaving(after time.Duration) Outcome { return refuse(Leaving, "this vm stops", after) }

// leavingRetryAfter is the Retry-After of a VM that stops: the directory names other VMs.
const leavingRetryAfter = 100 * time.Millisecond

// BeginShutdown starts the shutdown: the VM announces it to other VMs and closes callers' connections after answers. It reports most
// streams now, since little time is left for it at the end.
func (e *Edge) BeginShutdown(now time.Time) {
	if e.leavingSince.CompareAndSwap(0, now.UnixNano()) {
		time.AfterFunc(e.stop.Accept, e.stop.refuseNew)
	}
	e.Fleet.BroadcastPresence()
	e.handOver()
}

// handOver reports the streams that began at this VM, and those that it keeps for VMs that no longer run, and logs how much that was.
func (e *Edge) handOver() {
	began := time.Now()
	messages, bytes := e.sentStreamReports()
	e.handOverStreams()
	e.handOverOrphans()
	messagesAfter, bytesAfter := e.sentStreamReports()
	event.HandedOver.Log(e.Log, "messages", messagesAfter-messages, "bytes", bytesAfter-bytes, "tookMillis", time.Since(began).Milliseconds())
}

// sentStreamReports returns the number and the size in bytes of the reports on streams that were queued for other VMs so far.
func (e *Edge) sentStreamReports() (messages, bytes int64) {
	endpoint := e.Fleet.Endpoint
	for _, counts := range []*vm.SentCounts{&endpoint.SentSameRegion, &endpoint.SentOtherRegions} {
		frames, size := counts.Sent(int(vmwire.KindStreamsBegan))
		messages, bytes = messages+frames, bytes+size
	}
	return messages, bytes
}

// EndRequests ends the requests that are still open. Their answers say whether they may have run; begun streams are reported and break off,
// so that their callers resume them elsewhere.
func (e *Edge) EndRequests() {
	e.handOverStreams()
	e.stop.endOpen()
}

// CloseSessions ends the sessions with the other VMs once they have read what this VM has to send, at the latest when ctx ends.
func (e *Edge) CloseSessions(ctx context.Context) {
	e.handOver()
	e.closing.Store(true)
	if e.OpenRequests() == 0 {
		e.handOverOrigins(e.Now())
	}
	e.Fleet.Drain(ctx)
}

// requestContext returns the context of a request, which ends at its deadline and when the VM has to end.
func (e *Edge) requestContext(ctx context.Context, deadline time.Time) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWaiting := context.AfterFunc(e.stop.running, func() { cancel(errVMEnds) })
	ctx, cancelDeadline := context.WithDeadlineCause(ctx, deadline, errTimedOut)
	return ctx, func() {
		stopWaiting()
		cancelDeadline()
		cancel(nil)
	}
}

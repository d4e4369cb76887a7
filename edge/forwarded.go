package edge

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/route"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

const headerLastEvent = platform.HeaderLastEventID

// headersNotForwarded are headers that are never sent to other VMs.
var headersNotForwarded = []string{platform.HeaderAPIKey}

// maxVersionWait is the maximum time for which a forwarded request waits for the configuration that the first VM has. It
// exceeds the time between two reads of the store after a change.
const maxVersionWait = 400 * time.Millisecond

// endMargin is the time after a request's deadline up to which its end message may wait for a congested session.
const endMargin = time.Second

// ServeForwarded runs a request that another VM forwarded.
func (e *Edge) ServeForwarded(st *vm.Stream, open vmwire.Open) {
	e.open.Add(1)
	defer e.open.Add(-1)
	r := forwardedRequest(&open)
	defer r.releaseMemory()
	r.origin = newOrigin(st, r.runs+1)
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	out, ok := e.admitForwarded(ctx, st, &open, r)
	if ok {
		go r.origin.loop(ctx, cancel)
		runCtx, stop := e.requestContext(ctx, r.deadline)
		out = e.run(runCtx, r, streamSink(runCtx, r, st))
		stop()
	}
	e.endProbe(r, out)
	e.recordOutcome(r, out)
	e.end(st, r, out)
}

// forwardedRequest returns the request described by the message that opened its stream.
func forwardedRequest(open *vmwire.Open) *request {
	now := time.Now()
	r := &request{
		callerRequest: callerRequest{id: open.RequestID, method: open.Method, target: open.Path, host: open.Header[hostHeader], arrived: now},
		forwarding:    forwarding{forwarded: true, returnable: open.Returnable, chosenService: open.Service},
	}
	r.runs, r.probe = int(open.Runs), open.Probe
	r.headSent, r.streamVersion = open.Resumed, streamVersion{bound: open.VersionBound, version: open.Version}
	r.deadline = now.Add(time.Duration(open.RemainingMillis) * time.Millisecond)
	delete(open.Header, hostHeader)
	r.header = splitHeader(open.Header)
	r.lastEvent = r.header.Get(platform.HeaderLastEventID)
	r.resumedByCaller = r.lastEvent != "" && r.streamVersion.bound && !r.headSent
	if raw, err := hex.DecodeString(open.KeyID); err == nil && len(raw) == len(r.key) {
		r.key, r.hasKey = route.KeyHash(raw), true
	}
	return r
}

// admitForwarded checks a forwarded request against the configuration of this VM and reads its body.
func (e *Edge) admitForwarded(ctx context.Context, st *vm.Stream, open *vmwire.Open, r *request) (Outcome, bool) {
	ended := e.startForwardedBody(open.BodyBytes)
	if ended == nil {
		return e.refuseBody(r, errTooManyForwarded), false
	}
	defer ended()
	t := e.configForForwarded(ctx, open)
	now := e.Now()
	if t == nil || t.Config.Version < open.ConfigNumber || !e.startedUp(now) {
		return refuse(NoConfiguration, "the configuration of this vm is older than that of the first", defaultRetryAfter), false
	}
	if e.refusesNew(now) {
		return refuseLeaving(defaultRetryAfter), false
	}
	target, err := url.ParseRequestURI(r.target)
	if err != nil {
		return refuse(BadRequest, err.Error(), 0), false
	}
	if out, ok := e.routeAndAuthenticate(now, t, r, target.Path); !ok {
		return out, false
	}
	r.origin.otherService = r.route.Name != open.Route || t.SplitSince(r.route) > open.ConfigNumber
	if !route.Allowed(r.route, r.workspace, e.Settings.Region) {
		return refuse(NoUpstream, "the request must not run in this region", defaultRetryAfter), false
	}
	if limit := maxBodyBytes(t.Config.Limits); open.BodyBytes > limit {
		return refuse(TooLarge, fmt.Sprintf("body above %d bytes", limit), 0), false
	}
	if out, ok := e.receiveBody(ctx, st, open, r); !ok {
		return out, false
	}
	return e.prepareForwarded(t, r)
}

// errBodyStalled reports that the body of a forwarded request arrives too slowly while memory is short.
var errBodyStalled = errors.New("the body makes too little progress")

// receiveBody reads the body of a forwarded request.
func (e *Edge) receiveBody(ctx context.Context, st *vm.Stream, open *vmwire.Open, r *request) (Outcome, bool) {
	body := e.newBody(r)
	if err := body.Reserve(open.BodyBytes); err != nil {
		return e.refuseBody(r, err), false
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	defer context.AfterFunc(e.stop.accepting, cancel)()
	watch := e.watchBody(r.workspaceName(), open.BodyBytes, cancel)
	defer watch.stop()
	for int64(body.Len()) < open.BodyBytes {
		data, end, err := st.Recv(ctx)
		if err != nil && e.stop.accepting.Err() != nil {
			return refuseLeaving(defaultRetryAfter), false
		}
		if watch.stalled.Load() {
			return e.refuseBody(r, errBodyStalled), false
		}
		if err != nil || end != nil {
			return refuse(BadRequest, "the body has not arrived", 0), false
		}
		watch.received.Add(int64(len(data)))
		if err := body.Append(data); err != nil {
			return e.refuseBody(r, err), false
		}
	}
	r.body = body.Bytes()
	return Outcome{}, true
}

// configForForwarded returns the active configuration. If the VM that forwarded the request has a newer one, it waits for that,
// unless this VM has lost touch with the store.
func (e *Edge) configForForwarded(ctx context.Context, open *vmwire.Open) *route.Table {
	t := e.table()
	if t == nil || t.Config.Version >= open.ConfigNumber || open.Switchover || !e.keysFresh(e.Now()) {
		return t
	}
	wait := min(maxVersionWait, time.Duration(open.RemainingMillis)*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return e.Watcher.WaitForVersion(ctx, open.ConfigNumber)
}

// prepareForwarded is prepare for a forwarded request. The deadline set by the forwarding VM is kept if it is earlier.
func (e *Edge) prepareForwarded(t *route.Table, r *request) (Outcome, bool) {
	deadline := r.deadline
	out, ok := e.prepare(t, r)
	if deadline.Before(r.deadline) {
		r.deadline = deadline
	}
	return out, ok
}

// streamSink returns a sink that sends the answer to the forwarding VM.
func streamSink(ctx context.Context, r *request, st *vm.Stream) *Sink {
	return &Sink{
		Head: func(status int, header http.Header, length int) error {
			joined := make(map[string]string, len(header))
			for name, values := range header {
				joined[name] = strings.Join(values, valueSeparator)
			}
			return st.SendChunk(ctx, &vmwire.Chunk{Status: int32(status), Header: joined, End: int64(length), Service: r.service.Name,
				VersionKnown: r.streamVersion.bound, Version: r.streamVersion.version})
		},
		Data: func(b []byte, _ bool) error {
			for len(b) > 0 {
				n := min(len(b), vm.MaxDataBytes)
				if err := st.SendChunk(ctx, &vmwire.Chunk{Data: b[:n]}); err != nil {
					return err
				}
				b = b[n:]
			}
			return nil
		},
	}
}

// end reports the outcome of the request to the forwarding VM. The end of a complete answer waits as long as its caller may
// still be waiting; a reset would discard the answer.
func (e *Edge) end(st *vm.Stream, r *request, out Outcome) {
	timeout := max(r.remaining(time.Now()), 0) + endMargin
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	end := &vmwire.End{
		Code: string(out.Reason), Message: out.Detail, Ran: out.Ran.String(), Status: int32(out.Status),
		RetryAfterMillis: out.RetryAfter.Milliseconds(), Upstream: r.destination,
		Runs: int32(r.runs),
	}
	if err := st.SendEnd(ctx, end); err != nil {
		st.Reset()
	}
}

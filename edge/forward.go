package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/httpresponse"
	"parsleyhatch/memory"
	"parsleyhatch/place"
	"parsleyhatch/route"
	"parsleyhatch/sequence"
	"parsleyhatch/version"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// hostHeader is the header of a forwarded request that carries the host.
const hostHeader = "Host"

// valueSeparator joins multiple values of a header in messages between VMs. Header values cannot contain it.
const valueSeparator = "\n"

// forward sends the request to a VM of a region and relays the answer. It reports false if no VM of
// the region is available.
func (e *Edge) forward(ctx context.Context, r *request, region string, sink *Sink) (Outcome, bool) {
	msg := e.openMessage(r, region)
	slot, st, err := e.Fleet.OpenStream(ctx, e.Now(), region, r.service.Name, msg, r.failedVMs)
	if errors.Is(err, fleet.ErrNoVM) {
		return refuse(NoUpstream, "no vm of region "+region+" can run the request", defaultRetryAfter), false
	}
	if err != nil {
		return refuse(VMLost, err.Error(), defaultRetryAfter), true
	}
	r.triedVMs, r.failedVMs = append(r.triedVMs, slot), append(r.failedVMs, slot)
	r.sends++
	if region == e.Settings.Region {
		e.Metrics.AddCounter("requests_through_other_vms", 1)
	} else {
		r.triedRegions = append(r.triedRegions, region)
	}
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	err = st.Send(ctx, r.body)
	if errors.Is(err, vm.ErrStreamEnded) {
		// The other VM refused the request before it had read the body.
		return e.relayForwarded(ctx, r, slot, st, sink), true
	}
	if err != nil {
		st.Reset()
		// The request has not run: the other VM starts a request only after its complete body has arrived.
		return refuse(VMLost, "send to vm "+slot+": "+err.Error(), defaultRetryAfter), true
	}
	r.switchover.sent()
	e.serveShare(e.Now(), r)
	e.recordSentCost(r)
	if region != e.Settings.Region {
		e.forwards.Add(e.Now(), place.ServiceKey{Service: r.service.Name, Region: region}, r.prompt.Tokens)
	}
	return e.relayForwarded(ctx, r, slot, st, sink), true
}

func (e *Edge) openMessage(r *request, region string) *vmwire.Open {
	header := map[string]string{hostHeader: r.host}
	for name, values := range endToEnd(r.header) {
		header[name] = strings.Join(values, valueSeparator)
	}
	for _, name := range headersNotForwarded {
		delete(header, name)
	}
	if last := r.lastEventID(); last != "" {
		header[http.CanonicalHeaderKey(headerLastEvent)] = last
	}
	msg := &vmwire.Open{
		RequestID: r.id, OriginSlot: e.Settings.Name, OriginRegion: e.Settings.Region,
		Route: r.route.Name, Hops: 1, Method: r.method, Path: r.target, Header: header,
		RemainingMillis: r.remaining(time.Now()).Milliseconds(), BodyBytes: int64(len(r.body)),
		Runs: int32(r.runs), Resumed: r.headSent, Probe: r.probe, Returnable: e.otherRegionMayRun(r, region), Switchover: r.switchover != nil,
		VersionBound: r.streamVersion.bound, Version: r.streamVersion.version, Service: r.service.Name,
	}
	if t := e.table(); t != nil {
		msg.ConfigNumber = t.Config.Version
	}
	if r.hasKey {
		msg.KeyID = r.key.String()
	}
	if r.workspace != nil {
		msg.Workspace = r.workspace.Name
	}
	return msg
}

// otherRegionMayRun reports whether the request may run in a region other than the given one.
func (e *Edge) otherRegionMayRun(r *request, region string) bool {
	for _, other := range e.Settings.Regions {
		if other != region && route.Allowed(r.route, r.workspace, other) {
			return true
		}
	}
	return false
}

// forwardRelay relays the answer of another VM to the sink.
type forwardRelay struct {
	edge    *Edge
	request *request
	slot    string
	stream  *vm.Stream
	sink    *Sink
	// resumed is set if the caller already has the response head.
	resumed bool
	// runs is the number of upstreams at which the other VM may run the request, including earlier attempts.
	runs int
	// events is set if the answer is an event stream.
	events bool
	// pending holds the bytes of an incomplete event. VMs split long events, and the caller must get no part of an event that another
	// upstream may repeat.
	pending *memory.Buffer
	// source checks the events of a stream.
	source *eventSource
}

// relayForwarded relays the answer of another VM to the sink.
func (e *Edge) relayForwarded(ctx context.Context, r *request, slot string, st *vm.Stream, sink *Sink) Outcome {
	f := &forwardRelay{edge: e, request: r, slot: slot, stream: st, sink: sink, resumed: r.headSent, events: r.headSent, runs: r.runs + 1}
	f.source = e.newEventSource(r, "", slot)
	f.pending = e.memory.answers.Buffer(slot)
	defer f.pending.Release()
	for {
		body, end, err := st.Recv(ctx)
		switch {
		case err != nil && ctx.Err() != nil:
			st.Reset()
			return f.lose(CallerDisconnected, "the caller left or the time was over")
		case err != nil:
			return f.lose(VMLost, "vm "+slot+": "+err.Error())
		case end != nil && f.pending.Len() > 0 && Reason(end.Code) == Answered:
			return f.lose(VMLost, "vm "+slot+": the stream ends inside an event")
		case end != nil && Reason(end.Code) == Answered && !r.headSent:
			return f.lose(VMLost, "vm "+slot+": "+errMissingHead.Error())
		case end != nil && Reason(end.Code) == Answered && f.source.checkEnd() != nil:
			return f.lose(VMLost, "vm "+slot+": "+errNotContinued.Error())
		case end != nil:
			return e.outcomeOfEnd(r, slot, end)
		}
		if err := f.receive(ctx, body); err != nil {
			st.Reset()
			var sinkErr *sinkError
			if errors.As(err, &sinkErr) {
				return f.lose(CallerDisconnected, err.Error())
			}
			return f.lose(VMLost, "vm "+slot+": "+err.Error())
		}
	}
}

// lose returns the outcome if the other VM has not reported one. It may have run the request wherever it was allowed to.
func (f *forwardRelay) lose(reason Reason, detail string) Outcome {
	f.request.runs = max(f.request.runs, f.runs)
	return fail(reason, detail)
}

// Errors of the head that another VM sends. Without one, net/http would send a 200 to the caller.
var (
	errDuplicateHead = errors.New("the other vm sent a second head")
	errMissingHead   = errors.New("the other vm sent no head")
)

// sinkError is an error of the caller's connection, as opposed to one of the other VM.
type sinkError struct{ err error }

// Error returns the message of the cause.
func (e *sinkError) Error() string { return e.err.Error() }

// receive handles one message of the other VM.
func (f *forwardRelay) receive(ctx context.Context, body []byte) error {
	var c vmwire.Chunk
	if _, err := c.UnmarshalMsg(body); err != nil {
		return err
	}
	if c.RunRequest > 0 {
		return f.grantRuns(ctx, int(c.RunRequest))
	}
	f.request.switchover.accepted()
	return f.relayChunk(&c)
}

// grantRuns replies to the question whether the request may run at that many upstreams. Granted runs count as made from then on,
// since the session may be lost before the other VM reports them, and are charged to the retry budget of this VM, which the request's
// caller has earned.
func (f *forwardRelay) grantRuns(ctx context.Context, runs int) error {
	if runs > f.runs && runs <= f.request.route.MaxAttempts && f.edge.takeRetry(f.request, causeGranted) {
		f.runs = runs
	}
	reply, err := (&vmwire.RunGrant{Runs: int32(f.runs)}).MarshalMsg(nil)
	if err != nil {
		return err
	}
	_ = f.stream.Send(ctx, reply) // The next read reports the end of the stream.
	return nil
}

// relayChunk relays one chunk.
func (f *forwardRelay) relayChunk(c *vmwire.Chunk) error {
	if c.Status != 0 {
		return f.relayHead(c)
	}
	if len(c.Data) == 0 {
		return nil
	}
	if !f.request.headSent {
		return errMissingHead
	}
	if !f.events {
		return asSinkError(f.sink.Data(c.Data, true))
	}
	if err := f.pending.Append(c.Data); err != nil {
		f.edge.recordMemoryFull(f.request, heldEvent, f.slot, err)
		return err
	}
	end := sequence.EndOfLast(f.pending.Bytes(), len(c.Data))
	if end == 0 {
		if f.pending.Len() > maxEventBytes {
			return errEventTooLong
		}
		return nil
	}
	err := f.relayEvents(f.pending.Bytes()[:end])
	f.pending.Consume(end)
	return err
}

// relayEvents relays those of the complete events that the caller does not have.
func (f *forwardRelay) relayEvents(complete []byte) error {
	if sequence.HasEvent(complete) {
		f.edge.recordFirstEvent(f.request)
	}
	events, err := f.source.next(complete)
	if len(events) > 0 {
		f.source.reportStep()
		if sinkErr := f.sink.Data(events, true); sinkErr != nil {
			return asSinkError(sinkErr)
		}
	}
	return err
}

func (f *forwardRelay) relayHead(c *vmwire.Chunk) error {
	if f.resumed {
		return errDuplicateHead
	}
	if err := httpresponse.CheckFinalHead(int(c.Status), c.Header); err != nil {
		return err
	}
	header := splitHeader(c.Header)
	f.request.headSent = true
	f.events = isEventStream(int(c.Status), header)
	f.request.notResumable = !f.events
	f.edge.adoptService(f.request, c.Service)
	switch {
	case c.VersionKnown:
		f.edge.streamBegan(f.request, c.Version)
	case f.events:
		f.edge.recordStreamOrigin(f.request, version.Stream{Service: f.request.service.Name, Version: version.Uncertain})
	}
	return asSinkError(f.sink.Head(int(c.Status), header, int(c.End)))
}

func asSinkError(err error) error {
	if err == nil {
		return nil
	}
	return &sinkError{err: err}
}

func (e *Edge) outcomeOfEnd(r *request, slot string, end *vmwire.End) Outcome {
	r.destination = slot + "/" + end.Upstream
	out := Outcome{
		Reason: Reason(end.Code), Status: int(end.Status), Ran: MayHaveRun, Detail: end.Message,
		RetryAfter: time.Duration(end.RetryAfterMillis) * time.Millisecond,
	}
	switch end.Ran {
	case HasRun.String():
		out.Ran = HasRun
	case NotRun.String():
		out.Ran = NotRun
	}
	if out.Reason == CallerDisconnected {
		out.Reason = VMLost // The other VM took this one for gone, not the caller.
	}
	out.Reason = knownReason(out.Reason, out.Ran)
	out.Complete = out.Reason == Answered
	if out.Reason == UpstreamRefused && out.Ran == NotRun {
		r.failedVMs = slices.DeleteFunc(r.failedVMs, func(failed string) bool { return failed == slot })
	}
	r.runs = max(r.runs, int(end.Runs))
	return out
}

// knownReason returns the reason of another VM, or the closest one if only a newer build knows it.
func knownReason(reason Reason, ran Ran) Reason {
	_, known := statuses[reason]
	switch {
	case known || reason == Answered:
		return reason
	case ran == NotRun:
		return NoUpstream
	}
	return UpstreamFailed
}

func splitHeader(joined map[string]string) http.Header {
	h := make(http.Header, len(joined))
	for name, values := range joined {
		h[name] = strings.Split(values, valueSeparator)
	}
	return h
}

package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/place"
	"parsleyhatch/route"
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
	slot, st, err := e.Fleet.OpenStream(ctx, e.Now(), region, r.service.Name, msg, r.triedVMs)
	if errors.Is(err, fleet.ErrNoVM) {
		return refuse(NoUpstream, "no vm of region "+region+" can run the request", defaultRetryAfter), false
	}
	if err != nil {
		return refuse(VMLost, err.Error(), defaultRetryAfter), true
	}
	r.triedVMs = append(r.triedVMs, slot)
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
	if r.lastEvent != "" {
		header[http.CanonicalHeaderKey(headerLastEvent)] = r.lastEvent
	}
	msg := &vmwire.Open{
		RequestID: r.id, OriginSlot: e.Settings.Name, OriginRegion: e.Settings.Region,
		Route: r.route.Name, Hops: 1, Method: r.method, Path: r.target, Header: header,
		RemainingMillis: r.remaining(time.Now()).Milliseconds(), BodyBytes: int64(len(r.body)),
		Runs: int32(r.runs), Resumed: r.headSent, Probe: r.probe, Returnable: e.otherRegionMayRun(r, region), Switchover: r.switchover != nil,
		VersionBound: r.streamVersion.bound, Version: r.streamVersion.version,
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

// relayForwarded relays the answer of another VM to the sink.
func (e *Edge) relayForwarded(ctx context.Context, r *request, slot string, st *vm.Stream, sink *Sink) Outcome {
	resumed := r.headSent
	for {
		body, end, err := st.Recv(ctx)
		switch {
		case err != nil && ctx.Err() != nil:
			st.Reset()
			r.runs++
			return fail(CallerDisconnected, "the caller left or the time was over")
		case err != nil:
			r.runs++
			return fail(VMLost, "vm "+slot+": "+err.Error())
		case end != nil:
			return e.outcomeOfEnd(r, slot, end)
		}
		r.switchover.accepted()
		var c vmwire.Chunk
		if _, err := c.UnmarshalMsg(body); err != nil {
			st.Reset()
			r.runs++
			return fail(VMLost, "vm "+slot+": "+err.Error())
		}
		if err := e.relayChunk(r, &c, sink, resumed); err != nil {
			st.Reset()
			r.runs++
			if errors.Is(err, errDuplicateHead) {
				return fail(VMLost, "vm "+slot+": "+err.Error())
			}
			return fail(CallerDisconnected, err.Error())
		}
	}
}

// errDuplicateHead reports that another VM sent a response head although the caller already has one.
var errDuplicateHead = errors.New("the other vm sent a second head")

// relayChunk relays one chunk. If resumed is set, the caller already has the response head.
func (e *Edge) relayChunk(r *request, c *vmwire.Chunk, sink *Sink, resumed bool) error {
	if c.Status != 0 {
		if resumed {
			return errDuplicateHead
		}
		r.headSent = true
		if c.VersionKnown {
			e.streamBegan(r, c.Version)
		}
		return sink.Head(int(c.Status), splitHeader(c.Header), int(c.End))
	}
	if id, ok := lastEventID(c.Data); ok && r.route.Resumable {
		r.lastEvent = id
	}
	return sink.Data(c.Data, true)
}

func (e *Edge) outcomeOfEnd(r *request, slot string, end *vmwire.End) Outcome {
	r.destination = slot + "/" + end.Upstream
	out := Outcome{
		Reason: Reason(end.Code), Status: int(end.Status), Detail: end.Message,
		RetryAfter: time.Duration(end.RetryAfterMillis) * time.Millisecond,
	}
	switch end.Ran {
	case HasRun.String():
		out.Ran = HasRun
	case MayHaveRun.String():
		out.Ran = MayHaveRun
	}
	out.Complete = out.Reason == Answered
	r.runs = max(r.runs, int(end.Runs))
	return out
}

func splitHeader(joined map[string]string) http.Header {
	h := make(http.Header, len(joined))
	for name, values := range joined {
		h[name] = strings.Split(values, valueSeparator)
	}
	return h
}

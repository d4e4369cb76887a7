package edge

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"parsleyhatch/fleet"
	"parsleyhatch/place"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// hostHeader carries the host among the headers of a forwarded request.
const hostHeader = "Host"

// valueSeparator joins the values of one header between VMs. No header value contains it.
const valueSeparator = "\n"

// forward passes the request on to a VM of another region and relays the answer. It reports false if no VM
// could be asked.
func (e *Edge) forward(ctx context.Context, r *request, region string, sink *Sink) (Outcome, bool) {
	open := e.openMessage(r)
	slot, st, err := e.Fleet.Open(ctx, e.Now(), region, r.service.Name, open, r.triedVMs)
	if errors.Is(err, fleet.ErrNoVM) {
		return refuse(NoUpstream, "no vm of region "+region+" can run the request", refusalPause), false
	}
	if err != nil {
		return refuse(VMLost, err.Error(), refusalPause), true
	}
	r.triedVMs = append(r.triedVMs, slot)
	r.triedRegions = append(r.triedRegions, region)
	r.sends++
	stop := context.AfterFunc(ctx, st.Reset)
	defer stop()
	if err := st.Send(ctx, r.body); err != nil {
		st.Reset()
		// The other VM starts no request whose body has not arrived whole.
		return refuse(VMLost, "send to vm "+slot+": "+err.Error(), refusalPause), true
	}
	e.sent.Add(e.Now(), place.Key{Service: r.service.Name, Region: region}, r.prompt.Tokens)
	return e.relayForwarded(ctx, r, slot, st, sink), true
}

func (e *Edge) openMessage(r *request) *vmwire.Open {
	header := map[string]string{hostHeader: r.host}
	for name, values := range endToEnd(r.header) {
		header[name] = strings.Join(values, valueSeparator)
	}
	for _, name := range reservedBetweenVMs {
		delete(header, name)
	}
	if r.lastEvent != "" {
		header[http.CanonicalHeaderKey(headerLastEvent)] = r.lastEvent
	}
	open := &vmwire.Open{
		RequestID: r.id, OriginSlot: e.Settings.Name, OriginRegion: e.Settings.Region,
		Route: r.route.Name, Hops: 1, Method: r.method, Path: r.target, Header: header,
		RemainingMillis: r.left(time.Now()).Milliseconds(), BodyBytes: int64(len(r.body)),
		Runs: int32(r.runs), Resumed: r.headSent,
	}
	if t := e.table(); t != nil {
		open.ConfigNumber = t.Config.Version
	}
	if r.hasKey {
		open.KeyID = r.key.String()
	}
	if r.workspace != nil {
		open.Workspace = r.workspace.Name
	}
	return open
}

// relayForwarded passes the answer of another VM on.
func (e *Edge) relayForwarded(ctx context.Context, r *request, slot string, st *vm.Stream, sink *Sink) Outcome {
	headBefore := r.headSent
	for {
		body, end, err := st.Recv(ctx)
		switch {
		case err != nil && ctx.Err() != nil:
			st.Reset()
			r.runs++
			return fail(CallerGone, "the caller left or the time was over")
		case err != nil:
			r.runs++
			return fail(VMLost, "vm "+slot+": "+err.Error())
		case end != nil:
			return e.forwardedEnd(r, slot, end)
		}
		var c vmwire.Chunk
		if _, err := c.UnmarshalMsg(body); err != nil {
			st.Reset()
			r.runs++
			return fail(VMLost, "vm "+slot+": "+err.Error())
		}
		if err := e.forwardedChunk(r, &c, sink, headBefore); err != nil {
			st.Reset()
			r.runs++
			if errors.Is(err, errSecondHead) {
				return fail(VMLost, "vm "+slot+": "+err.Error())
			}
			return fail(CallerGone, err.Error())
		}
	}
}

// errSecondHead says that another VM began an answer anew for which the caller has the head.
var errSecondHead = errors.New("the other vm sent a second head")

// forwardedChunk passes one piece on.
func (e *Edge) forwardedChunk(r *request, c *vmwire.Chunk, sink *Sink, headBefore bool) error {
	if c.Status != 0 {
		if headBefore {
			return errSecondHead
		}
		r.headSent = true
		return sink.Head(int(c.Status), splitHeader(c.Header), int(c.End))
	}
	if id, ok := lastEventID(c.Data); ok && r.route.Resumable {
		r.lastEvent = id
	}
	return sink.Data(c.Data, true)
}

func (e *Edge) forwardedEnd(r *request, slot string, end *vmwire.End) Outcome {
	r.place = slot + "/" + end.Upstream
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
	out.Whole = out.Reason == Answered
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

package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/event"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// forward runs a request at a VM of another region.
func (g *Gateway) forward(ctx context.Context, r *Request, region string, p *progress) Outcome {
	s := g.sessionTo(ctx, region)
	if s == nil {
		return refuseUntil(UnreachableRegion, "region "+region+" is unreachable", shortRetryAfter)
	}
	return g.forwardOver(ctx, r, s, p)
}

// sessionTo returns a session with the least loaded usable VM of a region.
func (g *Gateway) sessionTo(ctx context.Context, region string) *vm.Session {
	list := slices.Clone(g.VMs())
	slices.SortStableFunc(list, func(a, b VMStatus) int { return a.Queue - b.Queue })
	for _, info := range list {
		if info.Region != region || !info.Alive || !info.Ready || info.Leaving {
			continue
		}
		if s := g.sessionWith(ctx, info.Name); s != nil {
			return s
		}
	}
	return nil
}

// forwardOver sends a request over a session and passes its answer to the caller.
func (g *Gateway) forwardOver(ctx context.Context, r *Request, s *vm.Session, p *progress) Outcome {
	if r.Forwarded {
		event.FailInvariant(g.Log, event.BrokenSecondHop, "request", r.ID, "origin", r.OriginSlot)
	}
	st, err := s.OpenStream(ctx, g.openMessage(r, p))
	if err != nil {
		return markRanUnknown(r.Route, refuseUntil(UnreachableRegion, "vm "+s.Peer.Slot+" is unreachable", shortRetryAfter))
	}
	if err := st.Send(ctx, r.Body); err != nil && !errors.Is(err, vm.ErrStreamReset) && !errors.Is(err, vm.ErrStreamEnded) {
		st.Reset()
		return forwardLost(ctx, s)
	}
	for {
		body, end, err := st.Recv(ctx)
		switch {
		case err != nil:
			st.Reset()
			return forwardLost(ctx, s)
		case end != nil && Code(end.Code) == OK && !p.started:
			event.ChunkMismatch.Log(g.Log, "request", r.ID, "peer", s.Peer.Slot)
			return forwardLost(ctx, s)
		case end != nil:
			out := outcomeFromEnd(end)
			out.Region = s.Peer.Region
			out.AnswerTokens = p.tokens
			return out
		}
		// The stream owns the body, so its data is decoded in place.
		c := vmwire.Chunk{Data: body[:0]}
		if _, err := c.UnmarshalMsg(body); err != nil || !p.accepts(&c) {
			event.ChunkMismatch.Log(g.Log, "request", r.ID, "peer", s.Peer.Slot)
			st.Reset()
			return forwardLost(ctx, s)
		}
		if err := p.pass(ctx, &c); err != nil {
			st.Reset()
			return Outcome{Code: CallerGone, Message: "the caller closed the connection", Ran: DidRun}
		}
	}
}

// forwardLost returns the outcome of a forwarded request whose stream broke.
func forwardLost(ctx context.Context, s *vm.Session) Outcome {
	if ctx.Err() != nil {
		return cancelledOutcome(ctx, Unknown)
	}
	return Outcome{
		Code:       PeerLost,
		Message:    "the connection to vm " + s.Peer.Slot + " broke",
		Ran:        Unknown,
		RetryAfter: shortRetryAfter,
	}
}

func (g *Gateway) openMessage(r *Request, p *progress) *vmwire.Open {
	return &vmwire.Open{
		RequestID:       r.ID,
		OriginSlot:      g.Self.Slot,
		OriginRegion:    g.Self.Region,
		ConfigNumber:    r.Snapshot.Version.Number,
		ConfigDigest:    r.Snapshot.Version.Digest,
		Route:           r.Route.Name,
		Workspace:       r.Workspace.Name,
		KeyID:           r.KeyID,
		Hops:            1,
		Method:          r.Method,
		Path:            r.Path,
		Header:          r.Header,
		ResumeFrom:      p.next,
		MaxTokens:       r.MaxTokens,
		PromptTokens:    r.PromptTokens,
		RemainingMillis: r.Deadline.Sub(g.Now()).Milliseconds(),
		IdempotencyKey:  r.IdempotencyKey,
		BodyBytes:       int64(len(r.Body)),
	}
}

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 4 << 20

// bodyTimeout bounds the time in which a forwarded body must arrive.
const bodyTimeout = 30 * time.Second

// serveStream runs a request that another VM forwarded.
func (g *Gateway) serveStream(st *vm.Stream, open vmwire.Open) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	r, out := g.receiveForwarded(ctx, st, &open)
	if r == nil {
		if mayBeRecorded(g.Snapshot(), &open) && out.Ran == NotRun {
			out.Ran = Unknown // See markRanUnknown.
		}
		g.endStream(st, out)
		return
	}
	if out = g.register(r, cancel); out.Code != OK {
		g.endStream(st, markRanUnknown(r.Route, out))
		return
	}
	defer g.streams.remove(r.ID)
	go g.watchReset(ctx, st, cancel)
	p := &progress{next: r.ResumeFrom, sink: func(ctx context.Context, c *vmwire.Chunk) error {
		return st.SendChunk(ctx, c)
	}}
	out = g.runLocal(ctx, r, p)
	g.reportOutcome(r, out)
	g.endStream(st, out)
}

// mayBeRecorded reports whether the request is a call of which this VM may have a record. A leaving
// VM still looks up the records of such calls.
func mayBeRecorded(s *config.Snapshot, open *vmwire.Open) bool {
	if open.IdempotencyKey == "" {
		return false
	}
	if s == nil || s.Routes[open.Route] == nil {
		return true
	}
	return !s.Routes[open.Route].Idempotent
}

// watchReset cancels the request when the origin resets the stream.
func (g *Gateway) watchReset(ctx context.Context, st *vm.Stream, cancel context.CancelCauseFunc) {
	if _, _, err := st.Recv(ctx); err != nil && ctx.Err() == nil {
		cancel(errCallerGone)
	}
}

func (g *Gateway) endStream(st *vm.Stream, out Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), bodyTimeout)
	defer cancel()
	_ = st.SendEnd(ctx, endMessage(out))
}

// receiveForwarded checks a forwarded request against this VM's configuration and reads its body.
// The checks come before the body is read, so that a request that may not run here leaves no data.
func (g *Gateway) receiveForwarded(ctx context.Context, st *vm.Stream, open *vmwire.Open) (*Request, Outcome) {
	r, out := g.checkOpen(open)
	if r == nil {
		return nil, out
	}
	ctx, cancel := context.WithTimeout(ctx, bodyTimeout)
	defer cancel()
	r.Body = make([]byte, 0, open.BodyBytes)
	for int64(len(r.Body)) < open.BodyBytes {
		data, end, err := st.Recv(ctx)
		if err != nil || end != nil || int64(len(r.Body)+len(data)) > open.BodyBytes {
			return nil, refuse(InvalidRequest, "the forwarded body is incomplete")
		}
		r.Body = append(r.Body, data...)
	}
	if r.Route.Kind == config.KindModel {
		chat, err := ParseChat(r.Body)
		if err != nil {
			return nil, refuse(InvalidRequest, err.Error())
		}
		r.PrefixKey = chat.PrefixKey(r.Workspace.Name)
	}
	g.computeHashes(r)
	return r, Outcome{}
}

// checkOpen builds the request, or refuses it.
func (g *Gateway) checkOpen(open *vmwire.Open) (*Request, Outcome) {
	s := g.Snapshot()
	if g.leaving.Load() && !mayBeRecorded(s, open) {
		return nil, refuseUntil(Leaving, "vm "+g.Self.Slot+" is leaving", shortRetryAfter)
	}
	admitted := config.Version{Number: open.ConfigNumber, Digest: open.ConfigDigest}
	if s == nil || admitted.After(s.Version) {
		return nil, refuseUntil(StaleConfig, "vm "+g.Self.Slot+" has not got the configuration yet", shortRetryAfter)
	}
	route, workspace := s.Routes[open.Route], s.Workspaces[open.Workspace]
	if route == nil || workspace == nil || open.Hops != 1 || open.BodyBytes < 0 || open.BodyBytes > MaxBodyBytes {
		return nil, refuse(InvalidRequest, "route or workspace unknown, or more than one hop")
	}
	if !slices.Contains(s.AllowedRegions(route, workspace), g.Self.Region) {
		return nil, refuse(WrongRegion, "region "+g.Self.Region+" may not run this request")
	}
	if key := s.Keys[open.KeyID]; open.KeyID != "" && (key == nil || key.Withdrawn || key.Workspace != workspace.Name) {
		return nil, refuse(KeyWithdrawn, "key withdrawn")
	}
	if open.KeyID == "" && (!route.Open || route.Workspace != workspace.Name) {
		return nil, refuse(Unauthorized, "the route needs a key")
	}
	now := g.Now()
	return &Request{
		ID: open.RequestID, Snapshot: s, Route: route, Workspace: workspace, KeyID: open.KeyID,
		Method: open.Method, Path: open.Path, Header: open.Header,
		ResumeFrom: open.ResumeFrom, MaxTokens: open.MaxTokens, PromptTokens: open.PromptTokens,
		IdempotencyKey: open.IdempotencyKey, AdmittedAt: now,
		Deadline:  now.Add(time.Duration(open.RemainingMillis) * time.Millisecond),
		Forwarded: true, OriginSlot: open.OriginSlot,
	}, Outcome{}
}

package edge

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"parsleyhatch/event"
	"parsleyhatch/replica"
	"parsleyhatch/route"
	"parsleyhatch/sequence"
	"parsleyhatch/upstream"
)

// errUpstreamEnded, errResetAfterEnd and errEndUnconfirmed report that an answer has ended, and may not be complete. Where it has no length, the
// connection of a process that is killed ends like that of a complete answer.
var (
	errUpstreamEnded  = errors.New("the answer has no length, and its upstream has ended")
	errResetAfterEnd  = errors.New("the answer has no length, and its upstream has reset the connection before it had read the request")
	errEndUnconfirmed = errors.New("nothing shows that the stream is complete")
)

// defaultOpenTime is the time for which a connection must stay open that shows that an upstream lives. A process that is killed closes its connections
// in any order, and may take another one, or have it in its backlog, before its listener is closed.
const defaultOpenTime = 25 * time.Millisecond

// checkUnsizedEnd returns an error if an answer without a length may have ended too early. Nothing in the answer shows that, so
// the upstream is checked: one that has ended has cut the answer off, unless it was leaving and has closed its listener before its last
// answers. What is left in doubt is resumed where the route allows it: if nothing follows, the stream was complete. nothingFollows is set if
// the answer is such a resumption.
func (e *Edge) checkUnsizedEnd(r *request, pick *replica.Pick, a *upstream.Response, nothingFollows bool) error {
	if a.Framed || r.method == http.MethodHead {
		return nil
	}
	probe := probeOf(pick, r.service.Name)
	reachable := e.takesConnection(probe)
	leaving := e.Replicas.IsLeaving(pick.ID)
	unusual := e.framing.isUnsizedUnusual(r.streamKind())
	distrusted := r.route.Kind == route.Streaming && e.unsizedEnds.counts(r.service.Name).distrusted()
	var err error
	switch {
	case !reachable && !leaving:
		err = errUpstreamEnded
	case isSuccess(a.Status) && a.WasResetAfterEnd(): // A refusal needs no more of the request.
		err = errResetAfterEnd
	case (unusual || !reachable) && r.mayResume() && !nothingFollows, distrusted:
		err = errEndUnconfirmed
	}
	if err != nil {
		e.Metrics.AddCounter("unsized_answers_in_doubt", 1)
		event.UnsizedEndDoubted.Log(e.Log, "request", r.id, "upstream", pick.ID, "lastEvent", r.lastEventID(), "reachable", reachable,
			"leaving", leaving, "unusual", unusual, "distrusted", distrusted, "resumes", r.mayResume(), "reset", errors.Is(err, errResetAfterEnd))
	}
	return err
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// takesConnection reports whether an upstream takes a connection that stays open. One that closes it at once may have too many, so that others which
// stay open show the same. A process that is killed closes them within the time for which a new one must stay open.
func (e *Edge) takesConnection(p replica.Probe) bool {
	startedAt := e.Now()
	err := e.connect(context.Background(), p, e.openTime)
	if !upstream.IsClosedAtOnce(err) {
		return err == nil
	}
	time.Sleep(e.openTime - e.Now().Sub(startedAt))
	return e.Pool.KeepsConnection(p.Address, startedAt, time.Time{})
}

// mayResume reports whether the caller has a part of a stream that another upstream can continue.
func (r *request) mayResume() bool {
	return r.headSent && r.route.Kind == route.Streaming && r.route.Resumable && !r.notResumable
}

// goesOn reports whether an answer goes on after an event that the caller has, so that it may hold none.
func (r *request) goesOn() bool {
	return r.route.Kind == route.Streaming && r.route.Resumable && r.lastEventID() != ""
}

const (
	// minFramedStreams is the number of framed streams of a kind for each unsized one from which an unsized stream is unusual.
	minFramedStreams = 20
	// maxFramingCount bounds the counts, so that the latest streams decide: both are halved when one exceeds it.
	maxFramingCount = 1000
	// maxFramingKinds bounds the kinds of streams that are counted.
	maxFramingKinds = 1000
)

// framingHistory counts the streams that have ended with the framing of their answer and those that have ended with their connection, by
// kind. It is safe for concurrent use.
type framingHistory struct {
	mu    sync.Mutex
	kinds map[sequence.Kind]framingCounts
}

type framingCounts struct{ framed, unsized int }

// record counts a stream that has ended.
func (h *framingHistory) record(k sequence.Kind, framed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, known := h.kinds[k]
	if !known && len(h.kinds) >= maxFramingKinds || h.kinds == nil {
		h.kinds = map[sequence.Kind]framingCounts{}
	}
	if framed {
		c.framed++
	} else {
		c.unsized++
	}
	if max(c.framed, c.unsized) > maxFramingCount {
		c.framed, c.unsized = c.framed/2, c.unsized/2
	}
	h.kinds[k] = c
}

// isUnsizedUnusual reports whether nearly all streams of the kind were framed.
func (h *framingHistory) isUnsizedUnusual(k sequence.Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.kinds[k]
	return c.framed >= minFramedStreams*(c.unsized+1)
}

// mayAssumeEnd reports whether a stream without a length that has ended counts as complete if that cannot be checked. Where other streams have a
// length, the checked ones must show it.
func (e *Edge) mayAssumeEnd(r *request) bool {
	checked := e.unsizedEnds.counts(r.service.Name)
	return checked.trusted() && (checked.known() || e.framing.isUnsizedUsual(r.streamKind()))
}

const (
	// minCheckedEnds is the number of unsized ends of a service that must have been checked before they show what the others are.
	minCheckedEnds = 20
	// minSoundEnds is the number of sound ends for each that was cut off from which unsized ends are trusted, and maxSoundEnds the one below which
	// those of streams that cannot be checked are distrusted.
	minSoundEnds = 100
	maxSoundEnds = 20
)

// endHistory counts the unsized ends of streams that were checked, by service. It is safe for concurrent use.
type endHistory struct {
	mu       sync.Mutex
	services map[string]endCounts
}

type endCounts struct{ sound, cut int }

// record counts an unsized end of a stream that was checked.
func (h *endHistory) record(service string, sound bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services == nil {
		h.services = map[string]endCounts{}
	}
	c := h.services[service]
	if sound {
		c.sound++
	} else {
		c.cut++
	}
	if c.sound > maxFramingCount {
		c.sound, c.cut = c.sound/2, c.cut/2
	}
	h.services[service] = c
}

func (h *endHistory) counts(service string) endCounts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.services[service]
}

// isUnsizedUsual reports whether half of the streams of the kind at least had no length.
func (h *framingHistory) isUnsizedUsual(k sequence.Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.kinds[k]
	return c.unsized >= c.framed
}

// known reports whether enough ends were checked.
func (c endCounts) known() bool { return c.sound+c.cut >= minCheckedEnds }

// trusted reports whether no end, or hardly one, was found to be cut off.
func (c endCounts) trusted() bool { return c.sound >= minSoundEnds*c.cut }

// distrusted reports whether upstreams that live often cut streams off.
func (c endCounts) distrusted() bool { return c.known() && c.sound < maxSoundEnds*c.cut }

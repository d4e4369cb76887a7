package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"parsleyhatch/callerconn"
	"parsleyhatch/event"
	"parsleyhatch/logbuf"
	"parsleyhatch/memory"
	"parsleyhatch/platform"
	"parsleyhatch/route"
	"parsleyhatch/vmwire"
)

const (
	// headerTimeout limits the time to receive a request's header, and idleTimeout the time between two requests.
	// They apply where the configuration sets no limit or is not known yet.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes is the maximum size of a request's header, in bytes.
	maxHeaderBytes = 64 << 10
	// bodyTimeout limits the time to receive a request's body.
	bodyTimeout = 10 * time.Second
	// defaultRetryAfter is the Retry-After of refusals for which no better estimate is known.
	defaultRetryAfter = 500 * time.Millisecond
)

// newServer returns a kratos transport server. The handler replaces the transport's router, which would clean
// the request path.
func newServer(l net.Listener, h http.Handler) *kratoshttp.Server {
	logbuf.SuppressTransportLogs()
	// Without an endpoint, kratos enumerates the network interfaces, which the platform does not permit.
	endpoint := &url.URL{Scheme: "http", Host: l.Addr().String()}
	s := kratoshttp.NewServer(kratoshttp.Listener(l), kratoshttp.Timeout(0), kratoshttp.Endpoint(endpoint))
	s.Handler = h
	s.MaxHeaderBytes = maxHeaderBytes
	return s
}

// newBoundedServer returns a server with the default connection timeouts.
func newBoundedServer(l net.Listener, h http.Handler) *kratoshttp.Server {
	s := newServer(l, h)
	s.ReadHeaderTimeout = headerTimeout
	s.IdleTimeout = idleTimeout
	return s
}

// newPlatformServer returns a bounded server whose connections leave room for those of callers.
func (e *Edge) newPlatformServer(l net.Listener, h http.Handler) *kratoshttp.Server {
	limiter := callerconn.New()
	limiter.SetBounds(e.clients.listenerBounds())
	s := newBoundedServer(limiter.Listener(l), h)
	s.ConnState = limiter.ConnState
	return s
}

// CallerServer returns the server for requests of callers. ConnLimiter enforces the connection limits of the
// configuration.
func (e *Edge) CallerServer(l net.Listener) *kratoshttp.Server {
	s := newServer(e.ConnLimiter.Listener(l), http.HandlerFunc(e.serveCaller))
	s.ConnState = e.ConnLimiter.ConnState
	s.ConnContext = callerconn.ConnContext
	return s
}

// ConnLimits returns the limits of callers' connections from the configuration, or the defaults.
func (e *Edge) ConnLimits() callerconn.Limits {
	limits := callerconn.Limits{Header: headerTimeout, Idle: idleTimeout}
	t := e.table()
	if t == nil {
		return limits
	}
	if d := t.Config.Limits.HeaderTimeout; d > 0 {
		limits.Header = d
	}
	if d := t.Config.Limits.IdleTimeout; d > 0 {
		limits.Idle = d
	}
	return limits
}

// serveCaller handles one request of a caller.
func (e *Edge) serveCaller(w http.ResponseWriter, h *http.Request) {
	e.open.Add(1)
	defer e.open.Add(-1)
	// Prevents net/http from adding headers that the upstream did not send.
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	r := &request{callerRequest: callerRequest{
		id: h.Header.Get(platform.HeaderRequestID), method: h.Method, target: h.RequestURI, host: h.Host,
		header: h.Header, arrived: time.Now(),
	}}
	r.lastEvent = h.Header.Get(platform.HeaderLastEventID)
	defer r.releaseMemory()
	out, ok := e.admit(w, h, r)
	if !ok {
		e.refuseCaller(w, h, r, out)
		return
	}
	ctx, cancel := e.requestContext(h.Context(), r.deadline)
	defer cancel()
	sink := e.callerSink(w)
	r.promised = e.returnsAsPromised(e.Now(), r)
	if out, ok = e.bindResumed(ctx, r); ok {
		out = e.run(ctx, r, sink)
		out = e.promiseReturn(e.Now(), r, out)
	}
	if out.Ran == NotRun && r.charged > 0 {
		e.Quota.Refund(e.Now(), r.workspace.Name, r.charged)
	}
	e.endProbe(r, out)
	e.recordOutcome(r, out)
	switch {
	case out.Complete:
	case r.headSent:
		callerconn.Abort(w, h)
	default:
		e.writeRefusal(w, out)
	}
}

// refuseCaller answers a request that was not admitted. It closes the connection if the body is unread.
func (e *Edge) refuseCaller(w http.ResponseWriter, h *http.Request, r *request, out Outcome) {
	e.endProbe(r, out)
	e.recordOutcome(r, out)
	if h.ContentLength != 0 && r.body == nil {
		// On a connection that is kept alive, net/http reads the rest of the body before it sends the answer.
		w.Header().Set("Connection", "close")
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(time.Second))
	}
	e.writeRefusal(w, out)
}

// writeRefusal writes an answer that the gateway generates itself.
func (e *Edge) writeRefusal(w http.ResponseWriter, out Outcome) {
	e.closeIfLeaving(w.Header())
	if out.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(out.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body := fmt.Sprintf("{\"error\":%q,\"ran\":%q,\"detail\":%q}\n", out.Reason, out.Ran, out.Detail)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(out.Status)
	_, _ = io.WriteString(w, body) // Fails only if the caller has disconnected.
}

// closeIfLeaving closes the connection after the answer if this VM is shutting down. Idle connections stay
// open, because closing one while a request arrives on it would lose the request.
func (e *Edge) closeIfLeaving(h http.Header) {
	if leaving, _ := e.isLeaving(e.Now()); leaving {
		h.Set("Connection", "close")
	}
}

// callerSink returns a sink that writes the answer to a caller.
func (e *Edge) callerSink(w http.ResponseWriter) *Sink {
	control := http.NewResponseController(w)
	return &Sink{
		Head: func(status int, header http.Header, length int) error {
			to := w.Header()
			e.closeIfLeaving(to)
			for name, values := range header {
				to[name] = values
			}
			if length >= 0 {
				to.Set("Content-Length", strconv.Itoa(length))
			}
			w.WriteHeader(status)
			return nil
		},
		Data: func(b []byte, flush bool) error {
			if _, err := w.Write(b); err != nil {
				return err
			}
			if !flush {
				return nil
			}
			return control.Flush()
		},
	}
}

// ReadinessServer returns the server for the platform's readiness checks and the directory.
func (e *Edge) ReadinessServer(l net.Listener) *kratoshttp.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", e.serveReady)
	mux.HandleFunc("GET /resolve", e.serveDirectory)
	return e.newPlatformServer(l, mux)
}

func (e *Edge) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready(e.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readBody reads the body within the configured size limit and bodyTimeout. A body that is not complete when a leaving VM ceases to
// accept requests is not waited for. One for which there is no memory is refused on its announced length, if it has one.
func (e *Edge) readBody(w http.ResponseWriter, h *http.Request, r *request, limits route.Limits) ([]byte, Outcome, bool) {
	limit := maxBodyBytes(limits)
	if h.ContentLength > limit {
		return nil, refuse(TooLarge, fmt.Sprintf("body above %d bytes", limit), 0), false
	}
	if h.Body == nil || h.ContentLength == 0 {
		return []byte{}, Outcome{}, true
	}
	body := e.newBody(r)
	if err := body.Reserve(h.ContentLength); err != nil {
		return nil, e.refuseBody(r, err), false
	}
	conn := callerconn.FromContext(h.Context())
	conn.StartBody()
	defer conn.EndBody()
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	end := func() { _ = control.SetReadDeadline(time.Now()) }
	stop := context.AfterFunc(e.stop.accepting, end)
	watch := e.watchBody(r.workspaceName(), h.ContentLength, end)
	err := body.ReadAll(watchedReader{http.MaxBytesReader(w, h.Body, limit), watch}, int(limit))
	watch.stop()
	if !stop() {
		return nil, refuseLeaving(leavingRetryAfter), false
	}
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return nil, e.refuseRead(r, err, watch, limit), false
	}
	return body.Bytes(), Outcome{}, true
}

// refuseRead returns the refusal of a request whose body could not be read.
func (e *Edge) refuseRead(r *request, err error, watch *bodyWatch, limit int64) Outcome {
	var tooLarge *http.MaxBytesError
	switch {
	case memory.IsFull(err):
		return e.refuseBody(r, err)
	case errors.As(err, &tooLarge):
		return refuse(TooLarge, fmt.Sprintf("body above %d bytes", limit), 0)
	case watch.stalled.Load():
		return refuse(BodyStalled, "the body makes too little progress while memory is short", defaultRetryAfter)
	default:
		return refuse(BadRequest, "read body: "+err.Error(), 0)
	}
}

// defaultBodyBytes is the maximum size of a body in bytes if the configuration sets none.
const defaultBodyBytes = 4 << 20

// maxBodyBytes returns the maximum size of the body of a request in bytes.
func maxBodyBytes(limits route.Limits) int64 {
	if limits.MaxBodyBytes > 0 {
		return limits.MaxBodyBytes
	}
	return defaultBodyBytes
}

// recordOutcome logs the outcome of a request and updates the metrics. It never logs keys or content.
func (e *Edge) recordOutcome(r *request, out Outcome) {
	elapsed := time.Since(r.arrived)
	name, workspace := "", r.workspaceName()
	if r.route != nil {
		name = r.route.Name
	}
	e.Metrics.ObserveRequest(name, string(out.Reason), out.Ran.String(), r.forwarded, elapsed, 0)
	ev := event.EdgeFailed
	switch {
	case out.Complete:
		ev = event.EdgeAnswered
	case out.Ran == NotRun:
		ev = event.EdgeRefused
	}
	version := uint64(0)
	if t := e.table(); t != nil {
		version = t.Config.Version
	}
	aborted := r.headSent && !out.Complete && out.Reason != CallerDisconnected
	if aborted && !r.forwarded {
		e.Metrics.AddCounter("answers_aborted", 1)
	}
	ev.Log(e.Log, "request", r.id, "route", name, "workspace", workspace, "reason", string(out.Reason),
		"status", out.Status, "ran", out.Ran.String(), "aborted", aborted, "place", r.destination, "tried", strings.Join(r.triedUpstreams, ","),
		"versions", strings.Join(r.versions, ","), "runs", r.runs, "resumes", r.header.Get(platform.HeaderResumes),
		"versionFrom", string(r.streamVersion.source), "vms", strings.Join(r.triedVMs, ","), "expectedMillis", r.expectedWait.Milliseconds(),
		"running", r.inputs.Running, "readTokens", r.inputs.UncachedTokens, "aheadTokens", r.inputs.TokensAhead, "heldTokens", r.inputs.Held,
		"gapMillis", r.inputs.Figures.Gap.Milliseconds(), "speed", math.Round(r.inputs.Figures.Speed), "limit", string(r.limit),
		"waitedMillis", r.waited.Milliseconds(), "withinShare", r.withinShare, "promised", r.promised,
		"slowness", roundHundredths(r.inputs.Slowness), "failureShare", roundHundredths(r.inputs.Failures),
		"charged", r.charged, "firstMillis", r.firstTokenLatency.Milliseconds(), "tookMillis", elapsed.Milliseconds(),
		"leavingMillis", r.leavingFor.Milliseconds(),
		"config", version, "keysAgeMillis", int64(vmwire.AgeOf(e.Now(), e.Watcher.FreshAt())),
		"forwarded", r.forwarded, "detail", out.Detail)
}

// roundHundredths rounds a ratio to two places.
func roundHundredths(ratio float64) float64 { return math.Round(100*ratio) / 100 }

// MetricsServer returns the server for the metrics endpoint and the questions of operators.
func (e *Edge) MetricsServer(l net.Listener) *kratoshttp.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.Metrics.Handler())
	mux.HandleFunc("POST "+RouteQueryPath, e.serveRouteQuery)
	return e.newPlatformServer(l, mux)
}

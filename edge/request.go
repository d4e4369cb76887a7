package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/poison"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// request is one attempt of a caller on its way through this VM.
type request struct {
	id     string
	method string
	// target is the path with the query, as the caller sent it.
	target string
	host   string
	header http.Header
	body   []byte

	// arrived and deadline are on the steady clock.
	arrived  time.Time
	deadline time.Time

	// key is the hash of the caller's key; hasKey is false if there is none.
	key    route.KeyHash
	hasKey bool

	route     *route.Route
	workspace *route.Workspace
	service   *route.Service
	prompt    replica.Prompt
	print     poison.Fingerprint

	// forwarded says that another VM passed the request on. It is not passed on again.
	forwarded bool
	// tried are the upstreams, and triedVMs the VMs, that got the request.
	tried    []string
	triedVMs []string
	// triedRegions are the other regions that got the request. They get it again only if no other one can run
	// it.
	triedRegions []string
	// runs is the number of upstreams that may have run the request, and sends that of all that got it.
	runs  int
	sends int
	// headSent says that the head of an answer has gone to the caller, and lastEvent is the id of the
	// last event that has.
	headSent  bool
	lastEvent string
	// held is a failure that an upstream answered. The caller gets it unless another attempt does better.
	held *heldAnswer
	// lastResort says that no other upstream is left, so that one that failed may get the request again.
	lastResort bool
	// cost is the expected time to the first token at the latest choice.
	cost time.Duration
	// inputs are what the latest choice of an upstream was based on.
	inputs replica.Inputs
	// charged is what the workspace was charged, in tokens or requests.
	charged int64
	// first is the time from the arrival to the first event, zero before it.
	first time.Duration
	// place is the upstream or the region of the latest choice.
	place string
}

// heldAnswer is a whole answer of an upstream.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// hopHeaders concern a single connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns the headers that are passed on.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// outgoingHeader returns the header for an upstream.
func (r *request) outgoingHeader(upstream string, now time.Time) http.Header {
	h := endToEnd(r.header)
	for _, name := range platform.ReservedHeaders {
		h.Del(name)
	}
	h.Set(platform.HeaderTarget, upstream)
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, r.left(now).Milliseconds()), 10))
	if r.workspace != nil {
		h.Set(platform.HeaderWorkspace, r.workspace.Name)
	}
	if r.service.Engine != nil {
		h.Set(platform.HeaderPriority, strconv.Itoa(min(9, route.Priority(r.route, r.workspace))))
	}
	if r.lastEvent != "" {
		h.Set(platform.HeaderLastEvent, r.lastEvent)
	}
	return h
}

// left returns the time until the deadline.
func (r *request) left(now time.Time) time.Duration { return r.deadline.Sub(now) }

// defaultTimeout is the longest time for a request of a route without a timeout.
const defaultTimeout = time.Minute

// headerBytes returns the size of the header as it is sent.
func (r *request) headerBytes() int {
	const separators = len(": \r\n")
	n := len(r.method) + len(r.target) + len(r.host)
	for name, values := range r.header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// setDeadline takes the shorter of the caller's time and the route's.
func (r *request) setDeadline() {
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.arrived.Add(timeout)
	ms, err := strconv.ParseInt(strings.TrimSpace(r.header.Get(platform.HeaderDeadline)), 10, 64)
	if err != nil || ms <= 0 {
		return
	}
	if at := r.arrived.Add(time.Duration(ms) * time.Millisecond); at.Before(r.deadline) {
		r.deadline = at
	}
}

// charge returns the number of tokens or requests that the request counts for.
func (r *request) charge() int64 {
	if !r.workspace.InTokens {
		return 1
	}
	if r.header.Get(platform.HeaderTokens) == "" {
		return r.workspace.PlainTokens
	}
	return r.prompt.Total()
}

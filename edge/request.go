package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/replica"
	"parsleyhatch/route"
)

// request is a request that this VM is processing. Each of its parts holds one concern; their fields are promoted. It is not safe for
// concurrent use: one goroutine at a time runs it. Others use only its origin and its switchover, which are safe for that,
// and, while it waits for room, the loop that releases waiting requests.
type request struct {
	callerRequest
	admission
	forwarding
	attempts
	roomState
	streamState
	heldMemory
	logDetails
}

// forwarding is what the VM that forwarded a request has decided about it. It is zero if no VM did, and set before admission.
type forwarding struct {
	// forwarded is set if another VM forwarded the request. Such a request is not forwarded again.
	forwarded bool
	// origin is the VM that forwarded the request. It is nil exactly if forwarded is not set; its methods accept that.
	origin *origin
	// returnable is set if the request was forwarded by a VM that may send it to other regions, too.
	returnable bool
	// chosenService is the service that the VM which forwarded the request has chosen, empty if none did.
	chosenService string
}

// logDetails are figures that only the log line and the metrics of a request show. No decision depends on them.
type logDetails struct {
	// inputs are the values on which the latest choice of an upstream was based.
	inputs replica.LoadInputs
	// firstTokenLatency is the time from arrival to the first event of all attempts, zero before it. It is set once.
	firstTokenLatency time.Duration
	// leavingFor is the time since SIGTERM at which the latest attempt began, zero if this VM was not leaving.
	leavingFor time.Duration
}

// hopHeaders are the hop-by-hop headers, which are valid for a single connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns the end-to-end headers, which are forwarded.
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

// outgoingHeader returns the headers of the request to an upstream, without the deadline.
func (r *request) outgoingHeader(upstream string) http.Header {
	h := endToEnd(r.header)
	for _, name := range platform.ReservedHeaders {
		h.Del(name)
	}
	h.Set(platform.HeaderTargetInstance, upstream)
	h.Del(platform.HeaderDeadline)
	if r.workspace != nil {
		h.Set(platform.HeaderWorkspace, r.workspace.Name)
	}
	if r.service.Engine != nil {
		h.Set(platform.HeaderPriority, strconv.Itoa(min(9, route.Priority(r.route, r.workspace))))
	}
	if last := r.lastEventID(); last != "" {
		h.Set(platform.HeaderLastEventID, last)
	}
	return h
}

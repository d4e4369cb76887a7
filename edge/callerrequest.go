package edge

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/route"
)

// callerRequest is what the caller asked, as it arrived at this VM or as another VM forwarded it. Nothing changes it after admission.
type callerRequest struct {
	id     string
	method string
	// target is the request target: the path and the query exactly as the caller sent them.
	target string
	// path is the path of target, empty until the route is looked up.
	path string
	host string
	// header holds the headers as received. Requests to upstreams and other VMs are sent with a copy.
	header http.Header
	// body is nil until the complete body has arrived. It uses the memory of heldMemory.bodyBuffer, and is not used after that is released.
	body []byte

	// arrived and deadline carry a monotonic clock reading. The deadline is at most the timeout of the route after arrived. It is not set
	// before prepare, unless another VM has forwarded the request.
	arrived  time.Time
	deadline time.Time

	// key is the hash of the caller's API key. It is valid only if hasKey is set. The key itself is kept in header only, and never logged.
	key    route.KeyHash
	hasKey bool
}

// deadlineHeader returns the value of the deadline header of a request that is sent now.
func (c *callerRequest) deadlineHeader(now time.Time) string {
	return strconv.FormatInt(max(1, c.remaining(now).Milliseconds()), 10)
}

// remaining returns the time left until the deadline.
func (c *callerRequest) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// defaultTimeout is the timeout of requests whose route sets none.
const defaultTimeout = time.Minute

// headerBytes returns the size of the request line and the headers on the wire, in bytes.
func (c *callerRequest) headerBytes() int {
	const separators = len(": \r\n")
	n := len(c.method) + len(c.target) + len(c.host)
	for name, values := range c.header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// setDeadline applies the shorter of the caller's and the route's timeout.
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

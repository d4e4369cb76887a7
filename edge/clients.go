package edge

import (
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"parsleyhatch/callerconn"
	"parsleyhatch/event"
	"parsleyhatch/memory"
	"parsleyhatch/vm"
)

const (
	// reservedFiles is the number of descriptors for files; machines with fewer than twice as many keep half of them.
	reservedFiles = 200
	// Of the other descriptors, callers' connections and those to upstreams have this share each. The rest is for sessions with other VMs, the
	// store, probes of upstreams and the other listeners, each of which may have listenerShare.
	callerShare, upstreamShare = 0.4, 0.4
	listenerShare              = 0.02
	minListenerConnections     = 8
	// connectionBytes is the memory of a connection whose request holds no more than the uncounted bytes: 21,504 bytes were measured for an
	// idle one, and 52,044 for one whose answer is not read.
	connectionBytes = 52 << 10
	// connectionMemoryShare is the share of the machine's memory for callers' connections.
	connectionMemoryShare = 0.3
	// forwardedBodyShare is the share of the machine's memory for what arrives of forwarded bodies before they are counted, at most a window of
	// each.
	forwardedBodyShare = 0.1
	// clientLogInterval is the minimum time between two log lines about closed connections.
	clientLogInterval = 10 * time.Second
)

// ClientLimits are the limits of what callers may hold together.
type ClientLimits struct {
	// MaxConnections is the maximum number of callers' connections. Zero means as many as the machine's memory and descriptors allow.
	MaxConnections int
	// AddressShare is the share of the connections that one address may have, and that open requests of one workspace may have.
	AddressShare float64
	// HeadMemoryShare is the share of the machine's memory for header sections that are not complete.
	HeadMemoryShare float64
	// MinBodyRate is the rate below which a body is refused while the memory for bodies is short, in bytes per second.
	MinBodyRate int64
}

// DefaultClientLimits returns limits that a client which keeps those of the configuration does not reach alone. The default of MinBodyRate is a
// twelfth of the pace at which the largest body arrives within its time.
func DefaultClientLimits() ClientLimits {
	return ClientLimits{AddressShare: 0.75, HeadMemoryShare: 0.05, MinBodyRate: 32 << 10}
}

// Check returns an error for each limit that is out of range.
func (l ClientLimits) Check() error {
	var errs []error
	check := func(ok bool, name string, value any, want string) {
		if !ok {
			errs = append(errs, fmt.Errorf("setting %s is %v, want %s", name, value, want))
		}
	}
	check(l.MaxConnections >= 0, "max-caller-connections", l.MaxConnections, "a number of at least 0")
	check(l.AddressShare > 0 && l.AddressShare <= 1, "caller-address-share", l.AddressShare, "a share above 0 and up to 1")
	check(l.HeadMemoryShare > 0 && l.HeadMemoryShare <= 0.5, "caller-head-memory-share", l.HeadMemoryShare, "a share above 0 and up to 0.5")
	check(l.MinBodyRate >= 0, "min-body-rate", l.MinBodyRate, "a number of bytes per second of at least 0")
	return errors.Join(errs...)
}

// clients holds the limits of what callers may hold, and the state of the reports about it.
type clients struct {
	limits ClientLimits
	// memory and descriptors are those of the machine.
	memory, descriptors int64
	// requests counts the open requests of callers. A workspace may have as many as the connections of one address.
	requests openByWorkspace
	// stalledBodies is the number of bodies that were refused because they made too little progress.
	stalledBodies atomic.Int64
	// forwardedBodies is the number of bodies that other VMs are sending, and maxForwardedBodies its bound.
	forwardedBodies, maxForwardedBodies atomic.Int64
	// reported and stalled are the usage and stalledBodies at the latest report. loggedAt is the time of the latest log line, and pending is set
	// if connections or bodies were refused since then.
	reported callerconn.Usage
	stalled  int64
	loggedAt time.Time
	pending  bool
}

// SetClientLimits changes the limits of what callers may hold. They must pass Check.
func (e *Edge) SetClientLimits(l ClientLimits) {
	e.clients.limits = l
	e.applyClientLimits()
}

// SetMachine changes the memory of the machine, in bytes, and its descriptors, of which the requests have a share. Zero descriptors mean as many as
// the process may open.
func (e *Edge) SetMachine(memory, descriptors int64) {
	e.memory.setLimits(memory)
	e.clients.memory, e.clients.descriptors = memory, descriptors
	e.applyClientLimits()
}

func (e *Edge) applyClientLimits() {
	c := &e.clients
	b := c.bounds()
	e.ConnLimiter.SetBounds(b)
	c.requests.setMost(max(1, int(b.AddressShare*float64(b.Connections))))
	c.maxForwardedBodies.Store(max(1, int64(forwardedBodyShare*float64(c.machineMemory()))/vm.WindowBytes))
	e.Pool.SetMaxConnections(int(upstreamShare * float64(c.sockets())))
}

// sockets returns the number of descriptors for sockets.
func (c *clients) sockets() int64 {
	n := c.descriptors
	if n <= 0 {
		n = processDescriptors()
	}
	return max(n-reservedFiles, n/2)
}

// maxDescriptors is the number of descriptors that is assumed if the process has no limit.
const maxDescriptors = 1 << 20

// processDescriptors returns the number of descriptors that the process may open.
func processDescriptors() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int64(limit.Cur)
}

// machineMemory returns the memory of the machine in bytes.
func (c *clients) machineMemory() int64 {
	if c.memory <= 0 {
		return defaultMemoryBytes
	}
	return c.memory
}

// bounds returns the bounds of callers' connections.
func (c *clients) bounds() callerconn.Bounds {
	memory := c.machineMemory()
	connections := min(int64(callerShare*float64(c.sockets())), int64(connectionMemoryShare*float64(memory))/connectionBytes)
	if c.limits.MaxConnections > 0 {
		connections = min(connections, int64(c.limits.MaxConnections))
	}
	return callerconn.Bounds{
		Connections: max(1, int(connections)), AddressShare: c.limits.AddressShare,
		HeadBytes: int64(c.limits.HeadMemoryShare * float64(memory)), MinBodyRate: c.limits.MinBodyRate,
	}
}

// errTooManyForwarded reports that other VMs are sending too many bodies.
var errTooManyForwarded = errors.New("too many forwarded bodies are incomplete")

// startForwardedBody counts a body that another VM sends, until the returned function is called. It returns nil if there are too many.
func (e *Edge) startForwardedBody(bytes int64) func() {
	c := &e.clients
	if bytes <= memory.UncountedBytes {
		return func() {}
	}
	if c.forwardedBodies.Add(1) > c.maxForwardedBodies.Load() {
		c.forwardedBodies.Add(-1)
		return nil
	}
	return func() { c.forwardedBodies.Add(-1) }
}

// listenerBounds returns the bounds of connections to the listeners for readiness, the directory and metrics, one each.
func (c *clients) listenerBounds() callerconn.Bounds {
	b := c.bounds()
	b.Connections = max(minListenerConnections, int(listenerShare*float64(c.sockets())))
	b.HeadBytes = int64(b.Connections) * connectionBytes
	return b
}

// ReportClients sets the gauges of what callers hold, and logs that connections or bodies were refused for lack of room. It must not be called
// concurrently.
func (e *Edge) ReportClients(now time.Time) {
	c := &e.clients
	u, stalled := e.ConnLimiter.Usage(), c.stalledBodies.Load()
	for name, value := range map[string]int64{
		"caller_connections": int64(u.Connections), "caller_head_bytes": u.HeadBytes, "upstream_connections_open": int64(e.Pool.Open()),
		"caller_connections_limit": int64(c.bounds().Connections),
	} {
		e.Metrics.SetGauge(name, float64(value))
	}
	e.Metrics.AddCounter("caller_connections_refused", u.Refused-c.reported.Refused)
	e.Metrics.AddCounter("caller_connections_replaced", u.Replaced-c.reported.Replaced)
	e.Metrics.AddCounter("caller_heads_closed", u.Heads-c.reported.Heads)
	e.Metrics.AddCounter("bodies_stalled", stalled-c.stalled)
	c.pending = c.pending || u.Refused > c.reported.Refused || u.Replaced > c.reported.Replaced || u.Heads > c.reported.Heads || stalled > c.stalled
	c.reported, c.stalled = u, stalled
	if !c.pending || now.Sub(c.loggedAt) < clientLogInterval {
		return
	}
	c.pending, c.loggedAt = false, now
	event.ClientsBounded.Log(e.Log, "connections", u.Connections, "limit", c.bounds().Connections, "headBytes", u.HeadBytes,
		"refused", u.Refused, "replaced", u.Replaced, "heads", u.Heads, "stalledBodies", stalled)
}

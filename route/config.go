// Package route decides where a request belongs: its route, its workspace and its service.
package route

import "time"

// Kind says how often a request may run.
type Kind uint8

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered with events, and run at most once unless they are resumable.
	Streaming
)

// Route directs the requests of a host under a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// TargetLatency is the latency objective of an answer, or of the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the longest pause between two events.
	TargetGap time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Split has at least one service, with weights above zero.
	Split []Target
	// MaxAttempts is the number of upstreams that may run one request, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity says that requests describe their prompt.
	Affinity bool
	// Resumable streams may continue at another upstream.
	Resumable bool
	// Homes are the regions that may run the requests; none means all.
	Homes []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Target is a service with its share of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of equal upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of one upstream from all VMs.
	MaxConnections int
	// WarmUp is the time for which an upstream is cold after its start, and WarmUpRate the requests a
	// second from all VMs that it stands in this time. Zero means no limit.
	WarmUp     time.Duration
	WarmUpRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Capacity is the memory for prompts and answers, in tokens.
	Capacity int64
}

// Workspace is a customer with its keys and its rate.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over that of the route unless it is nil.
	Priority *int
	// InTokens says that Rate and Burst are in tokens, not in requests.
	InTokens bool
	// PlainTokens is the charge for a request that names no tokens.
	PlainTokens int64
	// Rate is the refill a second and Burst the size of the bucket, over all VMs; zero means no limit.
	Rate  float64
	Burst float64
	// Homes are the regions that may run the requests; none means all.
	Homes []string
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of what operators configure.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

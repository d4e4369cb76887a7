// Package route decides where a request belongs: its route, its workspace and its service.
package route

import "time"

// Kind states how often a request may run and how it is answered.
type Kind uint8

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Streaming requests are answered with an event stream. They run at most once unless they are resumable.
	Streaming
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// TargetLatency is the latency objective for an answer, or for the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the objective for the longest time between two events.
	TargetGap time.Duration
	// Priority is the urgency of the route; 0 is the most urgent.
	Priority int
	// Split lists the services of the route, at least one, with weights above zero.
	Split []Target
	// MaxAttempts is the largest number of upstreams that may run one request, at least 1.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity is set if requests describe their prompt, so that prompts with shared parts can be sent to the
	// same upstream.
	Affinity bool
	// Resumable streams may continue at another upstream.
	Resumable bool
	// AllowedRegions are the regions that may run the requests; none means all.
	AllowedRegions []string
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// KeepsService reports whether all attempts at one request must run at the same service, since each goes on where another one stopped.
func (r *Route) KeepsService() bool { return r.Kind == Streaming && r.Resumable }

// Target is a service with its weight in a route's split.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections of all VMs to one upstream.
	MaxConnections int
	// WarmUp is the time for which an upstream counts as cold after its start, and WarmUpRate the number of
	// requests per second that it accepts from all VMs in this time. Zero means no limit.
	WarmUp     time.Duration
	WarmUpRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run concurrently.
	Slots int
	// Capacity is the memory for prompts and answers, in tokens.
	Capacity int64
}

// Workspace is a customer with its API keys and rate limit.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
	// RateInTokens is set if Rate and Burst are in tokens instead of requests.
	RateInTokens bool
	// PlainTokens is the charge for a request that states no token count.
	PlainTokens int64
	// Rate is the refill per second and Burst the size of the token bucket, over all VMs. Zero means no
	// limit.
	Rate  float64
	Burst float64
	// AllowedRegions are the regions that may run the requests; none means all.
	AllowedRegions []string
}

// Limits holds the limits on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

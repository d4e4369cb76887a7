package vmwire

// Messages on what upstreams say of themselves and whether they are reachable. See schema.go for the rules of the schema.

//msgp:limit arrays:4096 maps:256

//msgp:tuple UpstreamLimits UpstreamLimit UpstreamLoss UpstreamAnswer

// UpstreamLimits shares the limits that upstreams have announced among the VMs of their region.
type UpstreamLimits struct {
	Limits []UpstreamLimit
}

// UpstreamLimit is what the latest known answer of an upstream says about its limits.
type UpstreamLimit struct {
	Upstream string
	// Born is the start time of the upstream in Unix milliseconds.
	Born int64
	// Limited is set if there is a rate limit, and PerSecond is its number of requests per second.
	Limited   bool
	PerSecond float64
	// Age is the time since the answer arrived.
	Age Age
	// Brittle is set if the upstream is brittle, and MaxRefusals is the number of refusals in a second that it bears.
	Brittle     bool
	MaxRefusals float64
	// Leaving means that the upstream leaves and wants no new requests.
	Leaving bool
}

// UpstreamLoss reports to the VMs of the region that the sender could open no connection to an upstream. It may start again before
// its registration says so.
type UpstreamLoss struct {
	Upstream string
	Born     int64
	// Age is the time since the first attempt that failed.
	Age Age
}

// UpstreamAnswer is an answer of an upstream, which shows that it did not crash earlier.
type UpstreamAnswer struct {
	Upstream string
	Born     int64
	// Age is the time since the answered request was sent.
	Age Age
}

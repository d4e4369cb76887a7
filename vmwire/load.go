package vmwire

// Messages about the load of upstreams, the usage of workspaces and the promised retry times of callers. See schema.go for the rules of
// the schema.

//msgp:limit arrays:4096 maps:256

//msgp:tuple UpstreamLoads SenderLoad UpstreamSums UpstreamSum UpstreamPace WorkspaceShare CallerPromise ServicePressure

// UpstreamLoads reports to the VMs of the region the load that the sender puts on upstreams: on all of them if
// Whole is set, otherwise on those where it has changed.
type UpstreamLoads struct {
	Whole bool
	Uses  []SenderLoad
}

// SenderLoad is the load that the sender puts on an upstream.
type SenderLoad struct {
	Upstream string
	Running  int32
	// Prefill is the number of prompt tokens of requests that have no first token yet, by priority rank, and
	// Held the memory that all requests occupy, in tokens.
	Prefill []int64
	Held    int64
	// Longest is the number of tokens of the longest of these prompts below the most urgent rank.
	Longest int64
	// Pace is what the sender has measured at the upstream.
	Pace UpstreamPace
}

// UpstreamSums reports to a VM the load that all other VMs of the region together put on the upstreams. Upstreams
// without load are left out.
type UpstreamSums struct {
	Sums []UpstreamSum
}

// UpstreamSum is the load that the other VMs put on an upstream. Its numbers are rounded to keep the message short, since
// each VM of a large region receives one several times a second.
type UpstreamSum struct {
	// Key is a hash of the upstream's id.
	Key     uint32
	Running uint32
	// Prefill0 to Prefill2 are the prompt tokens of requests that have no first token yet, by priority rank, and Held
	// is the memory that all requests occupy, all in units of SumTokens tokens.
	Prefill0, Prefill1, Prefill2 uint32
	Held                         uint32
	// Longest is the longest prompt below the most urgent rank that has no first token yet, in units of SumTokens tokens.
	Longest uint32
	// Pace is what the VMs of the region have measured at the upstream together.
	Pace UpstreamPace
}

// SumTokens is the unit of the numbers of tokens in an UpstreamSum.
const SumTokens = 64

// UpstreamPace is how fast an upstream works, as measured by VMs. The weights are those of the samples, zero without any.
type UpstreamPace struct {
	// GapMicros is the time between two events of a stream, in microseconds.
	GapMicros uint32
	GapWeight uint8
	// Speed is the number of prompt tokens read in a second.
	Speed       uint32
	SpeedWeight uint8
}

// WorkspaceShare is what one workspace has asked of a service at the sender, and what of it was sent to upstreams, in tokens since the
// sender's start.
type WorkspaceShare struct {
	Service   string
	Workspace string
	Asked     int64
	Served    int64
}

// CallerPromise is a retry time that the sender has promised to a refused caller.
type CallerPromise struct {
	Service string
	// Caller is the low 32 bits of the hash of the caller's request.
	Caller uint32
	// Cost is the work of the request, in tokens.
	Cost int64
	// DueMillis is the time until the caller is due, in milliseconds.
	DueMillis int32
}

// ServicePressure is the recent share of the most urgent requests of a service that the sender has refused, in percent.
type ServicePressure struct {
	Service string
	Percent uint8
}

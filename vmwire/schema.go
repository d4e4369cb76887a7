// Package vmwire defines the messages between VMs. "make generate" generates the msgpack codec in
// schema_gen.go from this schema. Messages are encoded as tuples: fields may only be appended, and only
// together with a new protocol version.
package vmwire

// The limits bound what a decoder allocates for a length that a faulty peer announces. Without them, a
// frame of 23 bytes made a VM allocate 128 GiB. The longest valid array is the list of parts of a
// configuration, with about 700 entries at the target scale. Fields of raw bytes may fill a frame of
// 256 KiB.

//msgp:limit arrays:4096 maps:256

//msgp:tuple Frame Hello Open Chunk End Window Heartbeat HeartbeatAck SlotView IngressVM ConfigRequest ConfigParts Part
//msgp:tuple Load UpstreamLoad ModelWait Summary PoolSummary TokenRequest TokenGrant SuspectRequest Handover HandoverRequest HandoverRecord
//msgp:tuple Presence WorkspaceUsage ServiceWait KnownVM StoreItem StoreQuery StoreReply
//msgp:tuple RunGrant PartReport PartCrash PartCompletion

// Age is the time since a moment, in milliseconds. VMs have no common clock, so that messages carry ages instead of times. An age never
// makes a moment look newer to the receiver than it is to the sender. See age.go.
type Age int64

// Frame is the envelope of every message.
type Frame struct {
	Kind uint8
	// Stream is the number of the stream, zero for control messages. Streams opened by the dialing side
	// have odd numbers, those opened by the accepting side even ones.
	Stream uint64
	// Seq numbers the Data frames of a stream in each direction, from zero without gaps.
	Seq uint64
	// Body is the encoded message, or raw bytes in a Data frame.
	Body []byte `msg:"Body,limit=262144"`
}

// Hello is the first message in each direction and identifies the sender.
type Hello struct {
	Protocol      uint32
	Slot          string
	Incarnation   uint64
	Region        string
	FailureDomain string
	// StartedAtUnixMilli is the start time of the VM, as Unix time in milliseconds. It orders the
	// incarnations of a slot.
	StartedAtUnixMilli int64
}

// Open starts a forwarded request. The body follows in Data frames.
type Open struct {
	RequestID string
	// OriginSlot is the slot of the VM that the caller is connected to.
	OriginSlot   string
	OriginRegion string
	// ConfigNumber and ConfigDigest identify the configuration under which the request was admitted.
	ConfigNumber uint64
	ConfigDigest string
	Route        string
	Workspace    string
	KeyID        string
	// Hops is always 1, since a forwarded request is never forwarded again.
	Hops uint8
	// Method, Path and Header are those of a service call.
	Method string
	Path   string
	Header map[string]string
	// ResumeFrom is the token offset at which the answer resumes.
	ResumeFrom int64
	// MaxTokens is the maximum number of answer tokens, and PromptTokens an upper bound of the prompt tokens.
	MaxTokens    int64
	PromptTokens int64
	// RemainingMillis is the time left until the deadline, in milliseconds. A duration needs no synchronized
	// clocks.
	RemainingMillis int64
	IdempotencyKey  string
	BodyBytes       int64
	// Runs is the number of upstreams that may already have run the request.
	Runs int32
	// Resumed means that the caller already has the start of a stream, so that only events of that stream may
	// follow.
	Resumed bool
	// Probe means that the request tests the quarantine of one of its prompt parts and is not refused for it.
	Probe bool
	// Returnable means that other regions may run the request, too, so that a stream that stalls may be given back.
	Returnable bool
	// Switchover means that the sender still has another upstream for the stream, so that a refusal must come at once.
	Switchover bool
	// VersionBound means that the stream may go on at upstreams of the software version Version only.
	VersionBound bool
	Version      string
	// Service is the service that the sender has chosen. A stream that has begun may go on at this service only.
	Service string
}

// Chunk is a part of an answer, carried in a Data frame from the VM that runs the request.
type Chunk struct {
	// Start and End are token offsets: the chunk holds tokens [Start, End).
	Start int64
	End   int64
	// Status is the HTTP status, set in the first chunk of a service answer.
	Status int32
	Header map[string]string
	Data   []byte `msg:"Data,limit=262144"`
	// VersionKnown is set with Status if an upstream of the software version Version began a stream that may be resumed.
	VersionKnown bool
	Version      string
	// RunRequest asks the VM that forwarded the request for a RunGrant of that many runs. Nothing else is set then.
	RunRequest int32
	// Service is the service that answers. It is set with Status.
	Service string
}

// RunGrant allows the VM that runs a forwarded request to run it, including earlier attempts, at Runs upstreams. It is carried in a
// Data frame after the body. The sender counts these runs as made if the session ends, and has charged them to its retry budget.
type RunGrant struct {
	Runs int32
}

// End closes a stream with the outcome of the request.
type End struct {
	// Code is empty on success, otherwise an error code of the protocol with callers.
	Code    string
	Message string
	// Ran tells whether an upstream ran the request: "notRun", "ran" or "unknown".
	Ran              string
	Status           int32
	RetryAfterMillis int64
	PromptTokens     int64
	AnswerTokens     int64
	Upstream         string
	// Runs is the number of upstreams that may have run the request, including earlier attempts.
	Runs int32
}

// Window allows the sender of a stream to send more bytes.
type Window struct {
	Bytes int64
}

// SlotView is what the sender knows about another slot of its region.
type SlotView struct {
	Slot               string
	Incarnation        uint64
	StartedAtUnixMilli int64
	// Age is the time since the VM was last known to be alive.
	Age     Age
	Leaving bool
	Ready   bool
	// Queue is the number of requests open at the VM.
	Queue int32
}

// Heartbeat shows that the sender is alive and carries its view of other VMs.
type Heartbeat struct {
	// Sequence is returned in the acknowledgement.
	Sequence     uint64
	ConfigNumber uint64
	// ConfigTag is the prefix of the configuration's digest, which breaks ties between equal numbers.
	ConfigTag uint64
	Flags     uint8
	// Queue is the number of requests open at the sender.
	Queue int32
	// AckSequence is the sequence of the receiver's latest heartbeat, acknowledged together with
	// FlagNewestIncarnation and FlagKnowsNewest. Zero acknowledges nothing.
	AckSequence uint64
	// Slots holds views with full incarnations. They are sent on changes and periodically.
	Slots []SlotView
	// Compact holds views of 6 bytes each: index of the slot among the sorted names of the roster
	// (2 bytes, big-endian), low bits of the incarnation (2), age in units of 20 ms (1), flags
	// (1). They are only valid between VMs with the same configuration.
	Compact []byte `msg:"Compact,limit=65536"`
}

// HeartbeatAck acknowledges a heartbeat.
type HeartbeatAck struct {
	// Sequence is the sequence of the acknowledged heartbeat.
	Sequence uint64
	// NewestIncarnation and NewestStartedAtUnixMilli identify the newest run of the heartbeat's slot that the
	// sender of the acknowledgement knows.
	NewestIncarnation        uint64
	NewestStartedAtUnixMilli int64
	// Confirms means that the sender has been connected long enough to know the newest runs.
	Confirms     bool
	ConfigNumber uint64
	ConfigTag    uint64
}

// ConfigRequest requests parts of a configuration by digest. Without digests it requests only the head.
type ConfigRequest struct {
	Digests []string
}

// Part is an immutable part of a configuration, addressed by its digest.
type Part struct {
	Digest string
	Bytes  []byte `msg:"Bytes,limit=262144"`
}

// ConfigParts carries the head of a configuration as JSON, and parts.
type ConfigParts struct {
	Head  []byte `msg:"Head,limit=262144"`
	Parts []Part
}

// UpstreamLoad is the load report of one upstream.
type UpstreamLoad struct {
	Upstream string
	Running  int32
	Waiting  int32
	// Age is the age of the report at the time of sending.
	Age Age
	// CachedTokens is the used size of the prefix cache, in tokens.
	CachedTokens int64
	Down         bool
	// Model, Version, Adapters and Role describe what the engine runs, or what it is loading if Loading is set.
	Model    string
	Version  string
	Adapters []string
	Role     string
	Loading  bool
	// Fencing is the fencing number of the engine's last order. It is valid if FencingRead is set, and was
	// read before the engine made the report.
	Fencing     uint64
	FencingRead bool
	// StateAge is the time from sending the read request of the report to sending this message.
	StateAge Age
}

// ModelWait is the time for which requests of a model wait in the sender's queue.
type ModelWait struct {
	Model      string
	WaitMillis int64
}

// Load carries load reports within a region.
type Load struct {
	Upstreams []UpstreamLoad
	// Waits has an entry for each model with a placement, or is empty.
	Waits []ModelWait
	// ConfigNumber and ConfigTag identify the configuration that Compact refers to.
	ConfigNumber uint64
	ConfigTag    uint64
	// Compact holds reports of 6 bytes each: index among the sorted names of the region's engines
	// (2 bytes, big-endian), running and waiting requests (2), age in units of 20 ms (1), flags
	// (1): 1 if the engine does not respond.
	Compact []byte `msg:"Compact,limit=65536"`
}

// PoolSummary aggregates the upstreams of a route in a region.
type PoolSummary struct {
	Route string
	// Replicas is the number of usable upstreams.
	Replicas int32
	// Slots is the number of requests that can run concurrently, reduced for upstreams that are ramping up.
	Slots float64
	// Outstanding is the number of running and waiting requests.
	Outstanding float64
	// FirstTokenMillis is the time to the first token when the batch has a free place, in milliseconds.
	FirstTokenMillis int64
	// RunMillis is the mean duration of a complete answer, in milliseconds.
	RunMillis int64
}

// IngressVM is a VM that accepts forwarded requests. Queue is the number of requests open at it.
type IngressVM struct {
	Slot  string
	Queue int32
}

// Summary carries a region's pools to other regions.
type Summary struct {
	Region string
	// Age is the age of the summary at the time of sending.
	Age     Age
	Pools   []PoolSummary
	Entries []IngressVM
}

// TokenRequest requests rate-limit tokens of a workspace from a VM that holds some.
type TokenRequest struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// Loan is the part of Tokens above the sender's free capacity. The holder reserves that capacity until
	// the loan ends.
	Loan int64
	// Balance limits the grant to half of the tokens by which the holder's level exceeds Level, the sender's
	// level.
	Balance bool
	Level   int64
}

// TokenGrant is the reply to TokenRequest. Its sender has already deducted the tokens.
type TokenGrant struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// WaitMillis is the time after which more tokens can be expected, in milliseconds.
	WaitMillis int64
}

// SuspectRequest shares the state of a request that is suspected of crashing upstreams.
type SuspectRequest struct {
	Fingerprint []byte
	Crashes     int32
	Quarantined bool
	// Cleared means that the request has completed and is no longer suspect.
	Cleared bool
	// TTLMillis is the remaining time to live of the entry, in milliseconds.
	TTLMillis int64
}

// HandoverRecord is the record of a call that must not be repeated.
type HandoverRecord struct {
	Workspace string
	Route     string
	Key       string
	Body      []byte `msg:"Body,limit=262144"`
	// State is the state of the call as defined by package once.
	State  uint8
	Status int32
	Header map[string]string
	Answer []byte `msg:"Answer,limit=262144"`
	// AgeMillis is the time since the first use of the idempotency key, in milliseconds.
	AgeMillis int64
}

// Handover carries the call records of a VM that is stopping. They no longer change.
type Handover struct {
	Slot        string
	Incarnation uint64
	// Index is the position of this frame and Count the number of frames of the handover.
	Index   int32
	Count   int32
	Records []HandoverRecord
}

// HandoverRequest requests the handover of a slot. The holder deletes it when it replies.
type HandoverRequest struct {
	Slot string
}

// KnownVM describes a VM in the VM list of a presence.
type KnownVM struct {
	Slot   string
	Region string
	// Address accepts sessions, as IP:port.
	Address string
	// Age is the time since the sender last saw the VM alive, directly or in a VM list.
	Age Age
}

// WorkspaceUsage is the amount that the sender has charged to a workspace since its start, in tokens or requests.
type WorkspaceUsage struct {
	Workspace string
	Amount    int64
	// Level is the amount that the sender would still admit now.
	Level int64
}

// ServiceWait is the expected time to the first token of an empty prompt of a service in the sender's region, by
// priority rank, in milliseconds.
type ServiceWait struct {
	Service string
	Millis  []int32
	// Full means that no upstream has room now.
	Full bool
	// FullFrom is the most urgent rank of routes whose streams find no room, plus one; zero if those of all ranks do.
	FullFrom uint8
}

// Presence shows that the sender is alive and carries the state that it shares with other VMs.
type Presence struct {
	// Address accepts sessions and CallerAddress accepts callers, as IP:port. They are sent when a session opens and with
	// the VM list, and otherwise empty.
	Address       string
	CallerAddress string
	Flags         uint8
	// Open is the number of requests open at the sender.
	Open          int32
	ConfigVersion uint64
	// Weight is the sender's relative share of the work, and RegionVMs the number of VMs in its region.
	Weight    int32
	RegionVMs int32
	// Waits are the expected waits in the sender's region, for VMs of other regions.
	Waits []ServiceWait
	// Spent is the usage charged by the sender for VMs of its region, and that charged by the whole region for
	// VMs of other regions.
	Spent []WorkspaceUsage
	// VMs is the VM list. It is sent periodically and otherwise empty.
	VMs []KnownVM
	// IntervalMillis is the interval of the sender's presences to VMs of its region, in milliseconds.
	IntervalMillis int32
	// CutServices are the services from whose upstreams the sender is cut, although other VMs may reach them. It doesn't use its shares
	// of the bounds of these upstreams.
	CutServices []string
	// RunningSeconds is the time since the sender's start, in seconds, up to MaxRunningSeconds.
	RunningSeconds int32
	// Shares is what workspaces have asked of services at the sender, and Promises the retry times that it has promised to callers, each in
	// all presences of one IntervalMillis. Both are for VMs of its region only.
	Shares   []WorkspaceShare
	Promises []CallerPromise
	// Pressures are the services of which the sender refuses the most urgent requests for lack of capacity.
	Pressures []ServicePressure
}

// StoreItem is a value of the platform's store, or its deletion.
type StoreItem struct {
	Key      string
	Value    []byte `msg:"Value,limit=262144"`
	Revision uint64
	Deleted  bool
	// Created is the revision at which the key was created, zero if it is unknown.
	Created uint64
}

// StoreQuery requests the changes of the store from a VM that reaches it. ID is returned in the reply.
type StoreQuery struct {
	ID uint64
	// After is the last revision that the sender knows. Zero requests all values.
	After uint64
	// WaitMillis is the time after which the reply is sent even if nothing has changed, in milliseconds.
	WaitMillis int64
	// KnownAge is the age of the state of the store that the sender knows. A VM that knows a newer state replies at once.
	KnownAge Age
	// Era is the era of the store to which After belongs.
	Era uint64
}

// StoreReply is the reply to StoreQuery.
type StoreReply struct {
	ID       uint64
	Result   uint8
	Revision uint64
	Items    []StoreItem
	// HeldMillis is the time from the arrival of the query to this reply, in milliseconds.
	HeldMillis int64
	// KnownAge is the age of the latest moment at which Items led to the state of the store. It is unknown if more changes follow.
	KnownAge Age
	// ReturnedAge is the age of the moment at which the sender saw the store become reachable again, unknown if that never
	// happened.
	ReturnedAge Age
	// Era is the era of the store to which Revision belongs.
	Era uint64
}

// PartReport shares what a VM knows about prompt parts that are suspected of crashing upstreams.
type PartReport struct {
	Crashes     []PartCrash
	Completions []PartCompletion
	Answers     []UpstreamAnswer
	// Reply means that the report replies to one of the receiver's.
	Reply bool
}

// PartCrash is the crash of an upstream that ran requests with the prompt parts.
type PartCrash struct {
	Service  string
	Upstream string
	// Born is the start time of the upstream in Unix milliseconds.
	Born int64
	// Age is the time since the crash.
	Age   Age
	Parts []uint64
}

// PartCompletion is a complete answer to a request with a prompt part.
type PartCompletion struct {
	Service string
	Part    uint64
	// Age is the time since the completion.
	Age Age
}

// Package vmwire defines the messages between VMs. The msgpack codec in schema_gen.go is generated
// from this schema by "make generate". Messages are encoded as tuples: a field may only be appended,
// together with a new protocol version.
package vmwire

// Protocol is the version of this schema. VMs with another version are refused.
const Protocol = 4

// Kinds of frames.
const (
	KindHello uint8 = iota + 1
	KindOpen
	KindData
	KindEnd
	KindReset
	KindWindow
	KindHeartbeat
	KindHeartbeatAck
	KindConfigGet
	KindConfigParts
	KindLoad
	KindSummary
	KindTokenAsk
	KindTokenGive
	KindSuspect
	KindHandover
	KindHandoverTake
	KindPing
	KindPresence
	KindStoreAsk
	KindStoreAnswer
	KindUses
)

// The limits bound what a decoder allocates for a length that a faulty peer announces: without them,
// a frame of 23 bytes made a VM allocate 128 GiB. The longest legitimate array is the list of parts
// of a configuration, about 700 at the target scale. Fields of raw bytes may fill a frame of 256 KiB.

//msgp:limit arrays:4096 maps:256

//msgp:tuple Frame Hello Open Chunk End Window Heartbeat HeartbeatAck SlotView EntryVM ConfigGet ConfigParts Part
//msgp:tuple Load UpstreamLoad ModelWait Summary PoolSummary TokenAsk TokenGive Suspect Handover HandoverTake HandoverRecord
//msgp:tuple Presence WorkspaceSpent Uses UpstreamUse ServiceWait VMRow StoreItem StoreAsk StoreAnswer

// Frame is the envelope of every message.
type Frame struct {
	Kind uint8
	// Stream is the number of the stream, zero for control messages. The dialing side opens odd
	// numbers, the accepting side even ones.
	Stream uint64
	// Seq numbers the Data frames of a stream and direction, from zero without gaps.
	Seq uint64
	// Body is the encoded message, or raw bytes in a Data frame.
	Body []byte `msg:"Body,limit=262144"`
}

// Hello is the first frame in each direction.
type Hello struct {
	Protocol      uint32
	Slot          string
	Incarnation   uint64
	Region        string
	FailureDomain string
	// StartedAtUnixMilli orders the incarnations of a slot, in milliseconds.
	StartedAtUnixMilli int64
}

// Open starts a forwarded request. The body follows in Data frames.
type Open struct {
	RequestID string
	// OriginSlot is the VM that the caller is connected to.
	OriginSlot   string
	OriginRegion string
	// ConfigNumber and ConfigDigest are the version that admitted the request.
	ConfigNumber uint64
	ConfigDigest string
	Route        string
	Workspace    string
	KeyID        string
	// Hops is 1: a forwarded request is never forwarded again.
	Hops uint8
	// Method, Path and Header describe a service call.
	Method string
	Path   string
	Header map[string]string
	// ResumeFrom is the token offset at which the answer continues.
	ResumeFrom int64
	// MaxTokens is the largest number of answer tokens, and PromptTokens a bound of the prompt.
	MaxTokens    int64
	PromptTokens int64
	// RemainingMillis is the time left until the deadline, in milliseconds. Clocks are not compared.
	RemainingMillis int64
	IdempotencyKey  string
	BodyBytes       int64
	// Runs is the number of upstreams that may have run the request before.
	Runs int32
	// Resumed says that the caller has the beginning of a stream, so that only its events may follow.
	Resumed bool
}

// Chunk is a piece of an answer, carried in a Data frame from the running VM.
type Chunk struct {
	// Start and End are token offsets of the piece: it holds tokens [Start, End).
	Start int64
	End   int64
	// Status is set in the first piece of a service answer.
	Status int32
	Header map[string]string
	Data   []byte `msg:"Data,limit=262144"`
}

// End closes a stream with the outcome of the request.
type End struct {
	// Code is empty for success, otherwise a code of the caller's protocol.
	Code    string
	Message string
	// Ran is "notRun", "ran" or "unknown".
	Ran              string
	Status           int32
	RetryAfterMillis int64
	PromptTokens     int64
	AnswerTokens     int64
	Upstream         string
	// Runs is the number of upstreams that may have run the request by now.
	Runs int32
}

// Window lets the sender of a stream send more bytes.
type Window struct {
	Bytes int64
}

// SlotView is what the sender knows about another slot of its region.
type SlotView struct {
	Slot               string
	Incarnation        uint64
	StartedAtUnixMilli int64
	// AgeMillis is the time since the VM was last known to live, in milliseconds.
	AgeMillis int64
	Leaving   bool
	Ready     bool
	// Queue is the number of requests open at the VM.
	Queue int32
}

// Bits of Heartbeat.Flags and of the flags of a compact view.
const (
	FlagLeaving uint8 = 1 << iota
	FlagReady
	// FlagNewest says that the sender knows no newer incarnation of the receiver's slot.
	FlagNewest
	// FlagConfirms says that the sender has been in contact long enough to know the newest ones.
	FlagConfirms
	// FlagFresh says that the sender's knowledge of withdrawn keys is current.
	FlagFresh
	// FlagSettled says that the sender has run long enough to know what the workspaces have used, and
	// reports all of them.
	FlagSettled
	// FlagStoreDown says that the store did not answer the sender's latest call.
	FlagStoreDown
)

// Heartbeat tells that the sender lives, and what it knows.
type Heartbeat struct {
	// Sequence is returned in the acknowledgement.
	Sequence     uint64
	ConfigNumber uint64
	// ConfigTag is the start of the configuration's digest, which decides between equal numbers.
	ConfigTag uint64
	Flags     uint8
	// Queue is the number of requests open at the sender.
	Queue int32
	// AckSequence acknowledges the receiver's latest heartbeat together with FlagNewest and
	// FlagConfirms; zero if this heartbeat acknowledges nothing.
	AckSequence uint64
	// Slots are views with their incarnations, for what has changed and from time to time.
	Slots []SlotView
	// Compact are views of 6 bytes each: index of the slot among the sorted names of the roster
	// (2 bytes, big-endian), low bits of the incarnation (2), age in units of 20 ms (1), flags
	// (1). They only hold between VMs with the same configuration.
	Compact []byte `msg:"Compact,limit=65536"`
}

// HeartbeatAck acknowledges a heartbeat.
type HeartbeatAck struct {
	// Sequence is the heartbeat's.
	Sequence uint64
	// NewestIncarnation and NewestStartedAtUnixMilli are the newest run of the heartbeat's slot
	// that the sender of the acknowledgement knows.
	NewestIncarnation        uint64
	NewestStartedAtUnixMilli int64
	// Confirms says that the sender has been in contact long enough to know the newest runs.
	Confirms     bool
	ConfigNumber uint64
	ConfigTag    uint64
}

// ConfigGet asks for parts. Without digests it asks for the head only.
type ConfigGet struct {
	Digests []string
}

// Part is one immutable part of a configuration.
type Part struct {
	Digest string
	Bytes  []byte `msg:"Bytes,limit=262144"`
}

// ConfigParts carries a head as JSON and parts.
type ConfigParts struct {
	Head  []byte `msg:"Head,limit=262144"`
	Parts []Part
}

// UpstreamLoad is the load report of one upstream.
type UpstreamLoad struct {
	Upstream string
	Running  int32
	Waiting  int32
	// AgeMillis is the age of the report when it was sent, in milliseconds.
	AgeMillis int64
	// CachedTokens is the size of the prefix cache in use, in tokens.
	CachedTokens int64
	Down         bool
	// Model, Version, Adapters and Role are what the engine runs, or what it loads if Loading is set.
	Model    string
	Version  string
	Adapters []string
	Role     string
	Loading  bool
	// Fencing is the number of the engine's last order, valid if FencingRead is set: the sender read
	// it before the engine made the report.
	Fencing     uint64
	FencingRead bool
	// StateAgeMillis is the age of the report when it was sent, counted from the sending of the read,
	// in milliseconds.
	StateAgeMillis int64
}

// ModelWait is how long requests of a model wait in the sender's queue.
type ModelWait struct {
	Model      string
	WaitMillis int64
}

// Load carries load reports within a region.
type Load struct {
	Upstreams []UpstreamLoad
	// Waits covers each model with a placement, or is empty.
	Waits []ModelWait
	// ConfigNumber and ConfigTag are the configuration that Compact refers to.
	ConfigNumber uint64
	ConfigTag    uint64
	// Compact are reports of 6 bytes each: index among the sorted names of the region's engines
	// (2 bytes, big-endian), running and waiting requests (2), age in units of 20 ms (1), flags
	// (1): 1 if the engine does not respond.
	Compact []byte `msg:"Compact,limit=65536"`
}

// PoolSummary condenses the upstreams of a route in one region.
type PoolSummary struct {
	Route string
	// Replicas is the number of usable upstreams.
	Replicas int32
	// Slots is the number of requests that run at once, with ramps applied.
	Slots float64
	// Outstanding is the number of requests running or waiting.
	Outstanding float64
	// FirstTokenMillis is the time to the first token with room in the batch, in milliseconds.
	FirstTokenMillis int64
	// RunMillis is the mean time of a whole answer, in milliseconds.
	RunMillis int64
}

// EntryVM is a VM that takes forwarded requests.
type EntryVM struct {
	Slot  string
	Queue int32
}

// Summary carries a region's pools to other regions.
type Summary struct {
	Region string
	// AgeMillis is the age of the summary when it was sent, in milliseconds.
	AgeMillis int64
	Pools     []PoolSummary
	Entries   []EntryVM
}

// TokenAsk asks a holder of a workspace for tokens.
type TokenAsk struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// Loan is the part of Tokens for which the sender has no room of its own.
	Loan int64
	// Balance limits the grant to half of what the holder has above Level, the sender's level.
	Balance bool
	Level   int64
}

// TokenGive answers TokenAsk; the giver has deducted the tokens.
type TokenGive struct {
	ID        uint64
	Workspace string
	Tokens    int64
	// WaitMillis tells after what time more can be expected, in milliseconds.
	WaitMillis int64
}

// Suspect spreads the suspicion against a request within a region.
type Suspect struct {
	Fingerprint []byte
	Crashes     int32
	Quarantined bool
	// Cleared says that the request completed.
	Cleared bool
	// TTLMillis is the remaining life of the entry, in milliseconds.
	TTLMillis int64
}

// HandoverRecord is one record of a call that may not be repeated.
type HandoverRecord struct {
	Workspace string
	Route     string
	Key       string
	Body      []byte `msg:"Body,limit=262144"`
	// State is the state of the call, see package once.
	State  uint8
	Status int32
	Header map[string]string
	Answer []byte `msg:"Answer,limit=262144"`
	// AgeMillis is the time since the key's first use, in milliseconds.
	AgeMillis int64
}

// Handover is the sealed table of a VM that stops.
type Handover struct {
	Slot        string
	Incarnation uint64
	// Index and Count number the frames of one handover.
	Index   int32
	Count   int32
	Records []HandoverRecord
}

// HandoverTake asks for the handover of a slot; the holder deletes it when it answers.
type HandoverTake struct {
	Slot string
}

// VMRow is a VM as another VM knows it.
type VMRow struct {
	Slot   string
	Region string
	// Address takes sessions, IP:port.
	Address string
	// AgeMillis is the time since the sender heard of the VM, in milliseconds.
	AgeMillis int64
}

// WorkspaceSpent is what the sender has charged to a workspace since its start, in tokens or requests.
type WorkspaceSpent struct {
	Workspace string
	Amount    int64
	// Level is what the sender would still grant now.
	Level int64
}

// Uses tells the VMs of the region what the sender has running at upstreams: at all of them if Whole is set,
// else at those where that has changed.
type Uses struct {
	Whole bool
	Uses  []UpstreamUse
}

// UpstreamUse is what the sender has running at an upstream.
type UpstreamUse struct {
	Upstream string
	Running  int32
	// Prefill is the number of prompt tokens of requests without a first token, by rank, and Held the
	// memory of all in tokens.
	Prefill []int64
	Held    int64
}

// ServiceWait is the expected time to the first token of an empty prompt of a service in the sender's region, by
// rank.
type ServiceWait struct {
	Service string
	Millis  []int32
}

// Presence tells that the sender lives and what it shares with the other VMs.
type Presence struct {
	// Address takes sessions and CallerAddress callers, IP:port.
	Address       string
	CallerAddress string
	Flags         uint8
	// Open is the number of requests open at the sender.
	Open          int32
	ConfigVersion uint64
	// Weight is the sender's share of work, relative to other VMs, and RegionVMs the number of VMs in its region.
	Weight    int32
	RegionVMs int32
	Waits     []ServiceWait
	// Spent is that of the sender within its region, and that of the whole region for other regions.
	Spent []WorkspaceSpent
	// VMs are sent from time to time.
	VMs []VMRow
}

// StoreItem is a value of the platform's store, or the deletion of one.
type StoreItem struct {
	Key      string
	Value    []byte `msg:"Value,limit=262144"`
	Revision uint64
	Deleted  bool
}

// StoreAsk asks for what has changed in the store. ID is returned in the answer.
type StoreAsk struct {
	ID uint64
	// After is the revision that the sender knows; zero asks for everything.
	After uint64
	// WaitMillis is the time after which the answer comes although nothing has changed, in milliseconds.
	WaitMillis int64
}

// Results of StoreAsk.
const (
	// StoreOK says that the answer holds what was asked for.
	StoreOK uint8 = iota
	// StoreCompacted says that the changes since the revision are no longer known.
	StoreCompacted
	// StoreUnknown says that the sender cannot answer.
	StoreUnknown
)

// StoreAnswer answers StoreAsk.
type StoreAnswer struct {
	ID       uint64
	Result   uint8
	Revision uint64
	Items    []StoreItem
	// KnownMillis is the time from the arrival of the question to the latest moment at which the sender's
	// knowledge was current, in milliseconds; negative if that was before.
	KnownMillis int64
	// ReturnedMillis is the time since the sender saw the store return, in milliseconds; negative if it
	// never did.
	ReturnedMillis int64
}

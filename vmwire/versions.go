package vmwire

// Messages on the software versions of upstreams. See schema.go for the rules of the schema.

//msgp:limit arrays:4096 maps:256

//msgp:tuple StreamsBegan StreamBegan StreamOrigin KeyedOrigin StreamQuery StreamReply VMProcess VersionKnowledge ServiceVersions SeenVersion

// StreamsBegan reports streams to VMs that keep their versions, too.
type StreamsBegan struct {
	Streams []StreamBegan
	// Origins are those that a VM hands over before it ends. Last is set in its last message about them: it starts no stream any more.
	Origins []KeyedOrigin
	Last    bool
	// DroppedAge, in the last message, is the age of the time before which streams began whose origins the sender may have dropped. It is
	// UnknownAge if it has dropped none.
	DroppedAge Age
}

// StreamBegan is the software version of the upstream that began a stream.
type StreamBegan struct {
	RequestID string
	Service   string
	Version   string
	// Age is the time since the stream began.
	Age Age
	// HandedOver means that the sender keeps the stream for a VM that no longer runs, and that few VMs keep it.
	HandedOver bool
}

// StreamOrigin is a service and a software version at which a stream began.
type StreamOrigin struct {
	Service string
	Version string
}

// KeyedOrigin is the origin of streams whose requests have a key by their content.
type KeyedOrigin struct {
	Key    string
	Origin StreamOrigin
	// Age is the time since the last of these streams began. An unknown one counts as zero.
	Age Age
}

// StreamQuery asks for the service and the version of the stream that an attempt of a caller began, for the versions that have served a
// service, and for the services that the stream may have begun at.
// ID is returned in the reply.
type StreamQuery struct {
	ID uint64
	// RequestID identifies the attempt. It is empty if the caller has not named one.
	RequestID string
	Service   string
	// Host and Path are those of the request, and Key is the key by which the services of its route are chosen. TargetsAge is the age of the
	// moment since which the sender asks for the services.
	Host       string
	Path       string
	Key        string
	TargetsAge Age
	// StartAge is the age of the earliest moment at which the stream may have started, if the sender asks all VMs for the origins of streams with
	// Key, and UnknownAge otherwise.
	StartAge Age
}

// StreamReply is the reply to StreamQuery.
type StreamReply struct {
	ID      uint64
	Found   bool
	Service string
	Version string
	// Seen are the versions of the service that the sender knows of, up to the moment with the age KnownAge.
	Seen     []SeenVersion
	KnownAge Age
	// Targets are the services that the configurations of the sender have chosen for such a request since the moment in the query. TargetsKnown
	// is set if the sender knows all configurations since then.
	Targets      []string
	TargetsKnown bool
	// Origins are those of streams with the key in the query that began at the sender, or at a VM that has handed them over. OriginsKnown is set
	// if the sender keeps all that began at it since the moment in the query, and RunsSince if it has run since then.
	Origins      []StreamOrigin
	OriginsKnown bool
	RunsSince    bool
	// Processes are the processes of other VMs that may have run since that moment, as far as the sender knows.
	Processes []VMProcess
}

// VMProcess is a process of a VM.
type VMProcess struct {
	Slot string
	// Incarnation is zero if the sender knows the VM from the lists of others only.
	Incarnation uint64
	// HandedOver is set if the process has handed over the origins of its streams to the sender.
	HandedOver bool
}

// VersionKnowledge is what the sender knows of the software versions that have served, and of earlier configurations.
type VersionKnowledge struct {
	Services []ServiceVersions
	// The routes of all configurations from UnchangedFrom to UnchangedTo choose the same services. They have been in force for UnchangedAge, or
	// since ever if First is set. Without a configuration, UnchangedTo is zero.
	UnchangedFrom uint64
	UnchangedTo   uint64
	UnchangedAge  Age
	First         bool
}

// ServiceVersions are the software versions of a service.
type ServiceVersions struct {
	Service string
	// KnownAge is the time for which the sender has known all versions.
	KnownAge Age
	Versions []SeenVersion
}

// SeenVersion is a software version.
type SeenVersion struct {
	Version string
	// Age is the time since an upstream last had the version.
	Age Age
}

package vmwire

// Bits of Heartbeat.Flags, of Presence.Flags and of the flags of a compact view.
const (
	FlagLeaving uint8 = 1 << iota
	FlagReady
	// FlagNewestIncarnation means that the sender knows no newer incarnation of the receiver's slot.
	FlagNewestIncarnation
	// FlagKnowsNewest means that the sender has been connected long enough to know the newest incarnations.
	FlagKnowsNewest
	// FlagKeysCurrent means that the sender's list of withdrawn keys is current.
	FlagKeysCurrent
	// FlagUsageKnown means that the sender has run long enough to know the usage of all workspaces and reports
	// all of them.
	FlagUsageKnown
	// FlagStoreDown means that the store did not respond to the sender's latest call.
	FlagStoreDown
	// FlagRegionUsage means that a presence to another region reports the usage of the sender's region.
	FlagRegionUsage
)

// MaxRunningSeconds is the largest value of Presence.RunningSeconds. The run time of a VM matters only in its first seconds.
const MaxRunningSeconds = 60

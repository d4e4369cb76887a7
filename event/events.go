package event

import "log/slog"

// Events of the process.
var (
	Started       = New(1001, slog.LevelInfo, "vm started", "none")
	Ready         = New(1002, slog.LevelInfo, "vm ready", "none")
	Draining      = New(1003, slog.LevelInfo, "vm draining", "none")
	Stopped       = New(1004, slog.LevelInfo, "vm stopped", "none")
	StartFailed   = New(1005, slog.LevelError, "vm failed to start", "Correct the setting named in the log line.")
	ProcessPaused = New(1006, slog.LevelWarn, "process paused", "Look for an overloaded host; the VM discarded its tokens.")
	Superseded    = New(1007, slog.LevelError, "superseded by a newer incarnation", "None if the VM was replaced; otherwise two processes run under one slot name.")
	RequestsCut   = New(1008, slog.LevelWarn, "requests cut by the end of the vm", "Check how long the requests of the service last: the time between SIGTERM and SIGKILL was too short for these.")
	HandedOver    = New(1010, slog.LevelInfo, "streams handed over by a vm that stops", "none")
	Ending        = New(1009, slog.LevelInfo, "vm ends its sessions and connections", "none")
)

// Events of the configuration.
var (
	ConfigAccepted = New(1101, slog.LevelInfo, "configuration accepted", "none")
	ConfigRejected = New(1102, slog.LevelError, "configuration rejected", "Correct the problems listed in the log line and publish a higher version.")
	ConfigStale    = New(1103, slog.LevelWarn, "configuration older than the accepted one ignored", "Check whether the configuration service serves an old replica.")
	ConfigDown     = New(1104, slog.LevelWarn, "configuration service unreachable", "Check the service; the accepted configuration stays in force.")
)

// Events of sessions between VMs.
var (
	PeerUp         = New(1201, slog.LevelInfo, "session with vm established", "none")
	PeerDown       = New(1202, slog.LevelWarn, "session with vm lost", "Check the VM and the link if it does not return.")
	PeerRefused    = New(1203, slog.LevelWarn, "vm handshake refused", "Check the fleet key and the protocol version of the named peer.")
	MemberDead     = New(1205, slog.LevelWarn, "vm considered dead", "Check the VM if it does not return.")
	MemberReturned = New(1206, slog.LevelInfo, "vm is alive", "none")
	HandoverSent   = New(1207, slog.LevelInfo, "call records handed over", "none")
	PeerPanic      = New(1208, slog.LevelError, "unexpected failure in a request or session of a vm; it was ended", "Report the fault with the stack in the line.")
	FrameInvalid   = New(1204, slog.LevelWarn, "invalid frame from vm; session closed", "Check that all VMs run compatible versions.")
)

// Events of requests.
var (
	RequestDone      = New(1301, slog.LevelDebug, "request completed", "none")
	RequestRefused   = New(1302, slog.LevelInfo, "request refused", "See the page on refusals for the code.")
	RequestFailed    = New(1303, slog.LevelWarn, "request failed", "See the page on refusals for the code.")
	StreamResumed    = New(1304, slog.LevelInfo, "stream resumed at another upstream", "none")
	StreamKeyRevoked = New(1305, slog.LevelInfo, "stream cancelled because its key was revoked", "none")
)

// Events of upstreams.
var (
	UpstreamDown   = New(1401, slog.LevelWarn, "upstream failed", "Check the upstream if it does not return.")
	UpstreamUp     = New(1402, slog.LevelInfo, "upstream returned", "none")
	UpstreamOutage = New(1404, slog.LevelError, "several upstreams of a failure domain failed at once", "Check the failure domain; requests fail over to other regions.")
	ChunkMismatch  = New(1403, slog.LevelWarn, "chunk does not belong to its stream", "Check the engine's version; the stream was resumed elsewhere.")
)

// Broken invariants of configuration, routing, streams, quotas and authority. Each of them stops the process.
var (
	BrokenConfigReverted = New(9001, slog.LevelError, "invariant broken: configuration reverted", "Report a fault with the log.")
	BrokenSecondHop      = New(9002, slog.LevelError, "invariant broken: forwarded request forwarded again", "Report a fault with the log.")
	BrokenRegion         = New(9003, slog.LevelError, "invariant broken: request outside its allowed regions", "Report a fault with the log.")
	BrokenChunkOrder     = New(9004, slog.LevelError, "invariant broken: chunk out of order towards a caller", "Report a fault with the log.")

	BrokenTokenBucket = New(9011, slog.LevelError, "invariant broken: tokens and reserved tokens exceed the share", "Report a fault with the log.")
	BrokenSettlement  = New(9012, slog.LevelError, "invariant broken: charge settled twice", "Report a fault with the log.")
	BrokenLease       = New(9013, slog.LevelError, "invariant broken: authorised interval reversed, in the future or too long", "Report a fault with the log.")
	BrokenShares      = New(9014, slog.LevelError, "invariant broken: shares exceed the workspace's rate or burst", "Report a fault with the log.")
	BrokenAuthority   = New(9015, slog.LevelError, "invariant broken: authority confirmed for a time outside the current run", "Report a fault with the log.")
)

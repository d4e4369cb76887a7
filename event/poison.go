package event

import "log/slog"

// Events of requests that crash upstreams.
var (
	PoisonSuspected   = New(1701, slog.LevelWarn, "request suspected of crashing an upstream", "none")
	PoisonQuarantined = New(1702, slog.LevelWarn, "request quarantined", "Tell the workspace's owner; the request is refused for 10 minutes.")
	PoisonCleared     = New(1703, slog.LevelInfo, "suspected request completed", "none")
	PoisonFull        = New(1704, slog.LevelWarn, "table of suspected requests is full; the oldest was dropped", "Look for a cause of crashes other than requests.")
	PartSuspected     = New(1705, slog.LevelInfo, "prompt part suspected of crashing an upstream", "none")
	PartQuarantined   = New(1706, slog.LevelWarn, "prompt part quarantined", "Find the requests refused as quarantined and notify their workspace's owner; requests with the part are refused until one completes or for 10 minutes after the last crash.")
	PartCleared       = New(1707, slog.LevelInfo, "prompt part no longer quarantined", "none")
)

// Broken invariants of suspected requests.
var (
	BrokenPoisonPlacement = New(9025, slog.LevelError, "invariant broken: suspected request ended at an upstream without placed requests", "Report a fault with the log.")
	BrokenPoisonSize      = New(9026, slog.LevelError, "invariant broken: too many suspected requests", "Report a fault with the log.")
)

package event

import "log/slog"

// Broken invariants of upstream selection and the admission queue.
var (
	BrokenOutstanding = New(9031, slog.LevelError, "invariant broken: more requests ended than began at an upstream", "Report a fault with the log.")
	BrokenQueueBound  = New(9032, slog.LevelError, "invariant broken: queue longer than its bound", "Report a fault with the log.")
)

package event

import "log/slog"

// Events of orders to engines.
var (
	OrderIssued    = New(1801, slog.LevelInfo, "order issued", "none")
	OrderAccepted  = New(1802, slog.LevelInfo, "order accepted by the upstream", "none")
	OrderStale     = New(1803, slog.LevelWarn, "order refused by the upstream: fencing number too old", "None: another VM has issued a newer order.")
	OrderFailed    = New(1804, slog.LevelWarn, "order failed", "Check the upstream if the event repeats; the order is retried with backoff.")
	OrderNoFencing = New(1805, slog.LevelWarn, "no orders to an upstream that does not check fencing numbers", "Set up the upstream by hand, or replace its engine.")
	OrderThrottled = New(1806, slog.LevelInfo, "load order delayed by the rate limit of the weight store", "none")
	ReplicaMoved   = New(1807, slog.LevelInfo, "replica moves to another model", "none")
)

// Broken invariants of orders.
var (
	BrokenOrderFence  = New(9028, slog.LevelError, "invariant broken: order without the fencing number of the upstream", "Report a fault with the log.")
	BrokenOrderSecond = New(9029, slog.LevelError, "invariant broken: second order to an upstream while one is outstanding", "Report a fault with the log.")
)

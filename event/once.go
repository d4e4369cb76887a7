package event

import "log/slog"

// Events of non-repeatable calls.
var (
	OnceSealed          = New(1601, slog.LevelInfo, "records of non-repeatable calls sealed", "none")
	OnceHandoverTaken   = New(1602, slog.LevelInfo, "records of the predecessor received", "none")
	OnceHandoverRefused = New(1603, slog.LevelWarn, "records of the predecessor refused", "None: opaque keys of this slot are refused until the horizon has passed.")
	OnceAnswerNotKept   = New(1604, slog.LevelInfo, "answer of a non-repeatable call too large to store", "Raise the answer limit if callers of the route repeat calls.")
	OnceFull            = New(1605, slog.LevelWarn, "table of non-repeatable calls is full", "Look for a workspace that sends an unusual number of calls.")
)

// Broken invariants of non-repeatable calls.
var (
	BrokenSecondSend  = New(9021, slog.LevelError, "invariant broken: non-repeatable call sent again", "Report a fault with the log.")
	BrokenOnceState   = New(9022, slog.LevelError, "invariant broken: call completed from an invalid state", "Report a fault with the log.")
	BrokenOnceSize    = New(9023, slog.LevelError, "invariant broken: size of stored answers inconsistent", "Report a fault with the log.")
	BrokenOnceUnsaved = New(9024, slog.LevelError, "invariant broken: records exported before the table was sealed", "Report a fault with the log.")
)

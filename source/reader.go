package source

import (
	"context"
	"time"

	"parsleyhatch/platform"
)

// Answer is the result of a read of the store.
type Answer struct {
	platform.Page
	// KnownAt is a time at which the answer matched the state of the store. It is zero if no such time is known.
	KnownAt time.Time
	// StoreReturnedAt is the time at which another VM reached the store again after an outage, zero if there was none.
	StoreReturnedAt time.Time
}

// Position is a point in the history of the store. Revisions are unique within an era only: a store that was restored from a
// copy gives out again what came after the copy.
type Position struct {
	Era      uint64
	Revision uint64
}

// Reader reads the store, either directly or through another VM.
type Reader struct {
	// Direct is set if the calls go to the store itself.
	Direct bool
	// Range returns all items.
	Range func(ctx context.Context) (Answer, error)
	// Watch returns the changes after a position as soon as there are any, or an empty answer when wait has passed. An answer
	// of another era says nothing about the changes after the position.
	Watch func(ctx context.Context, after Position, wait time.Duration) (Answer, error)
	// Changes returns the changes of registrations after a revision, or an empty answer at once. Only a direct reader has it.
	Changes func(ctx context.Context, after uint64) (Answer, error)
}

// DirectReader returns a Reader that reads the store directly.
func DirectReader(store *platform.Store, now func() time.Time) Reader {
	return Reader{
		Direct: true,
		Range: func(ctx context.Context) (Answer, error) {
			sent := now()
			page, err := store.Range(ctx, "")
			return Answer{Page: page, KnownAt: sent}, err
		},
		Watch: func(ctx context.Context, after Position, wait time.Duration) (Answer, error) {
			knownAt := now()
			page, err := store.Watch(ctx, "", after.Revision, wait)
			if len(page.Events) == 0 {
				// An empty answer is sent only when wait has passed, so the state did not change until then.
				knownAt = knownAt.Add(wait)
			}
			return Answer{Page: page, KnownAt: knownAt}, err
		},
		Changes: func(ctx context.Context, after uint64) (Answer, error) {
			page, err := store.Watch(ctx, platform.UpstreamPrefix, after, time.Millisecond)
			return Answer{Page: page}, err
		},
	}
}

package source

import (
	"context"
	"time"

	"parsleyhatch/platform"
)

// Answer is what a way to read the store told.
type Answer struct {
	platform.Page
	// KnownAt is a time at which the answer was what the store held.
	KnownAt time.Time
	// Returned is when another VM saw the store return, zero if it never did.
	Returned time.Time
}

// Reader is a way to read the store.
type Reader struct {
	// Direct says that the calls go to the store itself.
	Direct bool
	// Range returns everything.
	Range func(ctx context.Context) (Answer, error)
	// Watch returns the changes after a revision as soon as there are any, or none after the wait.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (Answer, error)
}

// StoreReader returns the direct way.
func StoreReader(store *platform.Store, now func() time.Time) Reader {
	return Reader{
		Direct: true,
		Range: func(ctx context.Context) (Answer, error) {
			sent := now()
			page, err := store.Range(ctx, "")
			return Answer{Page: page, KnownAt: sent}, err
		},
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (Answer, error) {
			known := now()
			page, err := store.Watch(ctx, "", after, wait)
			if len(page.Events) == 0 {
				// The store answered after the wait, so nothing had changed up to then.
				known = known.Add(wait)
			}
			return Answer{Page: page, KnownAt: known}, err
		},
	}
}

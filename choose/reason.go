package choose

import "fmt"

// RegionReason is the reason for which a region was chosen or a request refused.
type RegionReason uint8

// Reasons of ChooseRegion.
const (
	// OwnRegion means that the own region is allowed and no other one is faster by the margin.
	OwnRegion RegionReason = iota
	// FasterRegion means that another region is expected to return the first token earlier by the
	// margin.
	FasterRegion
	// OwnRegionCannotRun means that the own region is not allowed to run the request, or has no
	// upstream for it.
	OwnRegionCannotRun
	// LinkBudgetExhausted means that another region would be faster, but the budget of the link is
	// used up.
	LinkBudgetExhausted
	// NoRegionReachable means that no allowed region has a recent summary with capacity.
	NoRegionReachable
	// OwnRegionNotAllowed means that a forwarded request reached a region that is not allowed to run
	// it.
	OwnRegionNotAllowed
	// ForwardedHere means that a forwarded request runs in the region to which it was sent.
	ForwardedHere
)

var regionReasonTexts = [...]string{
	OwnRegion:           "own region",
	FasterRegion:        "other region is faster by the margin",
	OwnRegionCannotRun:  "own region cannot run the request",
	LinkBudgetExhausted: "link budget used up",
	NoRegionReachable:   "no allowed region is reachable",
	OwnRegionNotAllowed: "own region is not allowed and the request was already forwarded",
	ForwardedHere:       "forwarded to this region",
}

// String returns the text that the explain command prints.
func (r RegionReason) String() string { return textOf(regionReasonTexts[:], int(r)) }

// Cause is the reason why an upstream was chosen.
type Cause uint8

// Reasons of a Pick.
const (
	// LeastLoaded means that the upstream had the best score of the candidates.
	LeastLoaded Cause = iota
	// HoldsPrefix means that the upstream probably has the prompt's prefix cached and is not too
	// loaded.
	HoldsPrefix
	// LastResort means that all upstreams that may run the request are failing.
	LastResort
)

var pickReasonTexts = [...]string{
	LeastLoaded: "least loaded of the candidates",
	HoldsPrefix: "holds the prompt's prefix",
	LastResort:  "all upstreams are failing",
}

// String returns the text that the explain command prints.
func (w Cause) String() string { return textOf(pickReasonTexts[:], int(w)) }

func textOf(texts []string, i int) string {
	if i >= len(texts) {
		return fmt.Sprintf("unknown (%d)", i)
	}
	return texts[i]
}

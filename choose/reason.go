package choose

import "fmt"

// Reason says why a region was chosen or refused.
type Reason uint8

// Reasons of Region.
const (
	// OwnRegion: the own region is allowed and no other one is faster by the margin.
	OwnRegion Reason = iota
	// FasterRegion: another region is expected to give the first token earlier by the margin.
	FasterRegion
	// OnlyRegion: the own region may not run the request, or has no upstream for it.
	OnlyRegion
	// LinkBudget: another region would be faster, but the link's budget is used up.
	LinkBudget
	// Unreachable: no allowed region has a recent summary with capacity.
	Unreachable
	// NotAllowed: a forwarded request reached a region that may not run it.
	NotAllowed
	// ForwardedHere: a forwarded request runs where it was sent.
	ForwardedHere
)

var reasonTexts = [...]string{
	OwnRegion:     "own region",
	FasterRegion:  "other region is faster by the margin",
	OnlyRegion:    "own region cannot run the request",
	LinkBudget:    "link budget used up",
	Unreachable:   "no allowed region is reachable",
	NotAllowed:    "own region is not allowed and the request was already forwarded",
	ForwardedHere: "forwarded to this region",
}

// String returns the text that the explain command prints.
func (r Reason) String() string { return textOf(reasonTexts[:], int(r)) }

// Why says what decided the choice of an upstream.
type Why uint8

// Causes of a choice of upstream.
const (
	// LeastLoaded: the best score of the drawn candidates.
	LeastLoaded Why = iota
	// HoldsPrefix: the upstream probably holds the prompt's prefix and is not loaded too much.
	HoldsPrefix
	// LastResort: all upstreams that may run the request are failing.
	LastResort
)

var whyTexts = [...]string{
	LeastLoaded: "least loaded of the candidates",
	HoldsPrefix: "holds the prompt's prefix",
	LastResort:  "all upstreams are failing",
}

// String returns the text that the explain command prints.
func (w Why) String() string { return textOf(whyTexts[:], int(w)) }

func textOf(texts []string, i int) string {
	if i >= len(texts) {
		return fmt.Sprintf("unknown (%d)", i)
	}
	return texts[i]
}

package soak

import (
	"slices"
	"sort"
	"time"
)

// arrival is the arrival of a request at an upstream, which may reject it.
type arrival struct {
	id string
	// vm is the VM that sent the request to the upstream.
	upstream, vm string
	at           time.Time
	// limit is the rate limit that the upstream announces, in requests per second, zero for none.
	limit float64
}

// RetryPeak is the window in which the retries of all VMs were the largest share of the retry budget.
type RetryPeak struct {
	// Retries is the number of arrivals at upstreams beyond the first one of each request, and Allowed the budget.
	Retries, Allowed int
	// End is the end of the window.
	End time.Time
}

// share returns the used share of the budget, which exceeds 1 if the budget is exceeded.
func (p RetryPeak) share() float64 { return float64(p.Retries) / float64(max(1, p.Allowed)) }

// retryPeak returns the peak of all windows that end with a retry. The requests are those that callers sent in the window, in
// the one before or in the one that ends in the middle of the window, whichever has most.
func (h *history) retryPeak(b bounds) RetryPeak {
	retries, sent := h.retryTimes(), []time.Time(nil)
	for _, r := range h.requests {
		sent = append(sent, r.sentAt)
	}
	slices.SortFunc(sent, time.Time.Compare)
	var peak RetryPeak
	for _, end := range retries {
		requests := 0
		for _, shift := range []time.Duration{0, b.retryWindow / 2, b.retryWindow} {
			requests = max(requests, countWithin(sent, end.Add(-shift), b.retryWindow))
		}
		found := RetryPeak{
			Retries: countWithin(retries, end, b.retryWindow),
			Allowed: int(b.retryRatio*float64(requests)) + b.retrySlack, End: end,
		}
		if peak.Retries == 0 || found.share() > peak.share() {
			peak = found
		}
	}
	return peak
}

// retryTimes returns the times of the arrivals beyond the first one of each request, in order.
func (h *history) retryTimes() []time.Time {
	seen := map[string]bool{}
	var times []time.Time
	for _, a := range h.arrivals {
		if seen[a.id] {
			times = append(times, a.at)
		}
		seen[a.id] = true
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// countWithin returns the number of times in the window that ends at end, which belongs to the window.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	begin := end.Add(-window)
	first := sort.Search(len(times), func(i int) bool { return times[i].After(begin) })
	behind := sort.Search(len(times), func(i int) bool { return times[i].After(end) })
	return behind - first
}

func checkRetryBudget(h *history, b bounds, report reportFunc) {
	peak := h.retryPeak(b)
	if peak.Retries <= peak.Allowed {
		return
	}
	report("many", "%d retries in the %v before %s, allowed %d", peak.Retries, b.retryWindow, peak.End.Format(time.RFC3339Nano), peak.Allowed)
}

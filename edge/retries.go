package edge

import "time"

// retryCause is why a request is sent once more, as reported in metrics.
type retryCause string

const (
	// causeNotSent means that nothing of the latest attempt has reached an upstream.
	causeNotSent retryCause = "notSent"
	// causeRefused means that an upstream refused the request.
	causeRefused retryCause = "refused"
	// causeFailed means that an upstream failed, broke off, or answered with an error.
	causeFailed retryCause = "failed"
	// causeVMLost means that the VM to which the request was forwarded was lost.
	causeVMLost retryCause = "vmLost"
	// causeStalled means that the upstream of a stream has sent no event for too long.
	causeStalled retryCause = "stalled"
	// causeUnconfirmed means that the end of a stream is only assumed.
	causeUnconfirmed retryCause = "unconfirmed"
	// causeGranted means that the VM to which the request was forwarded asked for a further run.
	causeGranted retryCause = "granted"
)

// Decisions of the retry budget, as reported in metrics.
const (
	budgetCharged = "charged"
	// budgetExempt means that the attempt is not charged.
	budgetExempt = "exempt"
	budgetDenied = "denied"
	// budgetOrigin means that the attempt was charged at the VM that forwarded the request.
	budgetOrigin = "origin"
	// budgetReturned means that a charge was taken back, because there was no destination for the attempt.
	budgetReturned = "returned"
)

// retryCharge is a decision of takeRetry.
type retryCharge struct {
	cause    retryCause
	decision string
}

// causeOf returns why a request is sent once more after an outcome.
func causeOf(out Outcome) retryCause {
	switch out.Reason {
	case NoUpstream, NoConfiguration, StaleKeys, Leaving, NoRoute, Overloaded, MemoryFull:
		return causeNotSent
	case UpstreamRefused:
		return causeRefused
	case VMLost:
		return causeVMLost
	default:
		return causeFailed
	}
}

// recordForBudget records a caller's request, which earns a share of a retry. A forwarded request earns nothing at the second VM.
func (e *Edge) recordForBudget(now time.Time, r *request) {
	e.Retries.RecordRequest(now, r.service.Name)
	e.Metrics.CountBudgetRequest(r.service.Name)
}

// hasRetryBudget reports whether takeRetry would allow an attempt now. It counts a denial in the metrics, since takeRetry is not called
// then.
func (e *Edge) hasRetryBudget(r *request, cause retryCause) bool {
	if r.origin.pays(r.runs+1) || e.Retries.HasCapacity(e.Now(), r.service.Name) {
		return true
	}
	e.Metrics.CountRetry(r.service.Name, string(cause), budgetDenied)
	return false
}

// takeRetry charges another attempt to the retry budget, or reports false if the budget is used up. An attempt is exempt if nothing of the
// one before it has reached an upstream. A run that the VM which forwarded the request has granted was charged there.
func (e *Edge) takeRetry(r *request, cause retryCause) bool {
	decision := budgetCharged
	switch {
	case cause == causeNotSent:
		decision = budgetExempt
	case r.origin.usePaidRun():
		decision = budgetOrigin
	case !e.Retries.TryRetry(e.Now(), r.service.Name):
		decision = budgetDenied
	}
	e.Metrics.CountRetry(r.service.Name, string(cause), decision)
	r.latestCharge = retryCharge{cause: cause, decision: decision}
	return decision != budgetDenied
}

// returnRetry takes back the latest charge. It is called if the attempt was not sent because there was no destination.
func (e *Edge) returnRetry(r *request) {
	switch r.latestCharge.decision {
	case budgetCharged:
		e.Retries.ReturnRetry(e.Now(), r.service.Name)
	case budgetOrigin:
		r.origin.returnPaidRun()
	default:
		return
	}
	e.Metrics.CountRetry(r.service.Name, string(r.latestCharge.cause), budgetReturned)
	r.latestCharge = retryCharge{}
}

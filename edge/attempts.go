package edge

import "time"

// attempts is where a request was sent so far, and the state of the latest attempt. The lists, runs and sends only grow,
// except failedVMs.
type attempts struct {
	// triedUpstreams and triedVMs list the upstreams and the VMs that the request was sent to, in order.
	triedUpstreams []string
	triedVMs       []string
	// failedVMs lists the VMs that the request is not sent to again: all of triedVMs but those whose upstreams have refused it.
	failedVMs []string
	// versions lists the software versions of triedUpstreams, in the same order.
	versions []string
	// triedRegions lists the other regions that the request was sent to. It is sent to them again only if no
	// other region can run it.
	triedRegions []string
	// runs is the number of upstreams that may have run the request, those of the VM that forwarded it included. sends is the number of
	// upstreams and VMs that this VM has sent it to: the length of triedUpstreams and triedVMs.
	runs  int
	sends int
	// latestCharge is how the latest further attempt was charged to the retry budget, zero if its charge was taken back.
	latestCharge retryCharge
	// switchover is set while an attempt is made to take the place of one whose upstream is silent. Its methods accept nil.
	switchover *switchover

	// throughOthers is set if the latest choice was another VM of this region, because this VM cannot reach the upstreams.
	throughOthers bool
	// allowTried permits sending the request to an upstream again, because no untried upstream is left.
	allowTried bool
	// expectedWait is the expected time to the first token at the latest choice of a region or upstream.
	expectedWait time.Duration
	// destination is the upstream or the region of the latest attempt, or VM/upstream once the VM of another region has named it.
	destination string
	// answerStartedAt is the time of the first event of the latest attempt at an upstream, zero before it.
	answerStartedAt time.Time
	// events is the number of events that the latest attempt at an upstream has relayed.
	events int
}

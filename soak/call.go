package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"parsleyhatch/standin/workload"
)

// finalStatuses are the statuses after which callers don't send a request again.
var finalStatuses = []int{
	http.StatusOK, http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge,
}

// notRunStatuses are the statuses which promise that a request has not run.
var notRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// call is a request of a caller, over all attempts.
type call struct {
	// id is the id of the first attempt, and begunBy that of the attempt that brought the first event, empty before.
	id, begunBy string
	route       *routeLoad
	load        *load
	key         string
	// vm is the VM of the next attempt.
	vm  *vmProcess
	rng *rand.Rand
	// named means that the caller names begunBy when it resumes a stream, and joinsAttempts that all attempts at a stream have the same
	// content. Raw upstreams know only the id of an attempt, so that each has its own content there.
	named, joinsAttempts bool
	// last is the last event that the caller has, and lastRun the run of that event.
	last    int
	lastRun workload.Run
	// deadline is that of all attempts, and patience the time without an answer or an event after which the caller gives up one of them.
	deadline time.Time
	patience time.Duration
	// onlyStreams is set for a caller that requests nothing but streams: it sends its short body at once, and goes on until it has all of
	// a stream, whatever the status of an answer.
	onlyStreams bool
}

// runCall sends a request, and sends it again or resumes it at other VMs as far as its kind and its deadline allow. All attempts but the
// first one open a connection.
func (s *soak) runCall(ctx context.Context, c *call, client, fresh *http.Client) {
	for n := 0; (n <= c.route.Retries || c.onlyStreams) && time.Until(c.deadline) > minAttemptTime; n++ {
		sent := c.attempt(n, c.vm.name)
		got := sendRequest(client, s.history, c.load, c.vm.addressForCallers(), sent)
		if !c.mayRetry(&got) || ctx.Err() != nil {
			return
		}
		c.receive(sent, &got)
		client = fresh
		c.vm = s.drawVM(c.rng, "", c.vm)
		left := time.Duration(maxRetryShare * float64(time.Until(c.deadline)))
		time.Sleep(max(attemptPause, min(got.retryAfter, left)))
	}
}

// attempt returns the n-th attempt.
func (c *call) attempt(n int, vm string) request {
	sent := request{
		id: c.id, kind: c.route.Kind, key: c.key, vm: vm, sentAt: time.Now(), deadline: time.Until(c.deadline), lastEvent: c.last, lastRun: c.lastRun,
		patience: c.patience, atOnce: c.onlyStreams,
	}
	if c.joinsAttempts && c.route.Kind == kindStream {
		sent.stream = c.id
	}
	if n > 0 {
		sent.id = fmt.Sprintf("%s-r%d", c.id, n)
	}
	if c.named {
		sent.resumes = c.begunBy
	}
	return sent
}

// mayRetry reports whether a caller sends its request again after an answer. One that may run once only is sent again after the promise
// that it has not run.
func (c *call) mayRetry(got *response) bool {
	if c.onlyStreams {
		return got.status != http.StatusOK || !got.complete
	}
	if c.route.Kind.runsOnce() {
		return slices.Contains(notRunStatuses, got.status)
	}
	if got.status == http.StatusOK && !got.complete {
		return true // The response broke off.
	}
	return !slices.Contains(finalStatuses, got.status)
}

// receive takes over the events that an attempt brought.
func (c *call) receive(sent request, got *response) {
	if len(got.events) == 0 {
		return
	}
	if c.begunBy == "" {
		c.begunBy = got.id
	}
	c.last, c.lastRun = got.lastReceived(), got.lastRun(sent)
}

// addressForCallers returns the address at which callers reach the VM.
func (v *vmProcess) addressForCallers() string {
	if v.callerLink != nil {
		return v.callerLink.Address()
	}
	return v.callerAddress
}

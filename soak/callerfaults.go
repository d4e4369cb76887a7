package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// partCallers is the part that stands for what callers do.
const partCallers = "callers"

const (
	// callerRepeats is the number of times that a refused caller repeats its request at once.
	callerRepeats = 3
	// hotPauseDivisor is by how much the pauses of callers are shorter while one workspace sends many times its usual load without additional
	// callers.
	hotPauseDivisor = 4
)

// leaveTimes are the times without an answer after which callers leave.
var leaveTimes = []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// callerBehaviour is what callers that send requests of all kinds do while faults act on them.
type callerBehaviour struct {
	// leaveAfter is the time without an answer in nanoseconds after which callers leave, zero if they stay.
	leaveAfter atomic.Int64
	// repeating and hot count the faults in which callers repeat at once and in which one workspace sends most requests.
	repeating, hot atomic.Int32
}

// changeCallers changes the behaviour of callers for the duration of the fault.
func (s *soak) changeCallers(f fault) {
	b := &s.callerBehaviour
	if f.kind == faultCallersLeave {
		b.leaveAfter.Store(int64(leaveTimes[f.variant%len(leaveTimes)]))
		defer b.leaveAfter.Store(0)
	} else {
		count := map[faultKind]*atomic.Int32{faultCallersRepeat: &b.repeating, faultHotWorkspace: &b.hot}[f.kind]
		count.Add(1)
		defer count.Add(-1)
	}
	s.disturbFor(f.duration, partCallers)
}

// patience returns the time without an answer after which a caller leaves, zero for the deadline.
func (b *callerBehaviour) patience() time.Duration { return time.Duration(b.leaveAfter.Load()) }

// sendsHot reports whether a caller sends for the hot workspace only: each one, or the additional ones if the load has them.
func (s *soak) sendsHot(caller int) bool {
	return s.callerBehaviour.hot.Load() > 0 && (s.load.surgeCallers == 0 || caller >= s.load.callers)
}

// sendAndRepeat sends a request. While callers repeat at once, it sends a refused one again with another id, without a pause. It returns the
// last request with its response.
func (s *soak) sendAndRepeat(client *http.Client, v *vmProcess, sent request) (last request, got response) {
	got = sendRequest(client, s.history, &s.load, v.addressForCallers(), sent)
	first := sent.id
	for i := 0; i < callerRepeats && s.callerBehaviour.repeating.Load() > 0 && slices.Contains(notRunStatuses, got.status); i++ {
		sent.id, sent.sentAt = fmt.Sprintf("%s-a%d", first, i), time.Now()
		got = sendRequest(client, s.history, &s.load, v.addressForCallers(), sent)
	}
	return sent, got
}

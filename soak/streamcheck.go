package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"parsleyhatch/platform"
)

const (
	// minResumptions is the number of resumed streams from which the share of those that go on is checked, and minResumedShare the
	// least part of the share of new streams that begin.
	minResumptions  = 12
	minResumedShare = 0.5
)

// servingTime is a time in which an upstream is registered as ready. end is zero while it lasts.
type servingTime struct {
	upstream, origin string
	start, end       time.Time
}

func (h *history) beginServing(upstream, origin string) {
	record(h, &h.serving, &servingTime{upstream: upstream, origin: origin, start: time.Now()})
}

func (h *history) endServing(upstream string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.serving {
		if s.upstream == upstream && s.end.IsZero() {
			s.end = time.Now()
		}
	}
}

// servesBetween reports whether the route of streams leads to a service and one upstream of the service and version serves, all the time
// between from and to. A stream whose route has moved to another service may not go on.
func (h *history) servesBetween(from, to time.Time, origin string) bool {
	service, _, _ := strings.Cut(origin, "/")
	return h.routedBetween(from, to, service) && slices.ContainsFunc(h.serving, func(s *servingTime) bool {
		return s.origin == origin && !s.start.After(from) && (s.end.IsZero() || !s.end.Before(to))
	})
}

// versionsBetween returns the number of versions of the service of an origin that have served at some time between from and to.
func (h *history) versionsBetween(from, to time.Time, origin string) int {
	service, _, _ := strings.Cut(origin, "/")
	versions := map[string]bool{}
	for _, s := range h.serving {
		if strings.HasPrefix(s.origin, service+"/") && s.start.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			versions[s.origin] = true
		}
	}
	return len(versions)
}

// splitTime is a split of the route of streams, with the time from which it is in force.
type splitTime struct {
	split []platform.ConfigTarget
	at    time.Time
}

// routedBetween reports whether the route of streams leads to a service all the time between from and to.
func (h *history) routedBetween(from, to time.Time, service string) bool {
	for i, s := range h.splits {
		over := i+1 < len(h.splits) && !h.splits[i+1].at.After(from)
		if !over && s.at.Before(to) && !slices.ContainsFunc(s.split, func(t platform.ConfigTarget) bool { return t.Service == service }) {
			return false
		}
	}
	return true
}

// attemptsByStream returns the attempts of each stream that its caller resumes until it is complete, in the order in which they were sent.
func (h *history) attemptsByStream() map[string][]request {
	streams := map[string][]request{}
	for _, r := range h.requests {
		if r.stream != "" {
			streams[r.stream] = append(streams[r.stream], r)
		}
	}
	for _, attempts := range streams {
		slices.SortFunc(attempts, func(a, b request) int { return a.sentAt.Compare(b.sentAt) })
	}
	return streams
}

// checkStreamOrigins finds the attempts from which on the stream of a caller holds events of another service or software version, or of
// another request.
func checkStreamOrigins(h *history, _ bounds, report reportFunc) {
	for _, attempts := range h.attemptsByStream() {
		var origins []string
		for _, r := range attempts {
			got := h.responses[r.id]
			for _, origin := range got.origins {
				if slices.Contains(origins, origin) {
					continue
				}
				if origins = append(origins, origin); len(origins) > 1 {
					report(r.id, "after event %d from %s at vm %s, %s: events of %v%s", r.lastEvent, origins[0], r.vm, nameOfResumption(r), origins, describeExecutions(h.executions[r.id]))
				}
			}
			if got.foreign > 0 {
				report(r.id, "%d events of another request", got.foreign)
			}
		}
	}
}

// nameOfResumption says how a caller resumes its stream.
func nameOfResumption(r request) string {
	switch {
	case r.resumes != "":
		return "resumes " + r.resumes
	case r.lastEvent > 0:
		return "resumes without a name"
	}
	return "new"
}

// servedCount counts requests or streams, and those of them that were served: an attempt at a stream brought an event or a regular end.
type servedCount struct{ sent, served int }

// add counts a request, as served if its response is complete and has status 200.
func (c *servedCount) add(got response) {
	c.sent++
	if got.succeeded() {
		c.served++
	}
}

func (got *response) succeeded() bool { return got.status == http.StatusOK && got.complete }

func (c servedCount) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

// String gives the count.
func (c servedCount) String() string { return fmt.Sprintf("%d of %d", c.served, c.sent) }

// resumptions counts streams by what their attempts at undisturbed VMs bring: those that begin, and those that their callers resume, with
// and without the name of the first attempt, while their service and version serve. Of those without a name, sole counts the ones whose
// service has had one version since they began, and those whose service and version don't serve count as gone. A stream counts once in each of them at most.
type resumptions struct{ begin, named, unnamed, sole, gone servedCount }

// String gives all counts.
func (n resumptions) String() string {
	return fmt.Sprintf("%v new streams begin; %v resumed with a name go on, %v without one (%v while one version serves), and %v whose version is gone",
		n.begin, n.named, n.unnamed, n.sole, n.gone)
}

func (h *history) countResumptions(b bounds) resumptions {
	var n resumptions
	for _, attempts := range h.attemptsByStream() {
		served, origin := map[*servedCount]bool{}, ""
		for _, r := range attempts {
			got, ok := h.responses[r.id]
			from := r.sentAt.Add(-b.resumeSettle)
			if ok && !h.disturbedBetween(from, got.receivedAt, r.vm) && !h.mayNotGoOn(r, got) {
				goesOn := got.status == 200 && (len(got.events) > 0 || got.complete)
				count := n.countOf(r, h.servesBetween(from, got.receivedAt, origin))
				served[count] = served[count] || goesOn
				if count == &n.unnamed && h.versionsBetween(attempts[0].sentAt, got.receivedAt, origin) == 1 {
					served[&n.sole] = served[&n.sole] || goesOn
				}
			}
			if origin == "" && len(got.origins) > 0 {
				origin = got.origins[0]
			}
		}
		for count, goesOn := range served {
			count.sent++
			if goesOn {
				count.served++
			}
		}
	}
	return n
}

// mayNotGoOn reports whether a VM could not let a stream go on: its key is withdrawn, or its upstream answered that it failed.
func (h *history) mayNotGoOn(r request, got response) bool {
	_, withdrawn := h.keyWithdrawnAt[r.key]
	failed := got.status == http.StatusInternalServerError && len(h.executions[r.id]) > 0
	return withdrawn || failed
}

// countOf returns the count to which an attempt belongs. served says whether upstreams of the service and version of its stream serve.
func (n *resumptions) countOf(r request, served bool) *servedCount {
	switch {
	case r.lastEvent == 0:
		return &n.begin
	case !served:
		return &n.gone
	case r.resumes != "":
		return &n.named
	}
	return &n.unnamed
}

// checkResumptions compares the share of resumed streams that go on with that of new streams that begin.
func checkResumptions(h *history, b bounds, report reportFunc) {
	n := h.countResumptions(b)
	resumed := servedCount{sent: n.named.sent + n.unnamed.sent, served: n.named.served + n.unnamed.served}
	if resumed.sent < minResumptions || resumed.share() >= minResumedShare*n.begin.share() {
		return
	}
	report("many", "%s", n.String())
}

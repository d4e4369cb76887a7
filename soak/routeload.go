package soak

import (
	"fmt"
	"net/http"

	"parsleyhatch/platform"
	"parsleyhatch/standin/workload"
)

// routeLoad is a route of a deployment, which is named after its kind of requests, with these requests.
type routeLoad struct {
	Kind    requestKind `json:"kind"`
	Service string      `json:"service"`
	// TimeoutMillis is the timeout, that of the profile if it is zero. TargetMillis is the target of the latency, and TargetGapMillis that
	// of the pauses between events.
	TimeoutMillis   millis   `json:"timeoutMillis"`
	TargetMillis    millis   `json:"targetMillis"`
	TargetGapMillis millis   `json:"targetGapMillis"`
	MaxAttempts     int      `json:"maxAttempts"`
	Priority        int      `json:"priority"`
	Public          bool     `json:"public"`
	HomeRegions     []string `json:"homeRegions"`

	// DeadlineMillis is the time that a caller waits for all its attempts, and PatienceMillis that for which it waits for the next event.
	// Zero means that it waits for the events until its deadline.
	DeadlineMillis millis `json:"deadlineMillis"`
	PatienceMillis millis `json:"patienceMillis"`
	// Retries is the number of further attempts of a caller.
	Retries int `json:"retries"`
	// Weight is the share of the requests of all callers, relative to the other routes.
	Weight float64 `json:"weight"`
	// Events is the number of events of a stream, EventPauseMillis the pause between them, and WorkMillis the time before the first one.
	Events           int    `json:"events"`
	EventPauseMillis millis `json:"eventPauseMillis"`
	WorkMillis       millis `json:"workMillis"`
	// BodyBytes is the size of a request's body beyond its id.
	BodyBytes int    `json:"bodyBytes"`
	Prompt    prompt `json:"prompt"`
}

// prompt is the size of a prompt in tokens, zero for requests without one.
type prompt struct {
	// SharedTokens are tokens of a part that all requests of the route have in common.
	SharedTokens int `json:"sharedTokens"`
	OwnTokens    int `json:"ownTokens"`
	AnswerTokens int `json:"answerTokens"`
}

// setHeaders describes the prompt of a request to the VM.
func (p prompt) setHeaders(h http.Header, kind requestKind, content string) {
	if p == (prompt{}) {
		return
	}
	h.Set(platform.HeaderTokenUsage, fmt.Sprintf("%d,%d", p.SharedTokens+p.OwnTokens, p.AnswerTokens))
	h.Set(platform.HeaderPromptPrefix, fmt.Sprintf("%x:%d,%x:%d", workload.HashOf(string(kind), "prefix"), p.SharedTokens, workload.HashOf(content, "prompt"), p.OwnTokens))
}

// load returns the load of a profile on the deployment.
func (d *deployment) load(p Profile) load {
	l := loadOf(p)
	l.host = d.Host
	if !d.hasOwnTraffic() {
		return l
	}
	return load{
		host: d.Host, routes: d.Routes, deadline: l.deadline, Shape: workload.Shape{EventsPerWrite: 1, LongEvery: l.LongEvery}, raw: l.raw, split: l.split, uneven: l.uneven,
	}
}

// of returns the load of the requests of a kind.
func (l *load) of(kind requestKind) *load {
	r := l.route(kind)
	if r == nil {
		return l
	}
	own := *l
	own.deadline, own.Events, own.EventPause = r.DeadlineMillis.duration(), r.Events, r.EventPauseMillis.duration()
	own.Work, own.Padding, own.prompt = r.WorkMillis.duration(), r.BodyBytes, r.Prompt
	return &own
}

// route returns the route of the requests of a kind, or nil if the deployment leaves them to the profile.
func (l *load) route(kind requestKind) *routeLoad {
	for i := range l.routes {
		if l.routes[i].Kind == kind {
			return &l.routes[i]
		}
	}
	return nil
}

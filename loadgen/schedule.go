package loadgen

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"parsleyhatch/standin"
)

// request is one generated request. Apart from the settings it depends only on the seed.
type request struct {
	arrival     time.Duration
	workspace   *Workspace
	requestType *RequestType
	// messages, prompt and expected, the text of the correct response, are set for KindChat.
	messages []standin.Message
	prompt   string
	expected string
	// body and key, the Idempotency-Key, are set for service calls. If ticket is true, a ticket replaces the key.
	body   string
	key    string
	ticket bool
	// withinRate says that an ideal token bucket with the workspace's rate and burst admits the request.
	withinRate bool
}

// vocabulary holds the words of generated texts.
var vocabulary = []string{"proposal", "harbour", "client", "order", "clause", "name", "vessel", "filing", "price", "county"}

// schedule returns the requests of a run, ordered by arrival time.
func schedule(s *Settings) []*request {
	var requests []*request
	for i := range s.Workspaces {
		requests = append(requests, arrivals(s, i)...)
	}
	slices.SortStableFunc(requests, func(a, b *request) int { return int(a.arrival - b.arrival) })
	return requests
}

// arrivals returns the requests of one workspace, which arrive as a Poisson process.
func arrivals(s *Settings, index int) []*request {
	w := &s.Workspaces[index]
	if w.RequestsPerSecond <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(s.Seed, uint64(index)))
	bucket := idealBucket{tokens: float64(w.Burst)}
	var list []*request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / w.RequestsPerSecond * float64(time.Second))
		if at >= s.Duration {
			return list
		}
		r := newRequest(s, w, rng, len(list))
		r.arrival = at
		r.withinRate = bucket.take(w, at, r.tokenCost())
		list = append(list, r)
	}
}

func newRequest(s *Settings, w *Workspace, rng *rand.Rand, number int) *request {
	work := pickRequestType(s.RequestTypes, rng)
	r := &request{workspace: w, requestType: work}
	name := fmt.Sprintf("%s-%d-%d", w.Name, s.Seed, number)
	text := name + " " + randomText(rng, rng.IntN(work.MaxUserBytes+1))
	if work.Kind != KindChat {
		r.body, r.key = text, "load-"+name
		r.ticket = work.Kind == KindCall && rng.Float64() < work.TicketShare
		return r
	}
	if work.SystemPrompts > 0 {
		r.messages = append(r.messages, standin.Message{Role: "system", Content: systemPrompt(work, rng.IntN(work.SystemPrompts))})
	}
	r.messages = append(r.messages, standin.Message{Role: "user", Content: text})
	r.prompt = standin.Prompt(r.messages)
	n := standin.AnswerTokens(work.Route, r.prompt, work.MaxTokens)
	r.expected = strings.Join(standin.Answer(work.Route, r.prompt, n), "")
	return r
}

func pickRequestType(work []RequestType, rng *rand.Rand) *RequestType {
	total := 0.0
	for _, w := range work {
		total += w.Weight
	}
	remaining := rng.Float64() * total
	for i := range work {
		remaining -= work[i].Weight
		if remaining < 0 {
			return &work[i]
		}
	}
	return &work[len(work)-1]
}

func randomText(rng *rand.Rand, bytes int) string {
	var b strings.Builder
	for b.Len() < bytes {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

// systemPrompt returns a system prompt that is the same for all callers, so that engines can share its cached prefix.
func systemPrompt(work *RequestType, index int) string {
	return work.Name + " " + randomText(rand.New(rand.NewPCG(uint64(index), 0)), work.SystemPromptBytes)
}

// tokenCost returns the number of tokens that the request actually consumes.
func (r *request) tokenCost() int64 {
	if r.requestType.Kind != KindChat {
		return r.requestType.CallTokens
	}
	return int64(standin.PromptTokens(r.messages) + len(r.expected)/tokenBytes)
}

// idealBucket is a token bucket in one place, not distributed over VMs, that is charged with actual costs instead of
// estimates.
type idealBucket struct {
	tokens    float64
	updatedAt time.Duration
}

func (b *idealBucket) take(w *Workspace, at time.Duration, cost int64) bool {
	if w.Rate <= 0 {
		return true
	}
	b.tokens = min(float64(w.Burst), b.tokens+(at-b.updatedAt).Seconds()*float64(w.Rate))
	b.updatedAt = at
	if b.tokens < float64(cost) {
		return false
	}
	b.tokens -= float64(cost)
	return true
}

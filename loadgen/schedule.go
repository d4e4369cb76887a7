package loadgen

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"parsleyhatch/standin"
)

// request is one arrival. It depends on the seed only.
type request struct {
	at        time.Duration
	workspace *Workspace
	work      *Work
	// messages, prompt and want are set for KindChat.
	messages []standin.Message
	prompt   string
	want     string
	// body and key are set for service calls.
	body   string
	key    string
	ticket bool
	// withinRate says that an ideal bucket with the workspace's rate and burst has room for it.
	withinRate bool
}

// words make up the generated texts.
var words = []string{"proposal", "harbour", "client", "order", "clause", "name", "vessel", "filing", "price", "county"}

// schedule returns the arrivals of a run, ordered by time.
func schedule(s *Settings) []*request {
	var all []*request
	for i := range s.Workspaces {
		all = append(all, arrivals(s, i)...)
	}
	slices.SortStableFunc(all, func(a, b *request) int { return int(a.at - b.at) })
	return all
}

// arrivals returns the Poisson arrivals of one workspace.
func arrivals(s *Settings, index int) []*request {
	w := &s.Workspaces[index]
	if w.RequestsPerSecond <= 0 {
		return nil
	}
	rng := rand.New(rand.NewPCG(s.Seed, uint64(index)))
	bucket := idealBucket{level: float64(w.Burst)}
	var list []*request
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / w.RequestsPerSecond * float64(time.Second))
		if at >= s.Duration {
			return list
		}
		r := newRequest(s, w, rng, len(list))
		r.at = at
		r.withinRate = bucket.take(w, at, r.cost())
		list = append(list, r)
	}
}

func newRequest(s *Settings, w *Workspace, rng *rand.Rand, number int) *request {
	work := pick(s.Work, rng)
	r := &request{workspace: w, work: work}
	name := fmt.Sprintf("%s-%d-%d", w.Name, s.Seed, number)
	text := name + " " + randomText(rng, rng.IntN(work.UserBytes+1))
	if work.Kind != KindChat {
		r.body, r.key = text, "load-"+name
		r.ticket = work.Kind == KindCall && rng.Float64() < work.Tickets
		return r
	}
	if work.Systems > 0 {
		r.messages = append(r.messages, standin.Message{Role: "system", Content: systemPrompt(work, rng.IntN(work.Systems))})
	}
	r.messages = append(r.messages, standin.Message{Role: "user", Content: text})
	r.prompt = standin.Prompt(r.messages)
	n := standin.AnswerTokens(work.Route, r.prompt, work.MaxTokens)
	r.want = strings.Join(standin.Answer(work.Route, r.prompt, n), "")
	return r
}

func pick(work []Work, rng *rand.Rand) *Work {
	total := 0.0
	for _, w := range work {
		total += w.Share
	}
	at := rng.Float64() * total
	for i := range work {
		at -= work[i].Share
		if at < 0 {
			return &work[i]
		}
	}
	return &work[len(work)-1]
}

func randomText(rng *rand.Rand, bytes int) string {
	var b strings.Builder
	for b.Len() < bytes {
		b.WriteString(words[rng.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

// systemPrompt is the same for all callers, so that engines can share its cached prefix.
func systemPrompt(work *Work, index int) string {
	return work.Name + " " + randomText(rand.New(rand.NewPCG(uint64(index), 0)), work.SystemBytes)
}

// cost returns the tokens that the request really takes.
func (r *request) cost() int64 {
	if r.work.Kind != KindChat {
		return r.work.CallTokens
	}
	return int64(standin.PromptTokens(r.messages) + len(r.want)/tokenBytes)
}

// idealBucket is a bucket without any distribution, charged with real costs.
type idealBucket struct {
	level float64
	at    time.Duration
}

func (b *idealBucket) take(w *Workspace, at time.Duration, cost int64) bool {
	if w.Rate <= 0 {
		return true
	}
	b.level = min(float64(w.Burst), b.level+(at-b.at).Seconds()*float64(w.Rate))
	b.at = at
	if b.level < float64(cost) {
		return false
	}
	b.level -= float64(cost)
	return true
}

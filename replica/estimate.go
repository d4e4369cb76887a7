package replica

import "time"

const (
	// prefillRate is the expected speed of reading a prompt, in tokens a millisecond: an engine of the
	// deployments reads 68 when it does nothing else.
	prefillRate = 60
	// firstTokenBase is the expected time to the first token of an empty prompt, in milliseconds: an engine's
	// first step takes about 36.
	firstTokenBase = 40
	// runningCost is the delay that one running request causes another, in milliseconds.
	runningCost = 1
	// queueCost is the delay by each request beyond the slots of an upstream, in milliseconds: about the time
	// of one request of a plain service.
	queueCost = 40
	// failureCost is the delay that counts for an upstream all of whose requests fail, in milliseconds.
	failureCost = 3000
	// rereadCost is what counts for each shared token that an upstream does not hold, in milliseconds,
	// beside the time for reading it: it takes capacity from others, in every upstream that reads it.
	rereadCost = 0.2
	// begunShare is the part of less urgent prompt tokens that delays a more urgent request: a prompt that an
	// engine has begun to read is read on. maxBegun bounds it, since engines read one prompt at a time.
	begunShare = 0.4
	maxBegun   = 8000
	// overtaken is the factor by which the wait of less urgent requests grows through urgent ones that arrive
	// meanwhile.
	overtaken = 1.3
	// memoryShare is the share of an engine's memory beyond which running requests are preempted.
	memoryShare = 0.9
	// memoryCost is the delay that counts for an engine whose memory is twice full, in milliseconds.
	memoryCost = 2000
)

// Inputs are what is known of an upstream's load.
type Inputs struct {
	// Running is the number of requests of all VMs.
	Running int
	// Uncached are the prompt tokens of the request that the upstream has to read.
	Uncached int64
	// Ahead are the prompt tokens that are read before those of the request, and Held all tokens in memory.
	Ahead int64
	Held  int64
	// Slowness is the ratio of measured to expected times to the first token.
	Slowness float64
	// Failures is the share of failed requests, from 0 to 1.
	Failures float64
}

// estimate is what a request is expected to meet at an upstream.
type estimate struct {
	// first is the expected time to the first token, and cost the same with penalties, in milliseconds.
	first, cost float64
	// uncached are the prompt tokens that the upstream has to read, and ahead those that it reads before them.
	uncached, ahead int64
	load            Use
	failures        float64
}

// estimate returns what the request would meet now. preferred says that requests with the same shared parts
// are brought together here, so that the upstream holds them or will.
func (r *row) estimate(now time.Time, q Request, preferred bool) estimate {
	x := estimate{load: r.load(now), failures: r.failureShare(now)}
	cached, shared := r.cached(now, q.Prompt.Parts), q.Prompt.SharedTokens()
	if preferred {
		cached = max(cached, shared)
	}
	x.uncached = max(0, q.Prompt.Tokens-cached)
	x.ahead = x.load.ahead(q.Rank)
	x.first = firstTokenBase + x.reading(q.Rank) + runningCost*float64(x.load.Running)
	if over := x.load.Running + 1 - r.Slots; over > 0 {
		x.first += queueCost * float64(over)
	}
	x.cost = x.first*max(1, r.slowness) + rereadCost*float64(max(0, shared-cached)) + failureCost*x.failures
	if e := q.Service.Engine; e != nil && e.Capacity > 0 {
		full := float64(x.load.Held+x.uncached+q.Prompt.MaxAnswer) / float64(e.Capacity)
		x.first += memoryCost * max(0, full-memoryShare)
		x.cost += memoryCost * max(0, full-memoryShare)
	}
	return x
}

// reading returns the time until the prompt is read, in milliseconds.
func (x *estimate) reading(rank int) float64 {
	begun := min(begunShare*float64(x.load.ahead(Ranks-1)-x.ahead), maxBegun)
	wait := (float64(x.ahead) + begun) / prefillRate
	if rank > 0 {
		wait *= overtaken
	}
	return wait + float64(x.uncached)/prefillRate
}

// Alone returns the expected time to the first token of a prompt on an idle upstream that has none of it.
func Alone(p Prompt) time.Duration { return fromMillis(firstTokenBase) + ReadTime(p.Tokens) }

// ReadTime returns the expected time in which one upstream reads prompt tokens.
func ReadTime(tokens int64) time.Duration { return fromMillis(float64(tokens) / prefillRate) }

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

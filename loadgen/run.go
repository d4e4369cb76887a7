package loadgen

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"parsleyhatch/standin"
)

// outcome is how a request ended.
type outcome string

const (
	outcomeDone    outcome = "done"
	outcomeRefused outcome = "refused" // Not run, also after the attempts.
	outcomeFailed  outcome = "failed"  // Ran, but the answer is an error.
	outcomeUnknown outcome = "unknown" // May have run.
	outcomeBroken  outcome = "broken"  // No complete response within attempts and time.
	outcomeInvalid outcome = "invalid" // A response that is wrong.
	outcomeDropped outcome = "dropped" // Not sent, since too many were in flight.
)

// result is the end of one request.
type result struct {
	request  *request
	outcome  outcome
	err      error
	attempts int
	resumes  int
	// region is the last X-Served-Region.
	region string
	// firstByte is the time from the arrival to the first token or to a call's answer.
	firstByte time.Duration
	total     time.Duration
	gaps      []float64
	tokens    int
}

// runner is one run.
type runner struct {
	settings Settings
	client   *client
	slots    chan struct{}
	wait     sync.WaitGroup

	mu      sync.Mutex
	results []result
}

// Run sends the load and returns its report. It stops early when the context ends.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.prepare(); err != nil {
		return nil, err
	}
	g := &runner{settings: settings, client: newClient(&settings), slots: make(chan struct{}, settings.MaxOutstanding)}
	defer g.client.close()
	before := g.upstreamTokens()
	g.arrive(ctx, schedule(&g.settings))
	g.wait.Wait()
	return newReport(&g.settings, g.results, g.upstreamTokens()-before), nil
}

func (g *runner) upstreamTokens() int64 {
	if g.settings.UpstreamTokens == nil {
		return 0
	}
	return g.settings.UpstreamTokens()
}

// arrive starts each request at its time, however long the others take.
func (g *runner) arrive(ctx context.Context, requests []*request) {
	start := time.Now()
	for _, r := range requests {
		due := start.Add(r.at)
		if !pause(ctx, time.Until(due)) {
			return
		}
		select {
		case g.slots <- struct{}{}:
			g.wait.Add(1)
			go g.runRequest(ctx, r, due)
		default:
			g.record(result{request: r, outcome: outcomeDropped})
		}
	}
}

// pause returns false if the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (g *runner) record(res result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, res)
}

func (g *runner) runRequest(ctx context.Context, r *request, due time.Time) {
	defer g.wait.Done()
	defer func() { <-g.slots }()
	ctx, cancel := context.WithTimeout(ctx, g.settings.RequestTimeout)
	defer cancel()
	res := result{request: r}
	p := &progress{}
	res.err = g.attempts(ctx, r, p, &res)
	res.outcome = classify(res.err)
	res.total = time.Since(due)
	res.firstByte = res.total
	if !p.first.IsZero() {
		res.firstByte = p.first.Sub(due)
	}
	res.gaps, res.tokens = p.gaps, p.received/tokenBytes
	g.record(res)
}

func classify(err error) outcome {
	var refusal *Refusal
	switch {
	case err == nil:
		return outcomeDone
	case errors.Is(err, errInvalid):
		return outcomeInvalid
	case !errors.As(err, &refusal):
		return outcomeBroken
	case refusal.Ran == ranNotRun:
		return outcomeRefused
	case refusal.Ran == "ran":
		return outcomeFailed
	default:
		return outcomeUnknown
	}
}

// attempts tries the request until it is done or must not be tried again.
func (g *runner) attempts(ctx context.Context, r *request, p *progress, res *result) error {
	key := r.key
	if r.ticket {
		ticket, err := g.client.ticket(ctx, r)
		if err != nil {
			return err
		}
		key = ticket
	}
	for {
		err := g.attempt(ctx, r, key, p, res)
		wait, again := retryAfter(err)
		if !again || res.attempts >= g.settings.MaxAttempts {
			return err
		}
		g.client.forget(r)
		if !pause(ctx, wait) {
			return err
		}
	}
}

// retryAfter decides whether another attempt is allowed. A request that the gateway may have run is
// not sent again. After a broken connection it is: a chat is resumed, and a call that must not run
// twice keeps its key, so that the gateway answers with the recorded outcome.
func retryAfter(err error) (time.Duration, bool) {
	var inStream streamRefusal
	var refusal *Refusal
	switch {
	case err == nil || errors.Is(err, errInvalid):
		return 0, false
	case errors.As(err, &inStream):
		final := inStream.Code == "keyWithdrawn" || inStream.Code == "poisoned"
		return refusalPause(inStream.Refusal), !final
	case errors.As(err, &refusal):
		elsewhere := refusal.Code == "wrongRegion" || refusal.Code == "leaving"
		return refusalPause(refusal), refusal.Ran == ranNotRun && (refusal.RetryAfterMs > 0 || elsewhere)
	default:
		return defaultRetryPause, true
	}
}

func refusalPause(r *Refusal) time.Duration {
	return min(maxRetryPause, time.Duration(r.RetryAfterMs)*time.Millisecond)
}

func (g *runner) attempt(ctx context.Context, r *request, key string, p *progress, res *result) error {
	vms, err := g.client.vms(ctx, r)
	if err != nil {
		res.attempts++
		return err
	}
	vm := vms[res.attempts%len(vms)].Address
	res.attempts++
	if r.work.Kind == KindChat {
		return g.chat(ctx, r, vm, p, res)
	}
	return g.call(ctx, r, vm, key, res)
}

// chatBody is the request of a chat completion.
type chatBody struct {
	Model     string            `json:"model"`
	Messages  []standin.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (g *runner) chat(ctx context.Context, r *request, vm string, p *progress, res *result) error {
	body, err := json.Marshal(chatBody{Model: r.work.Route, Messages: r.messages, MaxTokens: r.work.MaxTokens, Stream: true})
	if err != nil {
		return fmt.Errorf("encode chat: %w", err)
	}
	headers := map[string]string{}
	if p.lastID != "" {
		headers["Last-Event-ID"] = p.lastID
		res.resumes++
	}
	resp, err := g.client.send(ctx, r, vm, "/v1/chat/completions", string(body), headers)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	res.region = resp.Header.Get("X-Served-Region")
	return p.read(r, resp)
}

func (g *runner) call(ctx context.Context, r *request, vm, key string, res *result) error {
	headers := map[string]string{}
	if r.work.Kind == KindCall {
		headers["Idempotency-Key"] = key
	}
	path := "/v1/services/" + r.work.Route + "/" + r.work.Name
	resp, err := g.client.send(ctx, r, vm, path, r.body, headers)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	res.region = resp.Header.Get("X-Served-Region")
	return checkCall(r, resp)
}

// checkCall checks that the answer belongs to the body and that the call has not run before.
func checkCall(r *request, resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	var answer standin.ServiceAnswer
	sum := sha256.Sum256([]byte(r.body))
	if json.Unmarshal(data, &answer) != nil || answer.Echo != hex.EncodeToString(sum[:]) {
		return fmt.Errorf("%w: answer %.100q is not that of the call", errInvalid, data)
	}
	if r.work.Kind == KindCall && answer.Execution != 1 {
		return fmt.Errorf("%w: call %s ran %d times", errInvalid, r.key, answer.Execution)
	}
	return nil
}

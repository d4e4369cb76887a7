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
	outcomeRefused outcome = "refused" // Not run after the last attempt.
	outcomeFailed  outcome = "failed"  // Ran, but the response is an error.
	outcomeUnknown outcome = "unknown" // May have run.
	outcomeBroken  outcome = "broken"  // No complete response within the attempts and the timeout.
	outcomeInvalid outcome = "invalid" // The response is invalid.
	outcomeDropped outcome = "dropped" // Not sent because too many requests were in flight.
)

// result is the result of one request, over all its attempts.
type result struct {
	request  *request
	outcome  outcome
	err      error
	attempts int
	resumes  int
	// region is the X-Served-Region of the last response.
	region string
	// firstByte is the time from the scheduled arrival to the first token or to the response of a call.
	firstByte time.Duration
	total     time.Duration
	gaps      []float64
	tokens    int
}

// runner holds the state of one run.
type runner struct {
	settings Settings
	client   *client
	inFlight chan struct{}
	wg       sync.WaitGroup

	mu      sync.Mutex
	results []result
}

// Run sends the load and returns its report. It stops early when the context is done.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.prepare(); err != nil {
		return nil, err
	}
	g := &runner{settings: settings, client: newClient(&settings), inFlight: make(chan struct{}, settings.MaxInFlight)}
	defer g.client.close()
	before := g.upstreamTokens()
	g.startRequests(ctx, schedule(&g.settings))
	g.wg.Wait()
	return newReport(&g.settings, g.results, g.upstreamTokens()-before), nil
}

func (g *runner) upstreamTokens() int64 {
	if g.settings.UpstreamTokens == nil {
		return 0
	}
	return g.settings.UpstreamTokens()
}

// startRequests starts each request at its arrival time, independent of the progress of the others (open loop).
func (g *runner) startRequests(ctx context.Context, requests []*request) {
	start := time.Now()
	for _, r := range requests {
		arrival := start.Add(r.arrival)
		if !sleep(ctx, time.Until(arrival)) {
			return
		}
		select {
		case g.inFlight <- struct{}{}:
			g.wg.Add(1)
			go g.runRequest(ctx, r, arrival)
		default:
			g.record(result{request: r, outcome: outcomeDropped})
		}
	}
}

// sleep waits for d. It returns false if the context is done first.
func sleep(ctx context.Context, d time.Duration) bool {
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

func (g *runner) runRequest(ctx context.Context, r *request, arrival time.Time) {
	defer g.wg.Done()
	defer func() { <-g.inFlight }()
	ctx, cancel := context.WithTimeout(ctx, g.settings.RequestTimeout)
	defer cancel()
	res := result{request: r}
	p := &progress{}
	res.err = g.sendWithRetries(ctx, r, p, &res)
	res.outcome = classify(res.err)
	res.total = time.Since(arrival)
	res.firstByte = res.total
	if !p.firstTokenAt.IsZero() {
		res.firstByte = p.firstTokenAt.Sub(arrival)
	}
	res.gaps, res.tokens = p.gaps, p.receivedBytes/tokenBytes
	g.record(res)
}

func classify(err error) outcome {
	var gatewayErr *GatewayError
	switch {
	case err == nil:
		return outcomeDone
	case errors.Is(err, errInvalidResponse):
		return outcomeInvalid
	case !errors.As(err, &gatewayErr):
		return outcomeBroken
	case gatewayErr.Ran == ranStatusNotRun:
		return outcomeRefused
	case gatewayErr.Ran == "ran":
		return outcomeFailed
	default:
		return outcomeUnknown
	}
}

// sendWithRetries sends the request until it is completed, must not be retried or has used up its attempts.
func (g *runner) sendWithRetries(ctx context.Context, r *request, p *progress, res *result) error {
	key := r.key
	if r.ticket {
		ticket, err := g.client.ticket(ctx, r)
		if err != nil {
			return err
		}
		key = ticket
	}
	for {
		err := g.sendAttempt(ctx, r, key, p, res)
		delay, retry := retryDelay(err)
		if !retry || res.attempts >= g.settings.MaxAttempts {
			return err
		}
		g.client.invalidateDirectory(r)
		if !sleep(ctx, delay) {
			return err
		}
	}
}

// retryDelay returns the delay before a retry and whether a retry is allowed. A request is not retried after a
// response which says that it may have run. After a lost connection it is retried: a chat is resumed, and a
// call that must not run twice keeps its key, so that the gateway responds with the recorded outcome.
func retryDelay(err error) (time.Duration, bool) {
	var streamErr streamError
	var gatewayErr *GatewayError
	switch {
	case err == nil || errors.Is(err, errInvalidResponse):
		return 0, false
	case errors.As(err, &streamErr):
		permanent := streamErr.Code == "keyWithdrawn" || streamErr.Code == "poisoned"
		return gatewayRetryDelay(streamErr.GatewayError), !permanent
	case errors.As(err, &gatewayErr):
		retryOtherVM := gatewayErr.Code == "wrongRegion" || gatewayErr.Code == "leaving"
		return gatewayRetryDelay(gatewayErr), gatewayErr.Ran == ranStatusNotRun && (gatewayErr.RetryAfterMs > 0 || retryOtherVM)
	default:
		return connectionRetryDelay, true
	}
}

func gatewayRetryDelay(r *GatewayError) time.Duration {
	return min(maxRetryDelay, time.Duration(r.RetryAfterMs)*time.Millisecond)
}

func (g *runner) sendAttempt(ctx context.Context, r *request, key string, p *progress, res *result) error {
	vms, err := g.client.vms(ctx, r)
	if err != nil {
		res.attempts++
		return err
	}
	vm := vms[res.attempts%len(vms)].Address
	res.attempts++
	if r.requestType.Kind == KindChat {
		return g.sendChat(ctx, r, vm, p, res)
	}
	return g.sendCall(ctx, r, vm, key, res)
}

// chatRequest is the request body of a chat completion.
type chatRequest struct {
	Model     string            `json:"model"`
	Messages  []standin.Message `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (g *runner) sendChat(ctx context.Context, r *request, vm string, p *progress, res *result) error {
	body, err := json.Marshal(chatRequest{Model: r.requestType.Route, Messages: r.messages, MaxTokens: r.requestType.MaxTokens, Stream: true})
	if err != nil {
		return fmt.Errorf("encode chat: %w", err)
	}
	headers := map[string]string{}
	if p.lastEventID != "" {
		headers["Last-Event-ID"] = p.lastEventID
		res.resumes++
	}
	resp, err := g.client.send(ctx, r, vm, "/v1/chat/completions", string(body), headers)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	res.region = resp.Header.Get("X-Served-Region")
	return p.readStream(r, resp)
}

func (g *runner) sendCall(ctx context.Context, r *request, vm, key string, res *result) error {
	headers := map[string]string{}
	if r.requestType.Kind == KindCall {
		headers["Idempotency-Key"] = key
	}
	path := "/v1/services/" + r.requestType.Route + "/" + r.requestType.Name
	resp, err := g.client.send(ctx, r, vm, path, r.body, headers)
	if err != nil {
		return err
	}
	defer closeBody(resp)
	res.region = resp.Header.Get("X-Served-Region")
	return checkCallResponse(r, resp)
}

// checkCallResponse checks that the response echoes the hash of the request body, and that a call which must not run
// twice ran once.
func checkCallResponse(r *request, resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errConnectionLost, err)
	}
	var answer standin.ServiceAnswer
	sum := sha256.Sum256([]byte(r.body))
	if json.Unmarshal(data, &answer) != nil || answer.Echo != hex.EncodeToString(sum[:]) {
		return fmt.Errorf("%w: answer %.100q is not that of the call", errInvalidResponse, data)
	}
	if r.requestType.Kind == KindCall && answer.Execution != 1 {
		return fmt.Errorf("%w: call %s ran %d times", errInvalidResponse, r.key, answer.Execution)
	}
	return nil
}

package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRequestBytes bounds the body of a completion request.
const maxRequestBytes = 8 << 20

// chatRequest is the part of the OpenAI request that the engine uses.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
}

// Chunk is one OpenAI streaming chunk.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// Usage is set in the final chunk only.
	Usage *Usage `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index int        `json:"index"`
	Delta ChunkDelta `json:"delta"`
	// FinishReason is nil except in the final chunk.
	FinishReason *string `json:"finish_reason"`
}

// ChunkDelta is the text of a chunk.
type ChunkDelta struct {
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens of the whole answer, including those before the resume offset.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// job is a parsed completion request.
type job struct {
	id           string
	model        string
	prompt       string
	prefix       string
	priority     int
	from         int
	tokens       int
	promptTokens int
	prefixTokens int
	finish       string
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	j, err := parseJob(w, r)
	if err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s := e.register(j, cancel)
	if s == nil {
		refuse(w, http.StatusConflict, "model %q is not loaded", j.model)
		return
	}
	defer e.unregister(j, s)
	defer context.AfterFunc(s.life, cancel)()
	if !e.join(ctx, j, s) {
		panic(http.ErrAbortHandler)
	}
	if !e.generate(ctx, w, j) {
		panic(http.ErrAbortHandler)
	}
}

func parseJob(w http.ResponseWriter, r *http.Request) (*job, error) {
	// The whole body must be read, or the server does not notice a closed connection.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return nil, fmt.Errorf("read completion request: %w", err)
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, fmt.Errorf("read completion request: %w", err)
	}
	j := &job{id: r.Header.Get("X-Request-Id"), model: req.Model, prefix: r.Header.Get("X-Prefix")}
	if j.id == "" {
		return nil, fmt.Errorf("header X-Request-Id is missing")
	}
	maxTokens := req.MaxTokens
	for name, target := range map[string]*int{"X-Priority": &j.priority, "X-Resume-From": &j.from, "X-Max-Tokens": &maxTokens} {
		if err := intHeader(r, name, target); err != nil {
			return nil, err
		}
	}
	j.prompt = Prompt(req.Messages)
	j.promptTokens = PromptTokens(req.Messages)
	j.prefixTokens = j.promptTokens
	if len(req.Messages) > 1 {
		j.prefixTokens = PromptTokens(req.Messages[:1])
	}
	j.tokens = AnswerTokens(j.model, j.prompt, maxTokens)
	j.finish = "stop"
	if j.tokens == maxTokens {
		j.finish = "length"
	}
	if j.from < 0 || j.from > j.tokens {
		return nil, fmt.Errorf("resume offset %d is outside the answer of %d tokens", j.from, j.tokens)
	}
	return j, nil
}

// intHeader leaves the target unchanged if the header is missing.
func intHeader(r *http.Request, name string, target *int) error {
	text := r.Header.Get(name)
	if text == "" {
		return nil
	}
	value, err := strconv.Atoi(text)
	if err != nil {
		return fmt.Errorf("header %s: %w", name, err)
	}
	*target = value
	return nil
}

// serves reports whether the model is loaded; mu is held.
func (e *Engine) serves(model string) bool {
	if e.settings.Placed {
		return e.loaded.Model == model && !e.loaded.loading
	}
	return len(e.settings.Models) == 0 || e.models[model]
}

// register returns nil if the engine does not serve the job's model.
func (e *Engine) register(j *job, cancel context.CancelFunc) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.serves(j.model) {
		return nil
	}
	s := &stream{cancel: cancel, life: e.life}
	if e.streams[j.id] == nil {
		e.streams[j.id] = map[*stream]bool{}
	}
	e.streams[j.id][s] = true
	return s
}

// unregister frees the batch slot, unless the engine crashed since and forgot the stream.
func (e *Engine) unregister(j *job, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != s.life {
		return
	}
	delete(e.streams[j.id], s)
	if len(e.streams[j.id]) == 0 {
		delete(e.streams, j.id)
	}
	if s.ran {
		e.batch.release()
	}
	e.recordLoad(time.Now())
}

// join waits for a batch slot. It returns false if the stream was cancelled first.
func (e *Engine) join(ctx context.Context, j *job, s *stream) bool {
	e.mu.Lock()
	if e.life != s.life {
		e.mu.Unlock()
		return false
	}
	wait := e.batch.enter(j.priority)
	e.recordLoad(time.Now())
	e.mu.Unlock()
	select {
	case <-wait.ready:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != s.life {
		return false
	}
	s.ran = e.batch.leave(wait)
	e.recordLoad(time.Now())
	if !s.ran || ctx.Err() != nil {
		return false
	}
	e.ran[j.id]++
	return true
}

// generate reads the prompt and streams the answer. It returns false if it was cut short.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, j *job) bool {
	if !e.prefill(ctx, j) {
		return false
	}
	if e.settings.PoisonWord != "" && strings.Contains(j.prompt, e.settings.PoisonWord) {
		e.Crash()
		return false
	}
	out := &eventWriter{w: w, flush: http.NewResponseController(w), job: j}
	out.start()
	answer := Answer(j.model, j.prompt, j.tokens)
	started, done := time.Now(), 0
	for at := j.from; at < j.tokens; {
		end := min(at+e.settings.PieceTokens, j.tokens)
		done += end - at
		due := started.Add(tokenTime(done, e.settings.TokensPerSecond))
		if !e.pauseUntil(ctx, due) {
			return false
		}
		e.work(end - at)
		if !out.piece(at, end, strings.Join(answer[at:end], "")) {
			return false
		}
		at = end
	}
	return out.end()
}

// prefill takes the time to read what is not cached, and caches the prefix.
func (e *Engine) prefill(ctx context.Context, j *job) bool {
	e.mu.Lock()
	cached := e.cache.touch(j.prefix)
	e.mu.Unlock()
	// A resumed stream also reads the tokens that were generated before.
	todo := max(0, j.promptTokens-cached) + j.from
	if !e.pauseUntil(ctx, time.Now().Add(tokenTime(todo, e.settings.PrefillPerSecond))) {
		return false
	}
	e.work(todo)
	if cached == 0 {
		e.cachePrefix(j.prefix, j.prefixTokens)
	}
	return true
}

func (e *Engine) work(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processed += int64(tokens)
}

func tokenTime(tokens int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / perSecond * float64(time.Second))
}

// pauseUntil waits for the time and then for the end of a freeze. It returns false on cancellation.
func (e *Engine) pauseUntil(ctx context.Context, due time.Time) bool {
	if !sleepUntil(ctx, due) {
		return false
	}
	return e.waitThawed(ctx)
}

// sleepUntil returns false if the context ended first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// eventWriter writes the server-sent events of one answer.
type eventWriter struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	job   *job
}

func (o *eventWriter) start() {
	h := o.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Prompt-Tokens", strconv.Itoa(o.job.promptTokens))
	o.w.WriteHeader(http.StatusOK)
	_ = o.flush.Flush()
}

func (o *eventWriter) piece(start, end int, text string) bool {
	return o.event(start, end, ChunkChoice{Delta: ChunkDelta{Content: text}}, nil)
}

func (o *eventWriter) end() bool {
	n := o.job.tokens
	usage := &Usage{PromptTokens: o.job.promptTokens, CompletionTokens: n}
	if !o.event(n, n, ChunkChoice{FinishReason: &o.job.finish}, usage) {
		return false
	}
	_, err := fmt.Fprint(o.w, "data: [DONE]\n\n")
	return err == nil && o.flush.Flush() == nil
}

func (o *eventWriter) event(start, end int, choice ChunkChoice, usage *Usage) bool {
	data, err := json.Marshal(Chunk{
		ID: o.job.id, Object: "chat.completion.chunk", Model: o.job.model,
		Choices: []ChunkChoice{choice}, Usage: usage,
	})
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(o.w, "id: %s:%d:%d\ndata: %s\n\n", o.job.id, start, end, data); err != nil {
		return false
	}
	return o.flush.Flush() == nil
}

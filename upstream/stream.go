package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxEventBytes bounds what an engine sends for one event, including comments, in bytes. A chunk must fit in the window of a stream
// between VMs.
const maxEventBytes = 56 << 10

// CompletionRequest is a chat completion request to an engine.
type CompletionRequest struct {
	RequestID string
	// Priority is higher for more urgent requests.
	Priority int
	// ResumeFrom is the token offset at which the answer resumes.
	ResumeFrom int64
	MaxTokens  int64
	// Prefix is the key of the prompt prefix in the engine's cache. Workspaces do not share keys.
	Prefix string
	Body   []byte
	// StallTimeout is the maximum time between two events.
	StallTimeout time.Duration
}

// Chunk holds tokens [Start, End) of an answer as one JSON document. The last chunk has no tokens.
type Chunk struct {
	Start int64
	End   int64
	Data  []byte
}

// Stream reads the events of a streamed answer.
type Stream struct {
	// PromptTokens is the number of prompt tokens that the engine reports, zero if it reports none.
	PromptTokens int64

	// idPrefix is "<request id>:", which must be the prefix of each event id.
	idPrefix   []byte
	nextOffset int64
	// joined is set once a chunk has started at the offset at which the answer resumes.
	joined        bool
	body          io.ReadCloser
	reader        *bufio.Reader
	stallTimeout  time.Duration
	stallTimer    *time.Timer
	cancel        context.CancelCauseFunc
	ctx           context.Context
	lastChunkRead bool
	// eventID and eventData belong to the last event. Their memory is reused for the next one.
	eventID   []byte
	eventData []byte
	// eventBytes is the number of bytes read since the event before it.
	eventBytes int
}

var errModelNotLoaded = errors.New("engine does not run the request's model")

var errStalled = errors.New("engine sent no event within the stall timeout")

// Stream starts a chat completion and returns the stream of its answer, which must be closed.
func (c *Client) Stream(ctx context.Context, address string, call CompletionRequest) (*Stream, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(call.Body))
	if err != nil {
		cancel(nil)
		return nil, &Failure{Kind: NotSent, Err: err}
	}
	c.setHeaders(req, call)
	stallTimer := time.AfterFunc(call.StallTimeout, func() { cancel(errStalled) })
	resp, err := c.http.Do(req)
	if err != nil {
		stallTimer.Stop()
		kind := failureKind(err)
		if errors.Is(context.Cause(ctx), errStalled) {
			kind = Stalled
		}
		cancel(nil)
		return nil, &Failure{Kind: kind, Err: fmt.Errorf("call engine: %w", err)}
	}
	if resp.StatusCode != http.StatusOK {
		stallTimer.Stop()
		cancel(nil)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusConflict {
			return nil, &Failure{Kind: NotSent, Status: resp.StatusCode, Err: errModelNotLoaded}
		}
		return nil, &Failure{Kind: Refused, Status: resp.StatusCode, Err: fmt.Errorf("engine answered status %d", resp.StatusCode)}
	}
	promptTokens, _ := strconv.ParseInt(resp.Header.Get("X-Prompt-Tokens"), 10, 64)
	return &Stream{
		PromptTokens: promptTokens,
		idPrefix:     []byte(call.RequestID + ":"),
		nextOffset:   call.ResumeFrom,
		body:         resp.Body,
		reader:       bufio.NewReaderSize(resp.Body, eventBufferBytes),
		stallTimeout: call.StallTimeout,
		stallTimer:   stallTimer,
		cancel:       cancel,
		ctx:          ctx,
	}, nil
}

func (c *Client) setHeaders(req *http.Request, call CompletionRequest) {
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(headerRequestID, call.RequestID)
	req.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	req.Header.Set(headerResumeFrom, strconv.FormatInt(call.ResumeFrom, 10))
	req.Header.Set(headerMaxTokens, strconv.FormatInt(call.MaxTokens, 10))
	if call.Prefix != "" {
		req.Header.Set(headerPrefix, call.Prefix)
	}
}

// Close ends the stream. An unfinished stream is cancelled at the engine by closing its connection.
func (s *Stream) Close() {
	s.stallTimer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}

// Next returns the next chunk, and io.EOF after the last one. Chunks that this answer repeats are skipped. Chunks of another
// request, gaps, and chunks of a run that began before the offset return a Mismatched failure. The chunk's Data is valid until the next call.
func (s *Stream) Next() (Chunk, error) {
	for {
		if err := s.readEvent(); err != nil {
			return Chunk{}, err
		}
		if string(s.eventData) == "[DONE]" {
			if !s.lastChunkRead {
				return Chunk{}, &Failure{Kind: Broken, Err: errors.New("stream ended before its last chunk")}
			}
			return Chunk{}, io.EOF
		}
		c, failure := s.parseChunk(s.eventID, s.eventData)
		if failure != nil {
			return Chunk{}, failure
		}
		if c.Start < s.nextOffset {
			continue // A repeated chunk.
		}
		s.nextOffset, s.joined = c.End, true
		s.lastChunkRead = c.Start == c.End
		return c, nil
	}
}

// parseChunk parses an event id "<request id>:<start>:<end>" and checks it against the request and the expected
// offset.
func (s *Stream) parseChunk(id, data []byte) (Chunk, *Failure) {
	rest, ok := bytes.CutPrefix(id, s.idPrefix)
	if !ok {
		return Chunk{}, &Failure{Kind: Mismatched, Err: fmt.Errorf("chunk %q belongs to another request", id)}
	}
	startText, endText, _ := bytes.Cut(rest, []byte(":"))
	start, err1 := strconv.ParseInt(string(startText), 10, 64)
	end, err2 := strconv.ParseInt(string(endText), 10, 64)
	if err1 != nil || err2 != nil || end < start {
		return Chunk{}, &Failure{Kind: Mismatched, Err: fmt.Errorf("chunk %q has no valid offsets", id)}
	}
	repeated := s.joined && start < end && end <= s.nextOffset
	if start != s.nextOffset && !repeated {
		return Chunk{}, &Failure{Kind: Mismatched, Err: fmt.Errorf("chunk %q does not continue at %d", id, s.nextOffset)}
	}
	return Chunk{Start: start, End: end, Data: data}, nil
}

// readEvent reads one server-sent event into eventID and eventData.
func (s *Stream) readEvent() error {
	s.stallTimer.Reset(s.stallTimeout)
	s.eventID, s.eventData, s.eventBytes = s.eventID[:0], s.eventData[:0], 0
	for {
		line, err := s.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if len(s.eventData) > 0 {
				return nil
			}
			continue
		}
		if v, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			s.eventID = append(s.eventID[:0], v...)
		} else if v, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			s.eventData = append(s.eventData, v...)
		}
	}
}

func (s *Stream) line() ([]byte, error) {
	var accumulated []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		if s.eventBytes += len(part); s.eventBytes > maxEventBytes {
			return nil, &Failure{Kind: Mismatched, Err: &LimitError{Limit: LimitEvent, MaxBytes: maxEventBytes}}
		}
		if err == nil && accumulated == nil {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, s.readFailure(err)
		}
		accumulated = append(accumulated, part...)
		if err == nil {
			return bytes.TrimRight(accumulated, "\r\n"), nil
		}
	}
}

func (s *Stream) readFailure(err error) *Failure {
	cause := context.Cause(s.ctx)
	switch {
	case errors.Is(cause, errStalled):
		return &Failure{Kind: Stalled, Err: errStalled}
	case cause != nil:
		return &Failure{Kind: Cancelled, Err: cause}
	default:
		return &Failure{Kind: Broken, Err: fmt.Errorf("read from engine: %w", err)}
	}
}

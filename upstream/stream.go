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

// maxLineBytes bounds one line of a stream of events.
const maxLineBytes = 48 << 10

// Call is a chat completion at an engine.
type Call struct {
	RequestID string
	// Priority is higher for more urgent requests.
	Priority int
	// ResumeFrom is the token offset at which the answer continues.
	ResumeFrom int64
	MaxTokens  int64
	// Prefix is the key of the prompt prefix in the engine's cache; it differs between workspaces.
	Prefix string
	Body   []byte
	// Stall is the longest wait for the next event.
	Stall time.Duration
}

// Chunk is a piece of an answer: tokens [Start, End) as one JSON document. The last chunk is empty.
type Chunk struct {
	Start int64
	End   int64
	Data  []byte
}

// Stream is a running answer.
type Stream struct {
	// PromptTokens is the engine's count, zero if it does not tell.
	PromptTokens int64

	// idPrefix is "<request id>:", with which the id of each event must start.
	idPrefix []byte
	next     int64
	body     io.ReadCloser
	reader   *bufio.Reader
	stall    time.Duration
	timer    *time.Timer
	cancel   context.CancelCauseFunc
	ctx      context.Context
	done     bool
	// id and data are those of the last event; their memory is used again for the next one.
	id   []byte
	data []byte
}

var errStalled = errors.New("engine sent nothing for too long")

// Stream starts a chat completion. The returned stream must be closed.
func (c *Client) Stream(ctx context.Context, address string, call Call) (*Stream, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(call.Body))
	if err != nil {
		cancel(nil)
		return nil, &Failure{Kind: NotSent, Err: err}
	}
	c.setHeaders(req, call)
	timer := time.AfterFunc(call.Stall, func() { cancel(errStalled) })
	resp, err := c.http.Do(req)
	if err != nil {
		timer.Stop()
		kind := sendFailure(err)
		if errors.Is(context.Cause(ctx), errStalled) {
			kind = Stalled
		}
		cancel(nil)
		return nil, &Failure{Kind: kind, Err: fmt.Errorf("call engine: %w", err)}
	}
	if resp.StatusCode != http.StatusOK {
		timer.Stop()
		cancel(nil)
		_ = resp.Body.Close()
		return nil, &Failure{Kind: Refused, Status: resp.StatusCode, Err: fmt.Errorf("engine answered status %d", resp.StatusCode)}
	}
	prompt, _ := strconv.ParseInt(resp.Header.Get("X-Prompt-Tokens"), 10, 64)
	return &Stream{
		PromptTokens: prompt,
		idPrefix:     []byte(call.RequestID + ":"),
		next:         call.ResumeFrom,
		body:         resp.Body,
		reader:       bufio.NewReaderSize(resp.Body, eventBuffer),
		stall:        call.Stall,
		timer:        timer,
		cancel:       cancel,
		ctx:          ctx,
	}, nil
}

func (c *Client) setHeaders(req *http.Request, call Call) {
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

// Close ends the stream; an unfinished one is cancelled at the engine by closing its connection.
func (s *Stream) Close() {
	s.timer.Stop()
	s.cancel(nil)
	_ = s.body.Close()
}

// Next returns the next chunk, and io.EOF after the last one. Repeated chunks are dropped. Chunks of
// another request and gaps are a Mismatched failure. Data is valid until the next call.
func (s *Stream) Next() (Chunk, error) {
	for {
		if err := s.event(); err != nil {
			return Chunk{}, err
		}
		if string(s.data) == "[DONE]" {
			if !s.done {
				return Chunk{}, &Failure{Kind: Broken, Err: errors.New("stream ended before its last chunk")}
			}
			return Chunk{}, io.EOF
		}
		c, fail := s.check(s.id, s.data)
		if fail != nil {
			return Chunk{}, fail
		}
		if c.End <= s.next && c.Start < c.End {
			continue // A repeated chunk.
		}
		s.next = c.End
		s.done = c.Start == c.End
		return c, nil
	}
}

// check parses "<request id>:<start>:<end>" and compares it with what is expected.
func (s *Stream) check(id, data []byte) (Chunk, *Failure) {
	rest, ok := bytes.CutPrefix(id, s.idPrefix)
	if !ok {
		return Chunk{}, &Failure{Kind: Mismatched, Err: fmt.Errorf("chunk %q is of another request", id)}
	}
	first, last, _ := bytes.Cut(rest, []byte(":"))
	start, err1 := strconv.ParseInt(string(first), 10, 64)
	end, err2 := strconv.ParseInt(string(last), 10, 64)
	if err1 != nil || err2 != nil || end < start {
		return Chunk{}, &Failure{Kind: Mismatched, Err: fmt.Errorf("chunk %q has no valid offsets", id)}
	}
	if start > s.next || (start < s.next && end > s.next) {
		return Chunk{}, &Failure{Kind: Mismatched, Err: fmt.Errorf("chunk %q does not continue at %d", id, s.next)}
	}
	return Chunk{Start: start, End: end, Data: data}, nil
}

// event reads one server-sent event into id and data.
func (s *Stream) event() error {
	s.timer.Reset(s.stall)
	s.id, s.data = s.id[:0], s.data[:0]
	for {
		line, err := s.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if len(s.data) > 0 {
				return nil
			}
			continue
		}
		if v, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			s.id = append(s.id[:0], v...)
		} else if v, ok := bytes.CutPrefix(line, []byte("data: ")); ok {
			s.data = append(s.data, v...)
		}
	}
}

func (s *Stream) line() ([]byte, error) {
	var long []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		if err == nil && long == nil {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, s.readFailure(err)
		}
		long = append(long, part...)
		if len(long) > maxLineBytes {
			return nil, &Failure{Kind: Mismatched, Err: fmt.Errorf("line above %d bytes", maxLineBytes)}
		}
		if err == nil {
			return bytes.TrimRight(long, "\r\n"), nil
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

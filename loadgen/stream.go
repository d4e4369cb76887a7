package loadgen

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/standin"
)

const (
	// tokenBytes is the length of each token of standin.Answer.
	tokenBytes = 7
	// maxEventBytes limits the length of one line of a stream.
	maxEventBytes = 1 << 20
)

// progress is the received part of a chat response, over all attempts.
type progress struct {
	lastEventID    string
	receivedBytes  int // Bytes of the response text.
	finalChunkSeen bool
	firstTokenAt   time.Time
	lastTokenAt    time.Time
	gaps           []float64 // Milliseconds per token, for each event with text after the first.
}

// streamError is a GatewayError that was received as an event of a stream.
type streamError struct {
	*GatewayError
}

// Unwrap returns the GatewayError.
func (s streamError) Unwrap() error { return s.GatewayError }

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	name string
	data string
}

// readStream reads a stream and checks each event. It returns nil after a complete response.
func (p *progress) readStream(r *request, resp *http.Response) error {
	id := resp.Header.Get("X-Request-Id")
	if id == "" {
		return fmt.Errorf("%w: header X-Request-Id is missing", errInvalidResponse)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for {
		ev, err := nextEvent(scanner)
		if err != nil {
			return err
		}
		done, err := p.handleEvent(r, id, ev)
		if done || err != nil {
			return err
		}
	}
}

// nextEvent reads the lines up to the next empty line. The error wraps errConnectionLost if the stream ends before.
func nextEvent(scanner *bufio.Scanner) (sseEvent, error) {
	var ev sseEvent
	for scanner.Scan() {
		line := scanner.Text()
		if line == "" && ev != (sseEvent{}) {
			return ev, nil
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			ev.id = value
		case "event":
			ev.name = value
		case "data":
			ev.data += value
		}
	}
	err := scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return sseEvent{}, fmt.Errorf("%w: %w", errConnectionLost, err)
}

// handleEvent checks one event. done is true after the end of a complete response.
func (p *progress) handleEvent(r *request, id string, ev sseEvent) (done bool, err error) {
	if ev.name == "error" {
		return false, parseStreamError(ev.data)
	}
	if ev.data == "[DONE]" {
		if !p.finalChunkSeen {
			return false, fmt.Errorf("%w: [DONE] without a final chunk", errInvalidResponse)
		}
		return true, nil
	}
	var chunk standin.Chunk
	if err := json.Unmarshal([]byte(ev.data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return false, fmt.Errorf("%w: chunk %.100q", errInvalidResponse, ev.data)
	}
	if err := p.appendText(r, chunk.Choices[0].Delta.Content); err != nil {
		return false, err
	}
	if want := id + ":" + strconv.Itoa(p.receivedBytes/tokenBytes); ev.id != want {
		return false, fmt.Errorf("%w: event id %q, want %q", errInvalidResponse, ev.id, want)
	}
	p.lastEventID = ev.id
	return false, p.checkFinalChunk(r, &chunk)
}

func parseStreamError(data string) error {
	var body gatewayErrorBody
	if json.Unmarshal([]byte(data), &body) != nil || body.Error == nil {
		return fmt.Errorf("%w: error event %.100q", errInvalidResponse, data)
	}
	return streamError{body.Error}
}

// appendText records received text, which must consist of whole tokens and continue the expected text byte for byte.
func (p *progress) appendText(r *request, text string) error {
	if text == "" {
		return nil
	}
	if len(text)%tokenBytes != 0 || !strings.HasPrefix(r.expected[p.receivedBytes:], text) {
		return fmt.Errorf("%w: text %.40q at byte %d does not belong to the answer", errInvalidResponse, text, p.receivedBytes)
	}
	now := time.Now()
	if p.firstTokenAt.IsZero() {
		p.firstTokenAt = now
	} else {
		tokens := float64(len(text) / tokenBytes)
		p.gaps = append(p.gaps, millis(now.Sub(p.lastTokenAt))/tokens)
	}
	p.lastTokenAt = now
	p.receivedBytes += len(text)
	return nil
}

// checkFinalChunk checks the length of the text and the usage if the chunk has a finish reason.
func (p *progress) checkFinalChunk(r *request, chunk *standin.Chunk) error {
	if chunk.Choices[0].FinishReason == nil {
		return nil
	}
	if p.receivedBytes != len(r.expected) {
		return fmt.Errorf("%w: answer ends at byte %d of %d", errInvalidResponse, p.receivedBytes, len(r.expected))
	}
	want := standin.Usage{PromptTokens: standin.PromptTokens(r.messages), CompletionTokens: len(r.expected) / tokenBytes}
	if chunk.Usage == nil || *chunk.Usage != want {
		return fmt.Errorf("%w: usage %+v, want %+v", errInvalidResponse, chunk.Usage, want)
	}
	p.finalChunkSeen = true
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

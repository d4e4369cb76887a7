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
	// maxEventBytes bounds one line of a stream.
	maxEventBytes = 1 << 20
)

// progress is what a chat request has received so far, over all its attempts.
type progress struct {
	lastID   string
	received int // Bytes of the answer.
	finished bool
	first    time.Time
	last     time.Time
	gaps     []float64 // Milliseconds for each token after the first event.
}

// streamRefusal is an error object inside a stream.
type streamRefusal struct {
	*Refusal
}

// Unwrap returns the refusal.
func (s streamRefusal) Unwrap() error { return s.Refusal }

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	name string
	data string
}

// read consumes a stream and checks each event. It returns nil after a complete answer.
func (p *progress) read(r *request, resp *http.Response) error {
	id := resp.Header.Get("X-Request-Id")
	if id == "" {
		return fmt.Errorf("%w: header X-Request-Id is missing", errInvalid)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(nil, maxEventBytes)
	for {
		ev, err := nextEvent(scanner)
		if err != nil {
			return err
		}
		done, err := p.accept(r, id, ev)
		if done || err != nil {
			return err
		}
	}
}

// nextEvent reads to the next empty line; an end of the stream before that is a broken stream.
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
	return sseEvent{}, fmt.Errorf("%w: %w", errBroken, err)
}

// accept checks one event. done is true after the end of a complete answer.
func (p *progress) accept(r *request, id string, ev sseEvent) (done bool, err error) {
	if ev.name == "error" {
		return false, parseStreamRefusal(ev.data)
	}
	if ev.data == "[DONE]" {
		if !p.finished {
			return false, fmt.Errorf("%w: [DONE] without a final chunk", errInvalid)
		}
		return true, nil
	}
	var chunk standin.Chunk
	if err := json.Unmarshal([]byte(ev.data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return false, fmt.Errorf("%w: chunk %.100q", errInvalid, ev.data)
	}
	if err := p.add(r, chunk.Choices[0].Delta.Content); err != nil {
		return false, err
	}
	if want := id + ":" + strconv.Itoa(p.received/tokenBytes); ev.id != want {
		return false, fmt.Errorf("%w: event id %q, want %q", errInvalid, ev.id, want)
	}
	p.lastID = ev.id
	return false, p.checkEnd(r, &chunk)
}

func parseStreamRefusal(data string) error {
	var body refusalBody
	if json.Unmarshal([]byte(data), &body) != nil || body.Error == nil {
		return fmt.Errorf("%w: error event %.100q", errInvalid, data)
	}
	return streamRefusal{body.Error}
}

// add appends text, which must be whole tokens and continue the expected answer byte for byte.
func (p *progress) add(r *request, text string) error {
	if text == "" {
		return nil
	}
	if len(text)%tokenBytes != 0 || !strings.HasPrefix(r.want[p.received:], text) {
		return fmt.Errorf("%w: text %.40q at byte %d does not belong to the answer", errInvalid, text, p.received)
	}
	now := time.Now()
	if p.first.IsZero() {
		p.first = now
	} else {
		tokens := float64(len(text) / tokenBytes)
		p.gaps = append(p.gaps, millis(now.Sub(p.last))/tokens)
	}
	p.last = now
	p.received += len(text)
	return nil
}

// checkEnd checks the final chunk's usage.
func (p *progress) checkEnd(r *request, chunk *standin.Chunk) error {
	if chunk.Choices[0].FinishReason == nil {
		return nil
	}
	if p.received != len(r.want) {
		return fmt.Errorf("%w: answer ends at byte %d of %d", errInvalid, p.received, len(r.want))
	}
	want := standin.Usage{PromptTokens: standin.PromptTokens(r.messages), CompletionTokens: len(r.want) / tokenBytes}
	if chunk.Usage == nil || *chunk.Usage != want {
		return fmt.Errorf("%w: usage %+v, want %+v", errInvalid, chunk.Usage, want)
	}
	p.finished = true
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

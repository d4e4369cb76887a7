package gateway

import (
	"context"

	"parsleyhatch/event"
	"parsleyhatch/httpresponse"
	"parsleyhatch/vmwire"
)

// progress passes the chunks of one answer to the caller, exactly once and in order across all
// attempts.
type progress struct {
	// next is the offset of the first token that the caller has not received.
	next int64
	// started is set once the caller has received a part of the answer.
	started bool
	// tokens counts the tokens that were passed to the caller.
	tokens int64
	sink   Sink
}

// passWhole passes the answer of a service to the caller in chunks. It returns false if the caller
// has disconnected.
func (p *progress) passWhole(ctx context.Context, status int32, header map[string]string, body []byte) bool {
	for first := true; first || len(body) > 0; first = false {
		n := min(serviceChunkBytes, len(body))
		c := vmwire.Chunk{Start: p.next, End: p.next, Data: body[:n]}
		if first {
			c.Status, c.Header = status, header
		}
		if p.pass(ctx, &c) != nil {
			return false
		}
		body = body[n:]
	}
	return true
}

// accepts reports whether a chunk of another VM goes on with the answer. The first one has its head: net/http would send a 200 without one.
func (p *progress) accepts(c *vmwire.Chunk) bool {
	if !p.started && httpresponse.CheckFinalHead(int(c.Status), c.Header) != nil {
		return false
	}
	return c.Start == p.next && c.End >= c.Start
}

// pass checks a chunk and passes it to the caller. An error means that the caller has disconnected.
func (p *progress) pass(ctx context.Context, c *vmwire.Chunk) error {
	if c.Start != p.next || c.End < c.Start {
		event.FailInvariant(nil, event.BrokenChunkOrder, "start", c.Start, "end", c.End, "next", p.next)
	}
	if p.started {
		c.Status, c.Header = 0, nil
	}
	if err := p.sink(ctx, c); err != nil {
		return err
	}
	p.started = true
	p.tokens += c.End - c.Start
	p.next = c.End
	return nil
}

package upstream

import (
	"fmt"
	"io"
)

// Limit names a bound on what an upstream sends.
type Limit string

// Limits on answers.
const (
	// LimitHead holds for the heads of all responses that are read for one request.
	LimitHead Limit = "head"
	// LimitSkippedBody holds for the body of a response to another request.
	LimitSkippedBody Limit = "skippedBody"
	// LimitBody holds for a body.
	LimitBody Limit = "body"
	// LimitEvent holds for one event of a stream.
	LimitEvent Limit = "event"
)

// LimitError means that an answer was ended because it exceeded a limit.
type LimitError struct {
	Limit Limit
	// MaxBytes is the limit, in bytes.
	MaxBytes int64
}

// Error names the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("answer exceeds limit %s of %d bytes", e.Limit, e.MaxBytes)
}

// readBody reads a body of at most maxBytes. A longer one returns a *LimitError.
func readBody(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxBytes {
		return nil, &LimitError{Limit: LimitBody, MaxBytes: maxBytes}
	}
	return data, nil
}

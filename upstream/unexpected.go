package upstream

import (
	"errors"
	"io"
)

// Unexpected says why bytes of an upstream belong to no request.
type Unexpected string

// Reasons for which bytes belong to no request. All but SkippedResponse end the connection.
const (
	// SkippedResponse is a response to another request that came before the expected one.
	SkippedResponse Unexpected = "skippedResponse"
	// Malformed means that the bytes where a response was due are none, or that its body is not encoded as its head says.
	Malformed Unexpected = "malformed"
	// TrailingBytes came immediately after a complete response.
	TrailingBytes Unexpected = "trailingBytes"
	// BytesWhileIdle came while the connection carried no request.
	BytesWhileIdle Unexpected = "bytesWhileIdle"
)

// ErrMalformed means that an attempt failed because of what its upstream sent, and not because the connection ended.
var ErrMalformed = errors.New("malformed answer")

// UnexpectedBytes describes bytes of an upstream that belong to no request.
type UnexpectedBytes struct {
	Address string
	// RequestID is the request that the connection carries, empty if it carries none.
	RequestID string
	Reason    Unexpected
	// Cause says what is malformed. It is nil for other reasons.
	Cause error
}

// reportUnexpected calls OnUnexpected.
func (p *Pool) reportUnexpected(b UnexpectedBytes) {
	if p.OnUnexpected != nil {
		p.OnUnexpected(b)
	}
}

// isMalformed reports whether a read failed because of the bytes that were read, not because the connection ended, was closed or
// was silent, or because a limit was reached.
func (a *Response) isMalformed(err error) bool {
	var limit *LimitError
	return err != nil && !errors.As(err, &limit) && !errors.Is(err, io.EOF) && !IsTimeout(err) && !a.conn.recording.ended.Load()
}

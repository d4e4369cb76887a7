package childprocess

import (
	"io"
	"sync"
)

// Output passes on the output of several processes, one write at a time.
type Output struct {
	mu sync.Mutex
	to io.Writer
}

// NewOutput returns an output that writes to another one.
func NewOutput(to io.Writer) *Output { return &Output{to: to} }

// Write writes to the underlying writer.
func (o *Output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.to.Write(b)
}

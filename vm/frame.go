package vm

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/tinylib/msgp/msgp"

	"parsleyhatch/vmwire"
)

// MaxFrameBytes bounds an encoded frame without its length prefix, in bytes.
const MaxFrameBytes = 256 << 10

// lengthPrefixBytes is the size of the big-endian length prefix of each frame.
const lengthPrefixBytes = 4

// maxPooledBytes bounds the capacity of pooled buffers, in bytes. A typical frame holds one token, and the
// buffers of a few large frames should not stay in memory.
const maxPooledBytes = 4 << 10

// bufferPool holds reusable *[]byte buffers of encoded frames and chunks.
var bufferPool = sync.Pool{New: func() any { return new([]byte) }}

func releaseBuffer(buf *[]byte) {
	if cap(*buf) <= maxPooledBytes {
		bufferPool.Put(buf)
	}
}

// encodeFrame encodes a frame into a pooled buffer, which must be released once it has been written.
func encodeFrame(f *vmwire.Frame) (*[]byte, error) {
	buf := bufferPool.Get().(*[]byte)
	encoded, err := appendFrame((*buf)[:0], f)
	if err != nil {
		return nil, err
	}
	*buf = encoded
	return buf, nil
}

// appendFrame appends the length prefix and the encoded frame to buf.
func appendFrame(buf []byte, f *vmwire.Frame) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := f.MarshalMsg(buf)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	size := len(buf) - start - lengthPrefixBytes
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("encode frame: %d bytes, above the limit of %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// ReadFrame reads one frame. It returns an error for a frame that is too large or malformed, or that is
// shorter than its length prefix.
func ReadFrame(r *bufio.Reader) (vmwire.Frame, error) {
	var f vmwire.Frame
	var head [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return f, fmt.Errorf("read frame: %d bytes, above the limit of %d", size, MaxFrameBytes)
	}
	buf := make([]byte, size)
	// The decoder copies the body to the start of the read buffer, which avoids allocating a second one.
	f.Body = buf[:0]
	if _, err := io.ReadFull(r, buf); err != nil {
		return f, fmt.Errorf("read frame: %w", err)
	}
	rest, err := f.UnmarshalMsg(buf)
	if err != nil {
		return f, fmt.Errorf("decode frame: %w", err)
	}
	if len(rest) > 0 {
		return f, fmt.Errorf("decode frame: %d trailing bytes", len(rest))
	}
	return f, nil
}

// Decode decodes the body of a control frame into message.
func Decode(f vmwire.Frame, message msgp.Unmarshaler) error {
	rest, err := message.UnmarshalMsg(f.Body)
	if err != nil {
		return fmt.Errorf("decode message of kind %d: %w", f.Kind, err)
	}
	if len(rest) > 0 {
		return fmt.Errorf("decode message of kind %d: %d trailing bytes", f.Kind, len(rest))
	}
	return nil
}

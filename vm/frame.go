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

// MaxFrameBytes bounds an encoded frame, in bytes.
const MaxFrameBytes = 256 << 10

// lengthBytes is the size of the big-endian length before each frame.
const lengthBytes = 4

// maxPooledBytes bounds the buffers that are kept for reuse: the usual frame holds one token, and a
// few large ones should not stay in memory.
const maxPooledBytes = 4 << 10

// buffers holds *[]byte of encoded frames and chunks for reuse.
var buffers = sync.Pool{New: func() any { return new([]byte) }}

func recycle(buf *[]byte) {
	if cap(*buf) <= maxPooledBytes {
		buffers.Put(buf)
	}
}

// encodeFrame returns the encoded frame in a buffer to recycle once it has been written.
func encodeFrame(f *vmwire.Frame) (*[]byte, error) {
	buf := buffers.Get().(*[]byte)
	encoded, err := appendFrame((*buf)[:0], f)
	if err != nil {
		return nil, err
	}
	*buf = encoded
	return buf, nil
}

// appendFrame appends the length and the encoded frame to buf.
func appendFrame(buf []byte, f *vmwire.Frame) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0)
	buf, err := f.MarshalMsg(buf)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	size := len(buf) - start - lengthBytes
	if size > MaxFrameBytes {
		return nil, fmt.Errorf("encode frame: %d bytes, above the limit of %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[start:], uint32(size))
	return buf, nil
}

// ReadFrame reads one frame. It returns an error for a frame that is too large, malformed or
// followed by surplus bytes within its length.
func ReadFrame(r *bufio.Reader) (vmwire.Frame, error) {
	var f vmwire.Frame
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return f, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size > MaxFrameBytes {
		return f, fmt.Errorf("read frame: %d bytes, above the limit of %d", size, MaxFrameBytes)
	}
	buf := make([]byte, size)
	// The decoder copies the body to the front of this frame's own buffer instead of a second one.
	f.Body = buf[:0]
	if _, err := io.ReadFull(r, buf); err != nil {
		return f, fmt.Errorf("read frame: %w", err)
	}
	rest, err := f.UnmarshalMsg(buf)
	if err != nil {
		return f, fmt.Errorf("decode frame: %w", err)
	}
	if len(rest) > 0 {
		return f, fmt.Errorf("decode frame: %d surplus bytes", len(rest))
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
		return fmt.Errorf("decode message of kind %d: %d surplus bytes", f.Kind, len(rest))
	}
	return nil
}

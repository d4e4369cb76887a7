package vm

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"

	"parsleyhatch/vmwire"
)

// MaxFrameBytes bounds an encoded frame, in bytes.
const MaxFrameBytes = 256 << 10

// lengthBytes is the size of the big-endian length before each frame.
const lengthBytes = 4

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

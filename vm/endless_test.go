package vm

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"strings"
	"testing"

	"parsleyhatch/vmwire"
)

// Guards against a VM whose memory is filled by the length that another VM names for a frame.
func TestLongFrameIsRefusedBeforeItIsRead(t *testing.T) {
	var b bytes.Buffer
	b.Write(binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1))
	b.WriteString(strings.Repeat("x", MaxFrameBytes+1))
	r := bufio.NewReaderSize(&b, 16)
	if f, err := ReadFrame(r); err == nil || len(f.Body) > 0 {
		t.Errorf("frame of %d bytes, error %v", len(f.Body), err)
	}
	if unread := b.Len(); unread < MaxFrameBytes-16 {
		t.Errorf("%d bytes are left, want those of the frame", unread)
	}
}

// Guards against a VM whose memory is filled by the data that another VM sends on one stream, which is not read.
func TestEndlessDataIsRefused(t *testing.T) {
	for _, c := range []struct{ bodyBytes, maxFrames int }{
		{0, 0}, {1, WindowBytes}, {1000, WindowBytes / 1000}, {WindowBytes, 1}, {MaxFrameBytes, 0},
	} {
		st := newStream(nil, 1)
		frames := 0
		for frames <= WindowBytes {
			f := vmwire.Frame{Kind: vmwire.KindData, Seq: uint64(frames), Body: make([]byte, c.bodyBytes)}
			if err := st.handleFrame(f); err != nil {
				break
			}
			frames++
		}
		if frames != c.maxFrames {
			t.Errorf("%d frames with %d bytes are kept, want %d", frames, c.bodyBytes, c.maxFrames)
		}
	}
}

package vm

import (
	"bufio"
	"bytes"
	"reflect"
	"testing"

	"parsleyhatch/vmwire"
)

// Guards against a crash, or memory beyond the frame limit, on bytes from a faulty peer, and against
// a frame that changes when it is encoded again.
func FuzzReadFrame(f *testing.F) {
	hello := vmwire.Hello{Protocol: vmwire.Protocol, Slot: "vm-1", Incarnation: 7, Region: "norte", FailureDomain: "porto-a"}
	body, err := hello.MarshalMsg(nil)
	if err != nil {
		f.Fatal(err)
	}
	whole, err := appendFrame(nil, &vmwire.Frame{Kind: vmwire.KindHello, Body: body})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		decodeAny(frame)
		again, err := appendFrame(nil, &frame)
		if err != nil {
			return // A longer encoding than the peer's may pass the limit.
		}
		second, err := ReadFrame(bufio.NewReader(bytes.NewReader(again)))
		if err != nil {
			t.Fatalf("encoded again: %v", err)
		}
		if len(frame.Body) == 0 {
			frame.Body, second.Body = nil, nil
		}
		if !reflect.DeepEqual(frame, second) {
			t.Fatalf("frame changed:\n%+v\n%+v", frame, second)
		}
	})
}

// decodeAny decodes the body as the message of its kind. Errors are expected; a panic is not.
func decodeAny(f vmwire.Frame) {
	switch f.Kind {
	case vmwire.KindHello:
		_ = Decode(f, &vmwire.Hello{})
	case vmwire.KindOpen:
		_ = Decode(f, &vmwire.Open{})
	case vmwire.KindData:
		_ = Decode(f, &vmwire.Chunk{})
	case vmwire.KindEnd:
		_ = Decode(f, &vmwire.End{})
	case vmwire.KindWindow:
		_ = Decode(f, &vmwire.Window{})
	case vmwire.KindHeartbeat:
		_ = Decode(f, &vmwire.Heartbeat{})
	case vmwire.KindConfigGet:
		_ = Decode(f, &vmwire.ConfigGet{})
	case vmwire.KindConfigParts:
		_ = Decode(f, &vmwire.ConfigParts{})
	case vmwire.KindLoad:
		_ = Decode(f, &vmwire.Load{})
	case vmwire.KindSummary:
		_ = Decode(f, &vmwire.Summary{})
	case vmwire.KindSuspect:
		_ = Decode(f, &vmwire.Suspect{})
	case vmwire.KindHandover:
		_ = Decode(f, &vmwire.Handover{})
	}
}

// Guards against limits of the codec that refuse a frame of the largest size, or a list of parts of
// a configuration of the target scale.
func TestLargestMessages(t *testing.T) {
	const frameOverhead = 16
	frame := vmwire.Frame{Kind: vmwire.KindData, Body: make([]byte, MaxFrameBytes-frameOverhead)}
	data, err := appendFrame(nil, &frame)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ReadFrame(bufio.NewReader(bytes.NewReader(data))); err != nil {
		t.Error(err)
	}
	parts := vmwire.ConfigGet{Digests: make([]string, 1000)}
	body, err := parts.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := Decode(vmwire.Frame{Kind: vmwire.KindConfigGet, Body: body}, &vmwire.ConfigGet{}); err != nil {
		t.Error(err)
	}
}

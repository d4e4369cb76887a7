package vm

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"parsleyhatch/vmwire"
)

// Guards against a sender that waits for credit after the peer has ended the stream, and against an end that is lost then.
func TestSendReturnsWhenPeerEndsStream(t *testing.T) {
	s, err := dialPair(t, testKey, testKey, func(st *Stream, _ vmwire.Open) {
		_ = st.SendEnd(context.Background(), &vmwire.End{Code: "noConfiguration"})
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	st, err := s.OpenStream(ctx, &vmwire.Open{BodyBytes: 4 * WindowBytes})
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Send(ctx, bytes.Repeat([]byte("x"), 4*WindowBytes)); !errors.Is(err, ErrStreamEnded) {
		t.Errorf("Send returned %v, want %v", err, ErrStreamEnded)
	}
	if _, end, err := st.Recv(ctx); err != nil || end == nil || end.Code != "noConfiguration" {
		t.Errorf("Recv returned end %v, error %v", end, err)
	}
}

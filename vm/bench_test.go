package vm

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"testing"

	"parsleyhatch/vmwire"
)

// newTokenChunk returns a chunk with one streamed token of typical size.
func newTokenChunk() *vmwire.Chunk {
	return &vmwire.Chunk{Start: 17, End: 18, Data: bytes.Repeat([]byte("x"), 200)}
}

// BenchmarkFrame measures encoding and decoding a frame that holds one token.
func BenchmarkFrame(b *testing.B) {
	body, err := newTokenChunk().MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	f := vmwire.Frame{Kind: vmwire.KindData, Stream: 12345, Seq: 17, Body: body}
	encoded, err := appendFrame(nil, &f)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		buf := make([]byte, 0, 2*len(encoded))
		for b.Loop() {
			if _, err := appendFrame(buf[:0], &f); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		source := bytes.NewReader(encoded)
		r := bufio.NewReader(source)
		for b.Loop() {
			source.Reset(encoded)
			r.Reset(source)
			if _, err := ReadFrame(r); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkSession measures sending one token between two VMs over TLS on loopback, on one stream and on 64
// concurrent streams.
func BenchmarkSession(b *testing.B) {
	for _, c := range []struct {
		name    string
		streams int
	}{{"oneStream", 1}, {"64Streams", 64}} {
		b.Run(c.name, func(b *testing.B) {
			tokensPerStream := b.N/c.streams + 1
			s, err := dialPair(b, testKey, testKey, func(st *Stream, _ vmwire.Open) { sendTokens(st, tokensPerStream) })
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			results := make(chan error, c.streams)
			for range c.streams {
				go func() { results <- receiveTokens(s) }()
			}
			for range c.streams {
				if err := <-results; err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func sendTokens(st *Stream, n int) {
	for range n {
		if st.SendChunk(context.Background(), newTokenChunk()) != nil {
			return
		}
	}
	_ = st.SendEnd(context.Background(), &vmwire.End{Ran: "ran"})
}

func receiveTokens(s *Session) error {
	st, err := s.OpenStream(context.Background(), &vmwire.Open{})
	if err != nil {
		return err
	}
	for {
		body, end, err := st.Recv(context.Background())
		if err != nil || end != nil {
			return err
		}
		var c vmwire.Chunk
		if _, err := c.UnmarshalMsg(body); err != nil {
			return err
		}
		if len(c.Data) != 200 {
			return io.ErrUnexpectedEOF
		}
	}
}

package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"parsleyhatch/standin/rawanswer"
)

// patience is the time after which a call or a connection that should have ended has not.
const patience = 5 * time.Second

// Guards against an answer with a broken head that a client of upstreams takes for one, waits behind, or whose connection it uses again.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	// The clients accept these bodies.
	bodies := map[string]string{"pool": "answer", "engine stream": "id: 1:0:0\ndata: {}\n\n", "engine control": `{"running":1}`, "plain service": "answer"}
	for client, call := range callsByClient {
		heads := rawanswer.BrokenHeads
		if client == "pool" || client == "plain service" {
			heads = slices.Concat(heads, rawanswer.HiddenBrokenHeads)
		}
		if client != "engine stream" { // It ends with its last chunk.
			heads = slices.Concat(heads, rawanswer.BrokenTrailers)
		}
		for _, h := range heads {
			t.Run(client+"/"+h.Name, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				closed := make(chan struct{})
				err := call(ctx, func() (net.Conn, error) {
					conn, server := net.Pipe()
					go func() {
						defer close(closed)
						answerWithHead(server, h, bodies[client])
					}()
					return conn, nil
				})
				var f *Failure
				if err == nil || ctx.Err() != nil || errors.As(err, &f) && f.Kind != Broken {
					t.Errorf("%v, want a broken response", err)
				}
				select {
				case <-closed:
				case <-time.After(patience):
					t.Error("the connection stays open")
				}
			})
		}
	}
}

// answerWithHead answers one request with a broken head, and returns when the client has closed the connection.
func answerWithHead(c net.Conn, h rawanswer.BrokenHead, body string) {
	defer func() { _ = c.Close() }()
	id, err := readRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	fmt.Fprint(c, h.Bytes(HeaderRequestID+": "+id+"\r\n", body))
	_, _ = io.Copy(io.Discard, c)
}

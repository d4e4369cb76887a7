package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// maxEndlessBytes is the number of bytes after which an endless answer of a test ends, so that a client without a limit fails the
// test and not the machine.
const maxEndlessBytes = 16 << 20

// endlessAnswer is an answer that begins with head and goes on with filler until the client closes the connection.
type endlessAnswer struct{ head, filler string }

// serve answers one request on a pipe, and returns the number of bytes that the client has taken from it.
func (a endlessAnswer) serve(c net.Conn) int {
	defer func() { _ = c.Close() }()
	id, err := readRequest(bufio.NewReader(c))
	if err != nil {
		return 0
	}
	taken := 0
	for text := strings.ReplaceAll(a.head, "{id}", id); taken < maxEndlessBytes; text = a.filler {
		n, err := fmt.Fprint(c, text)
		taken += n
		if err != nil {
			break
		}
	}
	return taken
}

// takenFrom calls an upstream that sends the answer on a pipe, whose writes wait for the reader, and returns the number of bytes
// that were taken.
func (a endlessAnswer) takenFrom(call func(dial func() (net.Conn, error))) int {
	taken := make(chan int, 1)
	call(func() (net.Conn, error) {
		client, server := net.Pipe()
		go func() { taken <- a.serve(server) }()
		return client, nil
	})
	return <-taken
}

// callsByClient call an upstream and read its answer, each with another client.
var callsByClient = map[string]func(ctx context.Context, dial func() (net.Conn, error)) error{
	"pool": func(ctx context.Context, dial func() (net.Conn, error)) error {
		p := NewPool(time.Now)
		p.DialFunc = func(context.Context, string) (net.Conn, error) { return dial() }
		a, err := p.Do(ctx, newOutgoing("u", "1"))
		if err != nil {
			return err
		}
		defer a.Close()
		_, err = io.Copy(io.Discard, a)
		return err
	},
	"engine stream": func(ctx context.Context, dial func() (net.Conn, error)) error {
		c := New("credential")
		c.DialFunc = func(context.Context, string, string) (net.Conn, error) { return dial() }
		s, f := c.Stream(ctx, "u", CompletionRequest{RequestID: "1", StallTimeout: time.Minute})
		if f != nil {
			return f
		}
		defer s.Close()
		_, err := s.Next()
		return err
	},
	"engine control": func(ctx context.Context, dial func() (net.Conn, error)) error {
		c := New("credential")
		c.DialFunc = func(context.Context, string, string) (net.Conn, error) { return dial() }
		_, err := c.Load(ctx, "u")
		return err
	},
	"plain service": func(ctx context.Context, dial func() (net.Conn, error)) error {
		c := New("credential")
		c.DialFunc = func(context.Context, string, string) (net.Conn, error) { return dial() }
		if _, f := c.CallOnce(ctx, "u", ServiceRequest{RequestID: "1", Method: "POST", Path: "/"}, func() bool { return true }); f != nil {
			return f
		}
		return nil
	},
}

// Guards against a VM whose memory is filled by the head of one response that never ends.
func TestEndlessHeads(t *testing.T) {
	digits := strings.Repeat("0123456789", 100)
	for name, answer := range map[string]endlessAnswer{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-Filler: " + digits + "\r\n"},
		"one header line":   {"HTTP/1.1 200 OK\r\nX: ", digits},
		"status line":       {"HTTP/1.1 200 ", digits},
		"no answer":         {"", digits},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX-Filler: " + strings.Repeat(digits, 50) + "\r\n\r\n"},
	} {
		for client, call := range callsByClient {
			t.Run(client+"/"+name, func(t *testing.T) {
				var err error
				taken := answer.takenFrom(func(dial func() (net.Conn, error)) { err = call(t.Context(), dial) })
				var f *Failure
				if !errors.As(err, &f) || f.Kind != Broken || !strings.Contains(err.Error(), "exceed") {
					t.Errorf("%v, want a broken response that names the limit", err)
				}
				if taken > maxHeadBytes {
					t.Errorf("%d bytes taken, want at most %d", taken, maxHeadBytes)
				}
			})
		}
	}
}

// Guards against calls that read on after their limit, and against a cut body that is taken for a whole one. The body of a response of
// http.ReadResponse is read to its end when it is closed.
func TestEndlessBodies(t *testing.T) {
	spaces := "1000\r\n" + strings.Repeat(" ", 0x1000) + "\r\n"
	for name, head := range map[string]string{
		"with a length":    "200 OK\r\nContent-Length: 99999999999\r\n\r\n{}",
		"in chunks":        "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"until the end":    "200 OK\r\n\r\n{}",
		"error, in chunks": "500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		filler := spaces
		if !strings.Contains(head, "chunked") {
			filler = strings.Repeat(" ", 0x1000)
		}
		for _, client := range []string{"plain service", "engine control"} {
			t.Run(client+"/"+name, func(t *testing.T) {
				var err error
				answer := endlessAnswer{"HTTP/1.1 " + head, filler}
				taken := answer.takenFrom(func(dial func() (net.Conn, error)) { err = callsByClient[client](t.Context(), dial) })
				var f *Failure
				var exceeded *LimitError
				if !errors.As(err, &f) || f.Kind != Broken || !errors.As(err, &exceeded) || exceeded.Limit != LimitBody {
					t.Errorf("%v, want a broken response above the limit of a body", err)
				}
				if taken > 2*MaxServiceResponseBytes {
					t.Errorf("%d bytes taken, want at most %d", taken, 2*MaxServiceResponseBytes)
				}
			})
		}
	}
}

// Guards against a VM that keeps or reads without end what surrounds the body of a response in chunks.
func TestEndlessChunkFraming(t *testing.T) {
	digits := strings.Repeat("0123456789", 100)
	for name, answer := range map[string]endlessAnswer{
		"size of a chunk":         {"", digits},
		"zeros before a size":     {"", strings.Repeat("0", 1000)},
		"extension of a chunk":    {"1;", digits},
		"extensions of chunks":    {"", "1;x=" + digits + "\r\nx\r\n"},
		"fields after the body":   {"0\r\n", "X-Filler: " + digits + "\r\n"},
		"one field after a body":  {"0\r\nX-Filler: ", digits},
		"spaces after the body":   {"0\r\n", strings.Repeat(" ", 1000)},
		"no chunk":                {"", digits + "\r\n"},
		"bytes instead of an end": {"1\r\nx", digits},
	} {
		answer.head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n" + answer.head
		for client, call := range callsByClient {
			t.Run(client+"/"+name, func(t *testing.T) {
				var err error
				taken := answer.takenFrom(func(dial func() (net.Conn, error)) { err = call(t.Context(), dial) })
				if err == nil || taken > maxHeadBytes {
					t.Errorf("error %v after %d bytes, want one after at most %d", err, taken, maxHeadBytes)
				}
			})
		}
	}
}

// Guards against a VM that reads without end what belongs to another request.
func TestEndlessSkippedResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
	text := strings.Repeat("x", 0x100)
	for name, answer := range map[string]endlessAnswer{
		"with a length":     {head + "Content-Length: 99999999999\r\n\r\n", text},
		"in chunks":         {head + "Transfer-Encoding: chunked\r\n\r\n", "100\r\n" + text + "\r\n"},
		"until the end":     {head + "\r\n", text},
		"responses":         {"", response("other", text)},
		"long responses":    {"", response("other", strings.Repeat(text, 100))},
		"before a response": {response("other", text), text},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			taken := answer.takenFrom(func(dial func() (net.Conn, error)) { err = callsByClient["pool"](t.Context(), dial) })
			var f *Failure
			if !errors.As(err, &f) || taken > maxHeadBytes {
				t.Errorf("error %v after %d bytes, want a failure after at most %d", err, taken, maxHeadBytes)
			}
		})
	}
}

// Guards against an engine that fills the memory with one event, or whose lines are read although they belong to no event.
func TestEndlessEvents(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1:0:1\n"
	digits := strings.Repeat("0123456789", 100)
	for name, filler := range map[string]string{
		"one line":      "data: " + digits,
		"lines of data": "data: " + digits + "\n",
		"comments":      ": " + digits + "\n",
		"empty lines":   strings.Repeat("\n", 1000),
		"ids":           "id: " + digits + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			taken := endlessAnswer{head, filler}.takenFrom(func(dial func() (net.Conn, error)) { err = callsByClient["engine stream"](t.Context(), dial) })
			var f *Failure
			if !errors.As(err, &f) || f.Kind != Mismatched {
				t.Errorf("%v, want a mismatched response", err)
			}
			if want := 2 * maxEventBytes; taken > want {
				t.Errorf("%d bytes taken, want at most %d", taken, want)
			}
		})
	}
}

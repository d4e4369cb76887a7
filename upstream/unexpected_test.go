package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// unexpectedLog records what a pool reports.
type unexpectedLog struct {
	mu      sync.Mutex
	entries []string
}

func (l *unexpectedLog) add(b UnexpectedBytes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, string(b.Reason)+" "+b.RequestID)
}

// Guards against bytes that belong to no request and that operators never hear of, and against reports of sound or broken
// connections. The first connection sends late after its response to the request "first"; the request "second" must get its own response
// all the same, on a second attempt if the connection ended.
func TestUnexpectedBytesAreReported(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: first\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	second := response("first", "wrong")
	for name, c := range map[string]struct {
		// together comes with the first response, idle some time after it, written when the next request begins to arrive and answer
		// immediately before the next response.
		together, idle, written, answer string
		want                            []string
	}{
		"nothing":                            {},
		"second answer with the first":       {together: second, want: []string{"trailingBytes first"}},
		"second answer while idle":           {idle: second, want: []string{"bytesWhileIdle "}},
		"refusal while idle":                 {idle: refusal, want: []string{"bytesWhileIdle "}},
		"second answer during a write":       {written: second, want: []string{"skippedResponse second"}},
		"second answer before the next":      {answer: second, want: []string{"skippedResponse second"}},
		"refusal before the next":            {answer: refusal, want: []string{"skippedResponse second"}},
		"earlier failure before the next":    {answer: "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: first\r\nContent-Length: 1\r\n\r\nx", want: []string{"skippedResponse second"}},
		"head cut short before the next":     {answer: "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Len", want: []string{"malformed second"}},
		"head cut short while idle":          {idle: "HTTP/1.1 200 OK\r\nRequ", want: []string{"bytesWhileIdle "}},
		"body cut short before the next":     {answer: "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 20\r\n\r\nwrong", want: []string{"skippedResponse second", "malformed second"}},
		"bytes that are no answer":           {answer: "garbage\r\n\r\n", want: []string{"malformed second"}},
		"status 000 before the next":         {answer: "HTTP/1.1 000 \r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n", want: []string{"malformed second"}},
		"blank in a name before the next":    {answer: "HTTP/1.1 200 OK\r\nRequest-Id : first\r\nContent-Length: 0\r\n\r\n", want: []string{"malformed second"}},
		"two ids before the next":            {answer: "HTTP/1.1 200 OK\r\nRequest-Id: first\r\nRequest-Id: second\r\nContent-Length: 5\r\n\r\nwrong", want: []string{"malformed second"}},
		"two ids, its own first":             {answer: "HTTP/1.1 200 OK\r\nRequest-Id: second\r\nRequest-Id: first\r\nContent-Length: 5\r\n\r\nwrong", want: []string{"malformed second"}},
		"bytes that are no answer when idle": {idle: "garbage", want: []string{"bytesWhileIdle "}},
	} {
		// isIdle is closed once the client has read the first response, and sentIdle once the server has sent what comes after it.
		isIdle, sentIdle := make(chan struct{}), make(chan struct{})
		address := rawServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			if n > 0 {
				fmt.Fprint(conn, response(id, "right"))
				return
			}
			fmt.Fprint(conn, response(id, "right")+c.together)
			<-isIdle
			fmt.Fprint(conn, c.idle)
			close(sentIdle)
			if _, err := r.Peek(1); err != nil {
				return
			}
			fmt.Fprint(conn, c.written)
			if id, err = readRequest(r); err == nil {
				fmt.Fprint(conn, c.answer+response(id, "right"))
			}
		})
		p, log := NewPool(time.Now), &unexpectedLog{}
		p.OnUnexpected = log.add
		if body, err := doExchange(t, p, newOutgoing(address, "first")); err != nil || body != "right" {
			t.Fatalf("%s: first answer %q, error %v", name, body, err)
		}
		close(isIdle)
		<-sentIdle
		time.Sleep(20 * time.Millisecond) // The bytes are on their way to the client.
		body, err := doExchange(t, p, newOutgoing(address, "second"))
		if err != nil {
			body, err = doExchange(t, p, newOutgoing(address, "second"))
		}
		if err != nil || body != "right" {
			t.Errorf("%s: second answer %q, error %v", name, body, err)
		}
		if !slices.Equal(log.entries, c.want) {
			t.Errorf("%s: reported %q, want %q", name, log.entries, c.want)
		}
	}
}

// Guards against a second answer between the head and the body of the next one that goes unreported. Where the body has a length, nothing
// shows it before the body has ended: the first bytes count as the body, and the rest ends the connection. In chunks it is no chunk.
func TestSecondAnswerInsideNextOneIsReported(t *testing.T) {
	second := response("first", "wrong")
	for name, c := range map[string]struct {
		head, body string
		fails      bool
		want       string
	}{
		"with a length": {"HTTP/1.1 200 OK\r\nRequest-Id: second\r\nContent-Length: 5\r\n\r\n", "right", false, "trailingBytes second"},
		"in chunks":     {"HTTP/1.1 200 OK\r\nRequest-Id: second\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nright\r\n0\r\n\r\n", true, "malformed second"},
	} {
		address := rawServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err != nil {
				return
			}
			fmt.Fprint(conn, response("first", "right"))
			if _, err := readRequest(r); err == nil {
				fmt.Fprint(conn, c.head+second+c.body)
				_, _ = r.ReadByte() // Waits until the connection ends.
			}
		})
		p, log := NewPool(time.Now), &unexpectedLog{}
		p.OnUnexpected = log.add
		if _, err := doExchange(t, p, newOutgoing(address, "first")); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_, err := doExchange(t, p, newOutgoing(address, "second"))
		if (err != nil) != c.fails || !slices.Equal(log.entries, []string{c.want}) {
			t.Errorf("%s: error %v, reported %q, want %q", name, err, log.entries, c.want)
		}
		if p.Stats().Discarded != 1 {
			t.Errorf("%s: the connection stays open", name)
		}
	}
}

// Guards against an ended or cut connection that is reported as one with wrong bytes.
func TestBrokenConnectionsAreNotUnexpected(t *testing.T) {
	for name, sent := range map[string]string{
		"no answer": "", "cut in the head": "HTTP/1.1 200 OK\r\nReq", "cut in the body": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\nhalf",
		"cut in a chunk": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"ends in time":   response("a", "whole"),
	} {
		address := rawServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				fmt.Fprint(conn, sent)
			}
		})
		p, log := NewPool(time.Now), &unexpectedLog{}
		p.OnUnexpected = log.add
		_, _ = doExchange(t, p, newOutgoing(address, "a"))
		time.Sleep(20 * time.Millisecond)
		_, _ = doExchange(t, p, newOutgoing(address, "a"))
		if len(log.entries) > 0 {
			t.Errorf("%s: reported %q", name, log.entries)
		}
	}
}

// Guards against paths on which an id is sent more than once over one connection: a late second answer to the first attempt would
// be taken for that to the second one.
func TestNoPathSendsAnIDTwiceOverOneConnection(t *testing.T) {
	probe := func(address string) *Request {
		return &Request{Address: address, Method: http.MethodGet, Target: "/health", Host: "h"}
	}
	resumed := func(address string) *Request {
		o := newOutgoing(address, "a")
		o.Header.Set("Last-Event-Id", "3")
		return o
	}
	caller := func(address string) *Request { return newOutgoing(address, "a") }
	failure := "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 0\r\n\r\n"
	misdirected := "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n"
	success := "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		first, second func(address string) *Request
		answer        string
	}{
		"retry after a failure":             {caller, caller, failure},
		"retry after a misdirected request": {caller, caller, misdirected},
		"stream that goes on":               {caller, resumed, success},
		"caller that sends an id twice":     {caller, caller, success},
		"probes, which have no id":          {probe, probe, success},
	} {
		conns := make(chan int, 4)
		address := rawServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
			for {
				id, err := readRequest(r)
				if err != nil {
					return
				}
				conns <- n
				field := ""
				if id != "" {
					field = HeaderRequestID + ": " + id + "\r\n"
				}
				fmt.Fprintf(conn, c.answer, field)
			}
		})
		p := NewPool(time.Now)
		for _, request := range []func(string) *Request{c.first, c.second} {
			a, err := p.Do(t.Context(), request(address))
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			_, _ = io.Copy(io.Discard, a)
			a.Close()
		}
		if first, second := <-conns, <-conns; first == second {
			t.Errorf("%s: both were sent over one connection", name)
		}
	}
}

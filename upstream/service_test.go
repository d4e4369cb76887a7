package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against interim responses of a plain service that reach the caller as its answer.
func TestInterimResponsesOfServiceAreSkipped(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
	address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			fmt.Fprint(c, interim+response("1", "right"))
		}
	})
	call := ServiceRequest{RequestID: "1", Method: "POST", Path: "/", Body: []byte("x")}
	resp, f := New("credential").CallOnce(t.Context(), address, call, func() bool { return true })
	if f != nil || resp.Status != 200 || string(resp.Body) != "right" {
		t.Errorf("answer %d %q, failure %v, want the final response", resp.Status, resp.Body, f)
	}
}

// Guards against a cut response that is taken for a complete one because its service was killed: without a length, it ends with its connection.
func TestResponseOfKilledServiceIsBroken(t *testing.T) {
	for name, killed := range map[string]bool{"killed": true, "running": false} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = readRequest(bufio.NewReader(c))
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\npart")
			if killed {
				_ = l.Close()
			}
			_ = c.Close()
		}()
		call := ServiceRequest{RequestID: "1", Method: "POST", Path: "/"}
		resp, f := New("credential").CallOnce(t.Context(), l.Addr().String(), call, func() bool { return true })
		if broken := f != nil && f.Kind == Broken; broken != killed || !killed && string(resp.Body) != "part" {
			t.Errorf("%s: answer %d %q, failure %v", name, resp.Status, resp.Body, f)
		}
	}
}

// Guards against a part of a response that is taken for a complete one: the service sends it without a length, ends it and resets the connection, since
// it has not read the request. A refusal needs no more of the request.
func TestResponseOfServiceBeforeResetIsBroken(t *testing.T) {
	const short, long = 16 << 10, 8 << 20
	for name, c := range map[string]struct {
		status string
		// bodyBytes is the length of the request's body, and unread the part of it that the service leaves. All of a short body has been written once
		// a single byte is left.
		bodyBytes, unread int64
		broken            bool
	}{
		"success, body in the buffers":      {"200 OK", short, 1, true},
		"success, body being written":       {"200 OK", long, long, true},
		"success, body read":                {"200 OK", short, 0, false},
		"refusal, body in the buffers":      {"413 Content Too Large", short, 1, false},
		"success of a request without body": {"200 OK", 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			address := rawServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, req.Body, c.bodyBytes-c.unread)
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\n\r\npart", c.status)
				_ = conn.(*net.TCPConn).CloseWrite()
				if c.unread > 0 {
					_ = conn.(*net.TCPConn).SetLinger(0) // The close resets the connection.
				}
			})
			call := ServiceRequest{RequestID: "1", Method: "POST", Path: "/", Body: make([]byte, c.bodyBytes)}
			client := New("credential")
			client.resetWait = 300 * time.Millisecond // The reset may be late on a busy machine.
			resp, f := client.CallOnce(t.Context(), address, call, func() bool { return true })
			if broken := f != nil && f.Kind == Broken; broken != c.broken || !c.broken && string(resp.Body) != "part" {
				t.Errorf("answer %d %q, failure %v", resp.Status, resp.Body, f)
			}
		})
	}
}

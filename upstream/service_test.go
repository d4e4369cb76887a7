package upstream

import (
	"bufio"
	"fmt"
	"net"
	"testing"
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

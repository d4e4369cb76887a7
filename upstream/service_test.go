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

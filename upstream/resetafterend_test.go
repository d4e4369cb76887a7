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

// Guards against a reset behind the end of an answer without a length that goes unnoticed: the upstream has not read the whole request, so that its
// answer was cut off. The read has seen a regular end before.
func TestResetAfterEndIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		bodyBytes int
		// readsAll makes the upstream read the request before it ends the connection.
		readsAll bool
	}{
		"body in the buffers":        {8 << 10, false},
		"body that is being written": {8 << 20, false},
		"body in the buffers, read":  {8 << 10, true},
		"long body, read":            {1 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			address := rawServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if c.readsAll {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\npart")
				_ = conn.(*net.TCPConn).CloseWrite()
				if !c.readsAll {
					_ = conn.(*net.TCPConn).SetLinger(0) // The close resets the connection.
				}
			})
			o := newOutgoing(address, "1")
			o.Body = make([]byte, c.bodyBytes)
			a, err := NewPool(time.Now).Do(t.Context(), o)
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if body, err := io.ReadAll(a); err != nil || string(body) != "part" {
				t.Fatalf("body %q, error %v", body, err)
			}
			noticed := a.WasResetAfterEnd()
			for deadline := time.Now().Add(patience); !noticed && !c.readsAll && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				noticed = a.WasResetAfterEnd()
			}
			if noticed == c.readsAll {
				t.Errorf("reset noticed: %v", noticed)
			}
		})
	}
}

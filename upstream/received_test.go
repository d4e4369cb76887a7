package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an answer that counts as received while a part of it is still to come, and against one that counts as incomplete because the
// VM has not read it yet.
func TestIsReceived(t *testing.T) {
	const length, read = 8 << 10, 1 << 10
	for name, c := range map[string]struct {
		framing string
		sent    int
		want    bool
	}{
		"complete":         {fmt.Sprintf("Content-Length: %d", length), length, true},
		"short of a byte":  {fmt.Sprintf("Content-Length: %d", length), length - 1, false},
		"without a length": {"Connection: close", length, false},
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			address := rawServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				id, err := readRequest(r)
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n\r\n%s", HeaderRequestID, id, c.framing, strings.Repeat("x", c.sent))
				<-done
			})
			defer close(done)
			a, err := NewPool(time.Now).Do(t.Context(), &Request{
				Address: address, ID: "r", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{HeaderRequestID: {"r"}},
			})
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			if _, err := a.Read(make([]byte, read)); err != nil {
				t.Fatal(err)
			}
			for int64(a.conn.reader.Buffered())+a.conn.unreadBytes()+a.readBytes < int64(c.sent) {
				time.Sleep(time.Millisecond)
			}
			if got := a.IsReceived(); got != c.want {
				t.Errorf("IsReceived is %v, want %v", got, c.want)
			}
		})
	}
}

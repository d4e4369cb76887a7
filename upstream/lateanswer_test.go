package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a late second answer to one attempt of a request that is taken for the answer to a later attempt of it: both have
// the id of the request. The second answer is written when the connection carries its next request.
func TestLateAnswerIsNoAnswerToLaterAttempt(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: same\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	for name, late := range map[string]string{
		"success":     response("same", "wrong"),
		"refusal":     refusal,
		"cut short":   "HTTP/1.1 200 OK\r\nRequest-Id: same\r\nContent-Length: 100\r\n\r\nwrong",
		"inside head": "HTTP/1.1 200 OK\r\nRequest-Id: same\r\nContent-Len",
	} {
		for _, first := range []string{"HTTP/1.1 500 Internal Server Error\r\nRequest-Id: same\r\nContent-Length: 6\r\n\r\nfailed", refusal} {
			for _, limit := range []int{0, 1} {
				address := rawServer(t, func(n int, c net.Conn, r *bufio.Reader) {
					for request := 0; ; request++ {
						id, err := readRequest(r)
						switch {
						case err != nil:
							return
						case n == 0 && request == 0:
							fmt.Fprint(c, first)
						case n == 0:
							fmt.Fprint(c, late+response(id, "right"))
						default:
							fmt.Fprint(c, response(id, "right"))
						}
					}
				})
				p := NewPool(time.Now)
				for attempt, want := range []int{0, http.StatusOK, http.StatusOK} {
					o := newOutgoing(address, "same")
					o.MaxConnections = limit
					ctx, cancel := context.WithTimeout(t.Context(), time.Second)
					defer cancel()
					a, err := p.Do(ctx, o)
					if err != nil {
						t.Fatalf("%s, limit %d, attempt %d: %v", name, limit, attempt, err)
					}
					body, err := io.ReadAll(a)
					a.Close()
					if want != 0 && (err != nil || a.Status != want || string(body) != "right") {
						t.Errorf("%s, limit %d, attempt %d: answer %d %q, error %v", name, limit, attempt, a.Status, body, err)
					}
				}
			}
		}
	}
}

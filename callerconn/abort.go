package callerconn

import (
	"net"
	"net/http"
)

// Abort ends an answer that is not complete, so that its caller sees that. It panics with http.ErrAbortHandler, or returns after it has reset the
// connection of a caller that uses HTTP/1.0: such a caller takes the regular end of its connection for the end of a complete answer.
func Abort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	inner := conn
	if c, ok := conn.(*Conn); ok {
		inner = c.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

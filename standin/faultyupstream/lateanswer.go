package faultyupstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin/workload"
)

// LateTime is the time at which an upstream sends a second response to a request.
type LateTime int

// Times of second responses.
const (
	// LateWhileIdle is after the first response, while the connection is idle.
	LateWhileIdle LateTime = iota
	// LateWhileSent is when the first bytes of the next request on the connection arrive.
	LateWhileSent
	// LateBeforeAnswer is immediately before the response to the next request.
	LateBeforeAnswer
	LateTimes
)

// lateIdleDelay is the time from a response to the second one on an idle connection.
const lateIdleDelay = 5 * time.Millisecond

// lateForms are the forms of a second response to the request with an id.
var lateForms = []func(id string) string{
	func(id string) string {
		return head("200 OK", id, "Server-Stamp: stamp-"+id) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(workload.ResponseBody(id)), workload.ResponseBody(id))
	},
	func(id string) string {
		return head("503 Service Unavailable", id, platform.HeaderNotExecuted+": 1") + "Content-Length: 0\r\n\r\n"
	},
	func(id string) string {
		return head("200 OK", id, "Server-Stamp: stamp-"+id) + "Content-Length: 5\r\n\r\nwrong"
	},
	func(id string) string {
		return head("200 OK", id, "Server-Stamp: stamp-"+id) + "Content-Length: 100\r\n\r\nwrong"
	},
}

func head(status, id, field string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s\r\n", status, platform.HeaderRequestID, id, field)
}

// lateConn is a connection of an upstream that may send a second response to a request.
type lateConn struct {
	net.Conn

	mu   sync.Mutex
	late string
	when LateTime
	// next means that bytes of the next request have arrived, and idle that a response has been written to its end since.
	next, idle bool
}

// Read reads from the connection.
func (c *lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.next, c.idle = true, false
		if c.when == LateWhileSent {
			c.writeLate()
		}
	}
	return n, err
}

// Write writes to the connection, after the second response if it is due.
func (c *lateConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDue()
	return c.Conn.Write(b)
}

// writeDue writes the second response that is due before the response to the next request. The caller holds mu.
func (c *lateConn) writeDue() {
	if c.next && c.when == LateBeforeAnswer {
		c.writeLate()
	}
}

// writeLate writes the second response, if there is one. The caller holds mu.
func (c *lateConn) writeLate() {
	if c.late != "" {
		_, _ = c.Conn.Write([]byte(c.late)) // The VM may have closed the connection.
		c.late = ""
	}
}

// sendLater plans a second response to the request that is being served.
func (c *lateConn) sendLater(late string, when LateTime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDue()
	c.late, c.when, c.next, c.idle = late, when, false, false
}

// watchIdle plans the second response on a connection that becomes idle: its response has been written to its end.
func watchIdle(c net.Conn, state http.ConnState) {
	late, ok := c.(*lateConn)
	if !ok || state != http.StateIdle {
		return
	}
	late.mu.Lock()
	defer late.mu.Unlock()
	late.idle = true
	if late.when == LateWhileIdle && late.late != "" {
		time.AfterFunc(lateIdleDelay, late.writeIdle)
	}
}

// writeIdle writes the second response unless the connection carries another request. The timer may be that of an earlier response.
func (c *lateConn) writeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.when == LateWhileIdle {
		c.writeLate()
	}
}

// lateListener accepts connections of type lateConn.
type lateListener struct{ net.Listener }

// Accept accepts a connection.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c}, nil
}

type lateConnKey struct{}

// withLateConn adds a connection to the context of its requests.
func withLateConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, lateConnKey{}, c)
}

// planLateAnswer plans a second response to a request if the fault acts.
func (u *Upstream) planLateAnswer(ctx context.Context, id string) {
	variant := u.Late.Load()
	if variant == 0 {
		return
	}
	c, ok := ctx.Value(lateConnKey{}).(*lateConn)
	if !ok {
		return
	}
	form := lateForms[workload.HashOf(id, "form")%uint32(len(lateForms))]
	c.sendLater(form(id), LateTime(variant-1)%LateTimes)
}

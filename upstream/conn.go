package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream announces, so that no request
	// is sent while the upstream closes the connection.
	idleTimeoutMargin = time.Second
	// defaultIdleTimeout is the idle timeout of a connection whose upstream announces none.
	defaultIdleTimeout = 4 * time.Second
)

// conn is a connection to an upstream that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reused means that the connection has carried an earlier request.
	reused bool
	// idleUntil is the end of the idle timeout, after which the connection must not be reused.
	idleUntil time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferBytes)}
}

// isIdle reports whether the upstream has neither sent data nor closed the connection since the last response.
// It peeks at the socket without consuming data or blocking.
func (c *conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	isIdle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isIdle = err == syscall.EAGAIN
		return true
	})
	return err == nil && isIdle
}

// idleTimeout returns how long the connection may stay idle according to the headers of a response. It reports
// false if the connection must not be reused.
func idleTimeout(h http.Header) (time.Duration, bool) {
	for _, v := range h.Values("Connection") {
		if strings.EqualFold(strings.TrimSpace(v), "close") {
			return 0, false
		}
	}
	for item := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(item), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(seconds)
		if err != nil || time.Duration(n)*time.Second <= idleTimeoutMargin {
			return 0, false
		}
		return time.Duration(n)*time.Second - idleTimeoutMargin, true
	}
	return defaultIdleTimeout, true
}

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
	// idleMargin is taken off the idle timeout that an upstream announces, so that no request is sent
	// while the upstream closes the connection.
	idleMargin = time.Second
	// defaultIdle is the longest idle time of a connection whose upstream announces none.
	defaultIdle = 4 * time.Second
)

// conn is a connection to one upstream, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// reused says that the connection has carried a request before.
	reused bool
	// idleUntil is the latest time at which a kept connection may be used again.
	idleUntil time.Time
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// quiet reports whether the upstream has neither sent anything nor closed the connection since the last
// answer. It reads nothing and does not wait.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// idleTime reads how long the upstream keeps the connection, as its answer says. It reports false if the
// connection must not be used again.
func idleTime(h http.Header) (time.Duration, bool) {
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
		if err != nil || time.Duration(n)*time.Second <= idleMargin {
			return 0, false
		}
		return time.Duration(n)*time.Second - idleMargin, true
	}
	return defaultIdle, true
}

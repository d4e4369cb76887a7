package upstream

import (
	"bufio"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxHeadBytes bounds the heads of all responses that are read for one request, in bytes.
	maxHeadBytes = 64 << 10
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream announces, so that no request
	// is sent while the upstream closes the connection.
	idleTimeoutMargin = time.Second
	// defaultIdleTimeout is the idle timeout of a connection whose upstream announces none.
	defaultIdleTimeout = 4 * time.Second
)

// headLimiter bounds the bytes that are read from a connection while response heads are parsed. The parser itself has no
// limit, so that a head without end would fill the memory.
type headLimiter struct {
	net.Conn
	limited   bool
	remaining int
}

// Read reads from the connection, or fails with a *LimitError once the limit is reached.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(b)
	}
	if l.remaining <= 0 {
		return 0, &LimitError{Limit: LimitHead, MaxBytes: maxHeadBytes}
	}
	n, err := l.Conn.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// limit bounds the bytes that are read until unlimit by maxHeadBytes.
func (l *headLimiter) limit() { l.limited, l.remaining = true, maxHeadBytes }

func (l *headLimiter) unlimit() { l.limited = false }

// recordingConn is a connection that reports when something was read from it.
type recordingConn struct {
	net.Conn
	now    func() time.Time
	onRead func(at time.Time)
	// lastReadAt is the time at which something was last read, in nanoseconds, zero before.
	lastReadAt atomic.Int64
	// ended means that a read has failed.
	ended atomic.Bool
}

// Read reads from the connection.
func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		at := c.now()
		c.lastReadAt.Store(at.UnixNano())
		c.onRead(at)
	}
	if err != nil && !IsTimeout(err) {
		c.ended.Store(true)
	}
	return n, err
}

// patientConn is a connection whose reads may go on after their deadline. The parser of a body keeps a read error, so that
// a read that has failed cannot be repeated above it.
type patientConn struct {
	net.Conn
	// extend returns the next deadline of a read whose deadline has passed, or zero to let the read fail. Nil lets it fail.
	extend func() time.Time
}

// Read reads from the connection until the last deadline has passed.
func (c *patientConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || c.extend == nil || !IsTimeout(err) {
			return n, err
		}
		at := c.extend()
		if at.IsZero() {
			return n, err
		}
		if deadlineErr := c.SetReadDeadline(at); deadlineErr != nil {
			return n, deadlineErr
		}
	}
}

// conn is a connection to an upstream that carries one request at a time.
type conn struct {
	net.Conn
	patient *patientConn
	// recording is what patient reads from.
	recording *recordingConn
	limiter   *headLimiter
	reader    *bufio.Reader
	// carried holds the ids of the latest requests.
	carried idHistory
	// openedAt is the time at which the connection was opened.
	openedAt time.Time
	// reused means that the connection has carried an earlier request.
	reused bool
	// idleUntil is the end of the idle timeout, after which the connection must not be reused.
	idleUntil time.Time
}

// idHistoryLength is the number of requests whose ids a connection remembers.
const idHistoryLength = 64

// idHistory holds hashes of the ids of the latest requests of a connection, the oldest of which are overwritten.
type idHistory struct {
	hashes [idHistoryLength]uint64
	count  int
}

func (h *idHistory) add(id string) {
	h.hashes[h.count%idHistoryLength] = maphash.String(idSeed, id)
	h.count++
}

func (h *idHistory) contains(id string) bool {
	return slices.Contains(h.hashes[:min(h.count, idHistoryLength)], maphash.String(idSeed, id))
}

var idSeed = maphash.MakeSeed()

// newConn returns a connection. onRead is called whenever something was read from it.
func newConn(c net.Conn, now func() time.Time, onRead func(at time.Time)) *conn {
	recording := &recordingConn{Conn: c, now: now, onRead: onRead}
	patient := &patientConn{Conn: recording}
	limiter := &headLimiter{Conn: patient}
	return &conn{
		Conn: c, patient: patient, recording: recording, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes),
		openedAt: now(),
	}
}

// hasReadSince reports whether no read from the connection has failed, and something was read since a time unless that is zero.
func (c *conn) hasReadSince(at time.Time) bool {
	return !c.recording.ended.Load() && (at.IsZero() || c.recording.lastReadAt.Load() >= at.UnixNano())
}

// abort closes the connection with a reset, so that what has not reached the upstream yet does not reach it later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// idleState reports whether the upstream has neither sent data nor closed the connection since the last response, and whether
// it has sent data. It peeks at the socket without consuming data or blocking.
func (c *conn) idleState() (idle, unread bool) {
	if c.reader.Buffered() > 0 {
		return false, true
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true, false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle, unread = err == syscall.EAGAIN, err == nil && n > 0
		return true
	})
	return err == nil && idle, unread
}

// staysOpen waits up to the given time for the upstream to end the connection, and reports whether it has not. It consumes no data.
func (c *conn) staysOpen(wait time.Duration) bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil || c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return false
	}
	received := 0
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		received = n
		return err != syscall.EAGAIN
	})
	if c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	if IsTimeout(err) { // The read may not have looked, if this process was paused.
		idle, unread := c.idleState()
		return idle || unread
	}
	return err == nil && received > 0
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

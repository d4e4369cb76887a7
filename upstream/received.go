package upstream

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsReceived reports whether the rest of the body has arrived, so that the upstream has nothing left to send. It reports false if the length of
// the body is not known. It must not be called while another goroutine reads.
func (a *Response) IsReceived() bool {
	if a.Length < 0 {
		return false
	}
	missing := a.Length - a.readBytes - int64(a.conn.reader.Buffered())
	return missing <= 0 || a.conn.unreadBytes() >= missing
}

// unreadBytes returns the number of bytes that have arrived at the socket and were not read from it, zero if it is not known.
func (c *conn) unreadBytes() int64 {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	controlErr := raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err != nil || controlErr != nil { // The connection has been closed.
		return 0
	}
	return int64(unread)
}

// WasResetAfterEnd reports whether the upstream has reset the connection after the end of a body without a length. It does so if it ends before it has
// read the whole request, or because of what arrives after that. It must not be called before Read has returned io.EOF.
func (a *Response) WasResetAfterEnd() bool {
	return errors.Is(a.write.err, syscall.EPIPE) || wasReset(a.conn.Conn)
}

// wasReset reports whether the kernel holds an error of a connection, which it reports once. A reset that follows a FIN does not show in a read.
func wasReset(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	code := 0
	controlErr := raw.Control(func(fd uintptr) { code, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	return controlErr == nil && err == nil && code != 0
}

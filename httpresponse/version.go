package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
)

// ErrVersion means that a response has another version than HTTP/1.x, or one in which it cannot be encoded in chunks as it says.
var ErrVersion = errors.New("invalid version")

const version10 = "HTTP/1.0 "

// checkVersion returns ErrVersion unless the version of a parsed response is that of its connection.
func checkVersion(resp *http.Response) error {
	if resp.ProtoMajor != 1 && resp.TLS == nil { // TLS may have agreed on HTTP/2.
		return fmt.Errorf("%w: %.16q", ErrVersion, resp.Proto)
	}
	return nil
}

// checkEncoding10 returns ErrVersion if the next response is one of HTTP/1.0 with chunks (RFC 9112, section 6.1). The parser of net/http drops the field
// that says so, and leaves the sizes of the chunks in the body. A head that does not fit in the buffer of the reader is not checked.
func checkEncoding10(r *bufio.Reader) error {
	if start, _ := r.Peek(len(version10)); string(start) != version10 {
		return nil
	}
	fields := bytes.ToLower(peekHead(r))
	if bytes.Contains(fields, []byte("\ntransfer-encoding:")) {
		return fmt.Errorf("%w: %q with a transfer encoding", ErrVersion, version10)
	}
	return nil
}

// peekHead returns the head of the next message without consuming it, as far as it arrives and fits in the buffer of the reader.
func peekHead(r *bufio.Reader) []byte {
	for {
		arrived, _ := r.Peek(r.Buffered())
		for _, end := range []string{"\n\r\n", "\n\n"} {
			if i := bytes.Index(arrived, []byte(end)); i >= 0 {
				return arrived[:i]
			}
		}
		if _, err := r.Peek(len(arrived) + 1); err != nil {
			return arrived
		}
	}
}

package rawanswer

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// BrokenHead is an answer whose head or trailer, or the head of an interim answer before it, breaks the protocol.
type BrokenHead struct {
	// Name says what is wrong.
	Name string
	text string
}

// BrokenHeads are answers that no reader may take for one. Nothing in them needs the end of the connection.
var BrokenHeads = []BrokenHead{
	{"status 000", "HTTP/1.1 000 Unknown\r\n{fields}{length}\r\n{body}"},
	{"status 000 without a body", "HTTP/1.1 000 \r\n{fields}Content-Length: 0\r\n\r\n"},
	{"status 000 whose body is an answer", "HTTP/1.1 000 Unknown\r\n{fields}\r\nHTTP/1.1 200 OK\r\n{fields}{length}\r\n{body}"},
	{"status 099", "HTTP/1.1 099 Unknown\r\n{fields}\r\nHTTP/1.1 200 OK\r\n{fields}{length}\r\n{body}"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n{fields}\r\nHTTP/1.1 200 OK\r\n{fields}{length}\r\n{body}"},
	{"status 600", "HTTP/1.1 600 Unknown\r\n{fields}{length}\r\n{body}"},
	{"status 999", "HTTP/1.1 999 Unknown\r\n{fields}{length}\r\n{body}"},
	{"unrequested switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n{fields}\r\nHTTP/1.1 200 OK\r\n{fields}{length}\r\n{body}"},
	{"version 0.9", "HTTP/0.9 200 OK\r\n{fields}{length}\r\n{body}"},
	{"version 2.0", "HTTP/2.0 200 OK\r\n{fields}{length}\r\n{body}"},
	{"blank in a name", "HTTP/1.1 200 OK\r\n{fields}X Field: 1\r\n{length}\r\n{body}"},
	{"blank behind a name", "HTTP/1.1 200 OK\r\n{fields}X-Field : 1\r\n{length}\r\n{body}"},
	{"blank behind the name of the length", "HTTP/1.1 200 OK\r\n{fields}Content-Length : 1\r\n\r\n{body}"},
	{"blank behind the name of the encoding", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding : chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{"blank before the first name", "HTTP/1.1 200 OK\r\n X-Field: 1\r\n{fields}{length}\r\n{body}"},
	{"tab in a name", "HTTP/1.1 200 OK\r\n{fields}X\tField: 1\r\n{length}\r\n{body}"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\n{fields}X\x01Field: 1\r\n{length}\r\n{body}"},
	{"carriage return in a name", "HTTP/1.1 200 OK\r\n{fields}X\rField: 1\r\n{length}\r\n{body}"},
	{"zero byte behind a name", "HTTP/1.1 200 OK\r\n{fields}X-Field\x00: 1\r\n{length}\r\n{body}"},
	{"byte above ASCII in a name", "HTTP/1.1 200 OK\r\n{fields}X-F\xe9ld: 1\r\n{length}\r\n{body}"},
	{"no name", "HTTP/1.1 200 OK\r\n{fields}: 1\r\n{length}\r\n{body}"},
}

// BrokenTrailers are answers whose head and body are sound, and whose trailer breaks the protocol.
var BrokenTrailers = []BrokenHead{
	{"blank in a name of a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\nX Field: 1\r\n\r\n"},
	{"control byte in a name of a trailer", "HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\nX\x01Field: 1\r\n\r\n"},
}

// HiddenBrokenHeads are answers whose fault the client of net/http hides: it drops interim answers, and the encoding of HTTP/1.0.
var HiddenBrokenHeads = []BrokenHead{
	{"blank in a name of an interim answer", "HTTP/1.1 103 Early Hints\r\nX Field: 1\r\n\r\nHTTP/1.1 200 OK\r\n{fields}{length}\r\n{body}"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"},
	{"chunks and a length in HTTP/1.0", "HTTP/1.0 200 OK\r\n{fields}{length}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"},
}

// Bytes returns the answer with header lines, each with its line end, and a body.
func (h BrokenHead) Bytes(fields, body string) string {
	return strings.NewReplacer("{fields}", fields, "{length}", lengthField(body), "{chunks}", chunk(body), "{body}", body).Replace(h.text)
}

// Serve answers a request with header lines and a body, and returns when the client has closed the connection.
func (h BrokenHead) Serve(w http.ResponseWriter, fields, body string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return // The client has closed the connection.
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, h.Bytes(fields, body)) // Fails only then, too.
	_, _ = io.Copy(io.Discard, conn)
}

// lengthField returns the header line that states the length of a body.
func lengthField(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// chunk returns the body as one chunk.
func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

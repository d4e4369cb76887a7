package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a request of a client.
type call struct {
	method, host, path, key string
	body                    []byte
	deadline                time.Duration
}

// unsafeCall returns a request that may run once only.
func unsafeCall(body string) call {
	return call{method: http.MethodPost, host: host, path: unsafePath, key: apiKey, body: []byte(body), deadline: 2 * time.Second}
}

// reply is what a client has got.
type reply struct {
	id             string
	machine        *machine
	sentAt, readAt time.Time
	// status is zero if no answer has come.
	status int
	header http.Header
	body   []byte
	err    error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new channel and reads the answer.
func send(m *machine, c call) reply {
	r := reply{id: newID(), machine: m, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		r.err, r.readAt = err, time.Now()
		return r
	}
	defer conn.Close()
	r.exchange(conn, bufio.NewReader(conn), c)
	return r
}

// exchange sends a request on a channel and reads the answer.
func (r *reply) exchange(conn net.Conn, from *bufio.Reader, c call) {
	_ = conn.SetDeadline(time.Now().Add(c.deadline + time.Second))
	r.sentAt = time.Now()
	if _, r.err = conn.Write(c.encode(r.id)); r.err == nil {
		var resp *http.Response
		if resp, r.err = http.ReadResponse(from, &http.Request{Method: c.method}); r.err == nil {
			r.status, r.header = resp.StatusCode, resp.Header
			r.body, r.err = io.ReadAll(resp.Body)
		}
	}
	r.readAt = time.Now()
}

// encode returns the request in wire format.
func (c call) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n", c.method, c.path, c.host, id, c.deadline.Milliseconds(), c.key)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(c.body))
	b.Write(c.body)
	return b.Bytes()
}

// String describes a reply in the record.
func (r *reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("request %s at %s: no answer: %v", r.id, r.machine.name, r.err)
	}
	text := strings.TrimSpace(string(r.body[:min(len(r.body), 120)]))
	return fmt.Sprintf("request %s at %s: %d, stamp %q, %q, error %v", r.id, r.machine.name, r.status, r.header.Get("Server-Stamp"), text, r.err)
}

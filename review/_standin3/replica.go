package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replicaSettings configure the stand-in of a replica, which runs as a process of its own.
type replicaSettings struct {
	id, address, log string
	// pieces is the number of pieces of an answer, and gap the time before each.
	pieces int
	gap    time.Duration
	// unsized means that answers have no length and end with their channel.
	unsized bool
	// prefix begins each piece; it tells the answers of services apart.
	prefix string
}

// replica answers requests and writes a line for each event of a run to its log.
type replica struct {
	replicaSettings
	mu  sync.Mutex
	out *os.File
}

func runReplica(args []string) int {
	var s replicaSettings
	fs := flag.NewFlagSet("replica", flag.ContinueOnError)
	fs.StringVar(&s.id, "id", "", "id of the replica")
	fs.StringVar(&s.address, "address", "", "IP:port")
	fs.StringVar(&s.log, "log", "", "file for the record of runs")
	fs.IntVar(&s.pieces, "pieces", 1, "pieces of an answer")
	fs.DurationVar(&s.gap, "gap", 20*time.Millisecond, "time before each piece")
	fs.BoolVar(&s.unsized, "unsized", false, "answers have no length")
	fs.StringVar(&s.prefix, "prefix", "", "beginning of each piece")
	if fs.Parse(args) != nil {
		return 2
	}
	out, err := os.OpenFile(s.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &replica{replicaSettings: s, out: out}
	for {
		c, err := l.Accept()
		if err != nil {
			return 2
		}
		go r.runConn(c)
	}
}

func (r *replica) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%s replica %s: %s\n", stamp(time.Now()), r.id, fmt.Sprintf(format, args...))
}

// runConn serves the requests of a channel in turn.
func (r *replica) runConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.serve(c, req) {
			return
		}
	}
}

// serve answers a request and reports whether the channel is kept.
func (r *replica) serve(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	target := req.Header.Get("Target-Instance")
	switch {
	case req.URL.Path == "/health":
		return send(c, "200 OK", "Instance-Id: "+r.id+"\r\n", "")
	case id == "":
		return send(c, "400 Bad Request", "Not-Executed: 1\r\n", "no id")
	case target != "" && target != r.id:
		return send(c, "421 Misdirected Request", "Request-Id: "+id+"\r\nNot-Executed: 1\r\n", "not me")
	}
	r.note("runs request %s %s %s of tenant %q, Last-Event-Id %q", id, req.Method, req.RequestURI, req.Header.Get("Tenant"), req.Header.Get("Last-Event-Id"))
	stream := strings.Contains(req.URL.Path, "/stream")
	head := "Request-Id: " + id + "\r\nServer-Stamp: " + r.id + "." + id + "\r\n"
	if stream {
		head += "Content-Type: text/event-stream\r\n"
	}
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if !r.unsized && stream {
		return r.sendChunks(c, head, id, after)
	}
	if !r.unsized {
		time.Sleep(r.gap * time.Duration(r.pieces))
		r.note("ends request %s", id)
		return send(c, "200 OK", head, wholeBody(r.prefix, id, r.pieces, stream))
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n", head); err != nil {
		return false
	}
	for n := after + 1; n <= r.pieces; n++ {
		time.Sleep(r.gap)
		if _, err := io.WriteString(c, piece(r.prefix, id, n, r.pieces, stream)); err != nil {
			r.note("request %s: the channel was closed before piece %d", id, n)
			return false
		}
	}
	r.note("ends request %s", id)
	return false
}

// sendChunks answers with a stream in chunks, after the event that the client has, and reports whether the channel is kept.
func (r *replica) sendChunks(c net.Conn, head, id string, after int) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	for n := after + 1; n <= r.pieces; n++ {
		time.Sleep(r.gap)
		text := piece(r.prefix, id, n, r.pieces, true)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			r.note("request %s: the channel was closed before piece %d", id, n)
			return false
		}
	}
	r.note("ends request %s", id)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// send writes an answer with a length.
func send(c net.Conn, status, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}

// piece returns the piece with a number of an answer.
func piece(prefix, id string, n, of int, stream bool) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: %spiece %d of %d for %s\n\n", n, prefix, n, of, id)
	}
	return fmt.Sprintf("%spiece %d of %d for %s\n", prefix, n, of, id)
}

// wholeBody returns the whole body of an answer.
func wholeBody(prefix, id string, of int, stream bool) string {
	var b strings.Builder
	for n := 1; n <= of; n++ {
		b.WriteString(piece(prefix, id, n, of, stream))
	}
	return b.String()
}

// stamp returns a time as it is written to records.
func stamp(t time.Time) string { return t.Format("15:04:05.000") }

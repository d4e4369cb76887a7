package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// inlineBytes is the longest request that is written before the answer is read. A longer one is
	// written at the same time, since an upstream may answer before it has read all of it.
	inlineBytes = 4 << 10
	// maxForeignAnswers bounds the answers to other requests that are skipped on one connection.
	maxForeignAnswers = 3
	// maxForeignBytes bounds the body of a skipped answer, in bytes.
	maxForeignBytes = 256 << 10
)

// errForeign says that the answers on a connection belong to other requests.
var errForeign = errors.New("answer belongs to another request")

// HeaderRequestID identifies a request towards upstreams; they repeat it in the answer.
const HeaderRequestID = "Request-Id"

// Outgoing is a request to an upstream. Method, target and body are sent as they are.
type Outgoing struct {
	Address string
	// Connections is the most connections to the address that this VM may hold; zero means no limit.
	Connections int
	ID          string
	Method      string
	// Target is the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Answer is the answer of an upstream. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Framed says that the answer states where it ends. Otherwise it ends with its connection.
	Framed bool

	pool     *Pool
	address  string
	conn     *conn
	body     io.ReadCloser
	whole    bool
	written  <-chan error
	stop     func() bool
	released bool
}

// Do sends a request and reads the head of its answer. When ctx ends, the connection is closed, which
// cancels the request at the upstream. The error is a *Failure.
func (p *Pool) Do(ctx context.Context, o *Outgoing) (*Answer, error) {
	c, err := p.get(ctx, o.Address, o.Connections)
	if err != nil {
		return nil, &Failure{Kind: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		p.discard(o.Address, c)
		return nil, &Failure{Kind: NotSent, Err: ctx.Err()}
	}
	a := &Answer{pool: p, address: o.Address, conn: c, stop: stop}
	if err := a.exchange(o); err != nil {
		a.Close()
		return nil, sentFailure(ctx, err)
	}
	return a, nil
}

// sentFailure describes a failure after bytes of the request may have left.
func sentFailure(ctx context.Context, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return &Failure{Kind: Cancelled, Err: context.Cause(ctx)}
	case errors.Is(err, errForeign):
		return &Failure{Kind: Mismatched, Err: err}
	default:
		return &Failure{Kind: Broken, Err: err}
	}
}

func (a *Answer) exchange(o *Outgoing) error {
	a.written = a.send(o.encode())
	for range maxForeignAnswers {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: o.Method})
		if err != nil {
			return fmt.Errorf("read answer of upstream %s: %w", o.Address, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if resp.Header.Get(HeaderRequestID) == o.ID {
			a.take(resp)
			return nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBytes)); err != nil {
			return fmt.Errorf("skip answer to another request: %w", err)
		}
	}
	return errForeign
}

func (a *Answer) take(resp *http.Response) {
	a.Status = resp.StatusCode
	a.Header = resp.Header
	a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.body = resp.Body
}

// send writes the request, and returns where its result arrives.
func (a *Answer) send(data []byte) <-chan error {
	written := make(chan error, 1)
	if len(data) <= inlineBytes {
		_, err := a.conn.Write(data)
		written <- err
		return written
	}
	go func() {
		_, err := a.conn.Write(data)
		written <- err
	}()
	return written
}

// encode returns the request as it is sent.
func (o *Outgoing) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(o.Body) + 512)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", o.Method, o.Target, o.Host)
	_ = o.Header.Write(&b) // A buffer takes everything.
	if len(o.Body) > 0 || o.Method != http.MethodGet && o.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(o.Body))
	}
	b.WriteString("\r\n")
	b.Write(o.Body)
	return b.Bytes()
}

// Read reads the body. io.EOF means that it is whole; an answer that was cut gives another error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// SetReadDeadline bounds the wait for more of the body by a time on the steady clock.
func (a *Answer) SetReadDeadline(at time.Time) { _ = a.conn.SetReadDeadline(at) }

// Timeout reports whether an error of Read is the end of the wait.
func Timeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Close ends the answer. The connection is kept if the request was written and the answer read to its
// end; otherwise it is closed, which cancels the request at the upstream.
func (a *Answer) Close() {
	if a.released {
		return
	}
	a.released = true
	open := a.stop()
	idle, keep := idleTime(a.Header)
	if !open || !keep || !a.whole || !a.Framed || !a.sent() || a.conn.reader.Buffered() > 0 {
		a.pool.discard(a.address, a.conn)
		return
	}
	_ = a.conn.SetReadDeadline(time.Time{})
	a.pool.put(a.address, a.conn, idle)
}

// sent reports whether the whole request was written.
func (a *Answer) sent() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/httpresponse"
)

const (
	// maxReadResponses bounds the responses that are read for a request. Interim responses and responses to
	// other requests are skipped.
	maxReadResponses = 3
	// maxSkippedBodyBytes bounds the body of a skipped response, in bytes.
	maxSkippedBodyBytes = 32 << 10
	// headSizeHint is the initial capacity of the buffer for an encoded header section, in bytes. A small body is appended to it.
	headSizeHint = 1 << 10
	// drainTimeout bounds the wait for a body that is dropped. It normally arrives with its head.
	drainTimeout = 50 * time.Millisecond
)

// errResponseMismatch means that the responses on a connection belong to other requests.
var errResponseMismatch = errors.New("answer belongs to another request")

// HeaderRequestID carries the request id to upstreams, which return it in the response.
const HeaderRequestID = "Request-Id"

// Request is a request to an upstream. Method, target and body are sent unchanged.
type Request struct {
	Address string
	// MaxConnections is the maximum number of connections of this VM to the address. Zero means no limit.
	MaxConnections int
	ID             string
	Method         string
	// Target is the request target: the path with the query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// OnSend, if set, is called when a connection is established and the request is about to be sent.
	OnSend func()
}

// Response is the response of an upstream. It must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, negative if it is not known.
	Length int64
	// Framed means that the response is delimited by Content-Length or chunked encoding. Otherwise it ends
	// when the connection is closed.
	Framed bool
	// Reused means that the connection had carried an earlier request.
	Reused bool

	pool              *Pool
	address           string
	id                string
	conn              *conn
	body              io.ReadCloser
	readBytes         int64 // the number of bytes of the body that have been read
	complete          bool
	malformed         bool
	write             *requestWrite
	stopCloseOnCancel func() bool
	aborted           atomic.Bool
	// closeMu guards closed: once it is set, the connection may carry another request.
	closeMu sync.Mutex
	closed  bool
}

// Do sends a request and reads the status and headers of the response. When ctx ends, the connection is
// closed, which cancels the request at the upstream. The error is a *Failure.
func (p *Pool) Do(ctx context.Context, o *Request) (*Response, error) {
	c, err := p.acquire(ctx, o.Address, o.ID, o.MaxConnections)
	if err != nil {
		return nil, &Failure{Kind: NotSent, Err: err}
	}
	stopCloseOnCancel := context.AfterFunc(ctx, c.abort)
	if ctx.Err() != nil {
		p.discard(o.Address, c)
		return nil, &Failure{Kind: NotSent, Err: ctx.Err()}
	}
	if o.OnSend != nil {
		o.OnSend()
	}
	a := &Response{pool: p, address: o.Address, id: o.ID, conn: c, Reused: c.reused, stopCloseOnCancel: stopCloseOnCancel}
	if err := a.exchange(o); err != nil {
		a.Close()
		return nil, exchangeFailure(ctx, err)
	}
	return a, nil
}

// exchangeFailure classifies an error that occurred after bytes of the request may have been sent.
func exchangeFailure(ctx context.Context, err error) *Failure {
	switch {
	case ctx.Err() != nil:
		return &Failure{Kind: Cancelled, Err: context.Cause(ctx)}
	case errors.Is(err, errResponseMismatch):
		return &Failure{Kind: Mismatched, Err: err}
	default:
		return &Failure{Kind: Broken, Err: err}
	}
}

func (a *Response) exchange(o *Request) error {
	a.write = startWrite(a.conn, o.encodeHead(), o.Body)
	a.conn.limiter.limit()
	for range maxReadResponses {
		resp, err := httpresponse.Read(a.conn.reader, o.Method)
		if err == nil && hasTwoIDs(resp.Header) {
			err = errTwoIDs
		}
		if err != nil {
			return fmt.Errorf("read answer of upstream %s: %w", o.Address, a.checkMalformed(err))
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if resp.Header.Get(HeaderRequestID) == o.ID {
			a.conn.limiter.unlimit()
			a.setResponse(resp)
			return nil
		}
		a.reportUnexpected(SkippedResponse, nil)
		if err := skipBody(resp.Body); err != nil {
			return fmt.Errorf("skip answer to another request: %w", err)
		}
	}
	return errResponseMismatch
}

// errTwoIDs means that a response names several requests, so that it belongs to none.
var errTwoIDs = errors.New("two request ids")

func hasTwoIDs(h http.Header) bool {
	ids := h.Values(HeaderRequestID)
	return len(ids) > 0 && slices.ContainsFunc(ids[1:], func(id string) bool { return id != ids[0] })
}

// checkMalformed returns the error of a read. One because of what was read is an ErrMalformed, and is reported once.
func (a *Response) checkMalformed(err error) error {
	if !a.isMalformed(err) {
		return err
	}
	if !a.malformed {
		a.malformed = true
		a.reportUnexpected(Malformed, err)
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

func (a *Response) reportUnexpected(reason Unexpected, cause error) {
	a.pool.reportUnexpected(UnexpectedBytes{Address: a.address, RequestID: a.id, Reason: reason, Cause: cause})
}

// skipBody reads the body of a response to another request. A longer body than maxSkippedBodyBytes ends the connection:
// what follows would be parsed as the head of a response although it is the rest of the body.
func skipBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBodyBytes+1))
	if err != nil {
		return err
	}
	if n > maxSkippedBodyBytes {
		return fmt.Errorf("%w: %w", errResponseMismatch, &LimitError{Limit: LimitSkippedBody, MaxBytes: maxSkippedBodyBytes})
	}
	return nil
}

func (a *Response) setResponse(resp *http.Response) {
	a.Status = resp.StatusCode
	a.Header = resp.Header
	a.Length = resp.ContentLength
	a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.body = resp.Body
}

// encodeHead returns the request without its body in HTTP/1.1 wire format.
func (o *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(headSizeHint)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", o.Method, o.Target, o.Host)
	_ = o.Header.Write(&b) // Writes to a bytes.Buffer do not fail.
	if len(o.Body) > 0 || o.Method != http.MethodGet && o.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(o.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Read reads the body. io.EOF means that the body is complete; a truncated response returns another error.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	a.readBytes += int64(n)
	if errors.Is(err, io.EOF) && !a.Framed && a.write.wasReset() {
		err = errResetWhileSending
	}
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, a.checkMalformed(err)
}

// Drain reads and drops the rest of the body, so that the connection can be reused. A body that is longer than maxBytes or not
// complete within drainTimeout is left, and Close then closes the connection.
func (a *Response) Drain(maxBytes int64) {
	_ = a.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(a, maxBytes))
}

// SetReadDeadline sets the deadline for reading more of the body, as a monotonic clock time.
func (a *Response) SetReadDeadline(at time.Time) { _ = a.conn.SetReadDeadline(at) }

// OnReadTimeout sets the function that decides what happens when the read deadline passes: it returns the next deadline, or
// zero to let the read fail. It is called by the goroutine that reads.
func (a *Response) OnReadTimeout(extend func() time.Time) { a.conn.patient.extend = extend }

// Abort closes the connection, which cancels the request at the upstream and fails the current read. Unlike Close, it may be
// called while another goroutine reads; Close must still be called. It does not affect a connection that Close has released.
func (a *Response) Abort() {
	a.aborted.Store(true)
	a.closeMu.Lock()
	defer a.closeMu.Unlock()
	if !a.closed {
		a.conn.abort()
	}
}

// Aborted reports whether Abort was called.
func (a *Response) Aborted() bool { return a.aborted.Load() }

// IsTimeout reports whether Read failed because its deadline passed.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Close releases the connection. It is reused if the request was fully written and the response read to its
// end; otherwise it is closed, which cancels the request at the upstream.
func (a *Response) Close() {
	a.closeMu.Lock()
	defer a.closeMu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	open := a.stopCloseOnCancel()
	if a.complete && a.Framed && a.conn.reader.Buffered() > 0 {
		a.reportUnexpected(TrailingBytes, nil)
	}
	idle, keep := idleTimeout(a.Header)
	if !open || !keep || !a.complete || !a.Framed || !a.write.succeeded() || a.conn.reader.Buffered() > 0 {
		a.pool.discard(a.address, a.conn)
		return
	}
	_ = a.conn.SetReadDeadline(time.Time{})
	a.conn.patient.extend = nil
	a.pool.putIdle(a.address, a.conn, idle)
}

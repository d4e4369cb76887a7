package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"parsleyhatch/httpresponse"
)

// MaxServiceResponseBytes bounds the response body of a plain service, in bytes.
const MaxServiceResponseBytes = 1 << 20

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	RequestID string
	Method    string
	// Path starts with a slash and includes the query.
	Path           string
	Header         map[string]string
	IdempotencyKey string
	Body           []byte
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// unsized means that the body ended with its connection.
	unsized bool
}

// ErrSendNotConfirmed means that the caller's check just before sending returned false or the context ended.
var ErrSendNotConfirmed = errors.New("call withdrawn before it was sent")

// errTooManyInterim means that a service sent only interim responses.
var errTooManyInterim = errors.New("too many interim responses")

// CallOnce sends the request on a new connection and never retries it. Go's HTTP client is not used, since
// it retries a request that carries an Idempotency-Key when a connection breaks. confirmSend is called once
// the connection is open, just before the first byte is written; if it returns false, nothing is sent. A
// failure of kind NotSent guarantees that no byte of the request was or will be sent.
func (c *Client) CallOnce(ctx context.Context, address string, call ServiceRequest, confirmSend func() bool) (ServiceResponse, *Failure) {
	conn, err := c.DialFunc(ctx, "tcp", address)
	if err != nil {
		return ServiceResponse{}, &Failure{Kind: NotSent, Err: fmt.Errorf("connect to service: %w", err)}
	}
	defer func() { _ = conn.Close() }()
	req, err := c.serviceRequest(ctx, address, call)
	if err != nil {
		return ServiceResponse{}, &Failure{Kind: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if ctx.Err() != nil || !confirmSend() {
		return ServiceResponse{}, &Failure{Kind: NotSent, Err: ErrSendNotConfirmed}
	}
	resp, fail := roundTrip(conn, req)
	if fail == nil && resp.unsized {
		fail = c.checkUnsizedEnd(ctx, address, conn, mayBeUnread(&call, &resp))
	}
	if fail != nil {
		return ServiceResponse{}, fail
	}
	return resp, nil
}

const (
	// defaultResetWait is the time for which the connection of a response that has ended is watched for a reset, which follows within a round trip.
	defaultResetWait = 25 * time.Millisecond
	// resetCheckInterval is the interval at which the reset is looked for.
	resetCheckInterval = time.Millisecond
)

// mayBeUnread reports whether a response counts only if its service has read the whole request, which it may not have done. A refusal needs no more of
// it.
func mayBeUnread(call *ServiceRequest, resp *ServiceResponse) bool {
	return resp.Status < http.StatusMultipleChoices && len(call.Body) > maxSyncWriteBytes
}

// checkUnsizedEnd fails if a service that has sent a response without a length accepts no connection any more: the connection of a process that is
// killed ends like that of a complete response. If the request may be unread, it also fails if a reset of the connection follows.
func (c *Client) checkUnsizedEnd(ctx context.Context, address string, ended net.Conn, mayBeUnread bool) *Failure {
	conn, err := c.DialFunc(ctx, "tcp", address)
	if err != nil {
		return &Failure{Kind: Broken, Err: fmt.Errorf("service has ended with its response, which has no length: %w", err)}
	}
	_ = conn.Close()
	if mayBeUnread && c.isResetSoon(ended) {
		return &Failure{Kind: Broken, Err: errResetAfterEnd}
	}
	return nil
}

// errResetAfterEnd means that the reset of a connection followed the end of a response without a length.
var errResetAfterEnd = errors.New("service has reset the connection before it had read the request; its response has no length")

// isResetSoon reports whether a connection is reset within resetWait.
func (c *Client) isResetSoon(conn net.Conn) bool {
	for deadline := time.Now().Add(c.resetWait); !wasReset(conn); time.Sleep(resetCheckInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

func (c *Client) serviceRequest(ctx context.Context, address string, call ServiceRequest) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fmt.Errorf("build service request: %w", err)
	}
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	req.Header.Set(headerRequestID, call.RequestID)
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	req.Close = true
	return req, nil
}

func roundTrip(conn net.Conn, req *http.Request) (ServiceResponse, *Failure) {
	if err := req.Write(conn); err != nil {
		return ServiceResponse{}, &Failure{Kind: Broken, Err: fmt.Errorf("send to service: %w", err)}
	}
	limiter := &headLimiter{Conn: conn}
	limiter.limit()
	resp, err := readFinalResponse(bufio.NewReader(limiter), req)
	limiter.unlimit()
	if err != nil {
		return ServiceResponse{}, &Failure{Kind: Broken, Err: fmt.Errorf("read from service: %w", err)}
	}
	// The body is not closed, which would read it to its end: the caller closes the connection.
	body, err := readBody(resp.Body, MaxServiceResponseBytes)
	if err != nil {
		return ServiceResponse{}, &Failure{Kind: Broken, Err: fmt.Errorf("read from service: %w", err)}
	}
	unsized := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead
	return ServiceResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body, unsized: unsized}, nil
}

// readFinalResponse reads the head of the first response that is not an interim one.
func readFinalResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for range maxReadResponses {
		resp, err := httpresponse.Read(r, req.Method)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, errTooManyInterim
}

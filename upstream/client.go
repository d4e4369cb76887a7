// Package upstream is the HTTP client for upstreams: model engines and plain services.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"parsleyhatch/httpresponse"
)

const (
	// dialTimeout bounds dialing an upstream, which is in the same region.
	dialTimeout = 2 * time.Second
	// controlTimeout bounds control calls, such as load reports, orders and cancellations.
	controlTimeout = 2 * time.Second
	// maxControlBytes bounds the response body of a control call, in bytes.
	maxControlBytes = 1 << 20
	// maxIdlePerUpstream is the maximum number of idle connections to one upstream.
	maxIdlePerUpstream = 64
	// readBufferBytes and writeBufferBytes are the sizes of a connection's buffers. A streamed token is an
	// event of about 250 bytes, so the net/http default of 4 KiB each would only cost memory on every
	// open stream. Larger bodies bypass the buffers.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
	// eventBufferBytes is the size of the buffer in which events are split into lines; longer lines are
	// assembled from several reads.
	eventBufferBytes = 1 << 10
)

// Headers of requests to engines.
const (
	headerRequestID  = "X-Request-Id"
	headerPriority   = "X-Priority"
	headerResumeFrom = "X-Resume-From"
	headerMaxTokens  = "X-Max-Tokens"
	headerPrefix     = "X-Prefix"
)

// FailureKind classifies a failed call by how far the request got.
type FailureKind int

// Kinds of failures.
const (
	// NotSent means that no byte of the request was sent, or that the engine answered 409: it does not run
	// the request's model and has not started the request.
	NotSent FailureKind = iota + 1
	// Broken means that the call failed after bytes of the request may have been sent.
	Broken
	// Refused means that the upstream answered with an error status.
	Refused
	// Mismatched means that the response belongs to another request or has a gap.
	Mismatched
	// Stalled means that the upstream sent no event within the stall timeout.
	Stalled
	// Cancelled means that the context of the call ended.
	Cancelled
)

// Failure is a failed call to an upstream.
type Failure struct {
	Kind FailureKind
	// Status is the HTTP status if Kind is Refused.
	Status int
	Err    error
}

// Error returns the status of a refusal, otherwise the message of the cause.
func (f *Failure) Error() string {
	if f.Kind == Refused {
		return fmt.Sprintf("upstream answered status %d", f.Status)
	}
	return f.Err.Error()
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Client calls upstreams with the platform's credential.
type Client struct {
	// Credential is sent as a bearer token. Callers' keys are never sent to upstreams.
	Credential string
	// DialFunc opens connections. Tests replace it.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	http *http.Client
	// resetWait is the time for which the connection of a response that has ended is watched for a reset. Tests replace it.
	resetWait time.Duration
}

// New returns a client that authenticates with the platform's credential.
func New(credential string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{Credential: credential, DialFunc: dialer.DialContext, resetWait: defaultResetWait}
	c.http = &http.Client{Transport: &httpresponse.Transport{Base: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.DialFunc(ctx, network, address)
		},
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
		ReadBufferSize:         readBufferBytes,
		WriteBufferSize:        writeBufferBytes,
	}}}
	return c
}

// Load is an engine's report of its load.
type Load struct {
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MaxBatch     int    `json:"maxBatch"`
	CachedTokens int64  `json:"cachedTokens"`
	BootID       string `json:"bootId"`
	// AgeMillis is the age of the report, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Model, Version, Adapters and Role describe what the engine runs, or what it is loading if Loading is
	// set. They are empty for an engine that does not report its model.
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	Role     string   `json:"role,omitempty"`
	Loading  bool     `json:"loading,omitempty"`
}

// CacheEvent is a change of an engine's prefix cache. Events can arrive late and with gaps.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is "add" or "evict".
	Op     string `json:"op"`
	Prefix string `json:"prefix"`
}

// CacheEvents is a page of cache events. Next is the value of after that requests the next page.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// OrderKindPlacement is the kind of an order that states the complete placement of the engine.
const OrderKindPlacement = "place"

// Order tells an engine to load or unload a model, or to change its role.
type Order struct {
	// Fencing must exceed the fencing number of the last order that the engine accepted.
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	// Adapters is the list of adapters of an order of kind OrderKindPlacement.
	Adapters []string `json:"adapters,omitempty"`
}

// ErrFenced means that an engine refused an order because of its fencing number.
var ErrFenced = errors.New("order refused: fencing number is not above the last one")

// Load reads the load report of an engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.callControl(ctx, http.MethodGet, address, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var page CacheEvents
	err := c.callControl(ctx, http.MethodGet, address, "/v1/cacheevents?after="+strconv.FormatUint(after, 10), nil, &page)
	return page, err
}

// LastFencingNumber reads the fencing number of the last order that an engine accepted.
func (c *Client) LastFencingNumber(ctx context.Context, address string) (uint64, error) {
	var last struct {
		Fencing uint64 `json:"fencing"`
	}
	err := c.callControl(ctx, http.MethodGet, address, "/v1/orders/last", nil, &last)
	return last.Fencing, err
}

// Order sends an order to an engine. It returns ErrFenced if the engine refused the fencing number.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	err := c.callControl(ctx, http.MethodPost, address, "/v1/orders", order, nil)
	var f *Failure
	if errors.As(err, &f) && f.Kind == Refused && f.Status == http.StatusConflict {
		return ErrFenced
	}
	return err
}

// Cancel stops a stream that an engine runs.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.callControl(ctx, http.MethodDelete, address, "/v1/streams/"+requestID, nil, nil)
}

func (c *Client) callControl(ctx context.Context, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return fmt.Errorf("call %s: %w", path, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Credential)
	resp, err := c.http.Do(req)
	if err != nil {
		return &Failure{Kind: failureKind(err), Err: fmt.Errorf("call %s: %w", path, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readBody(resp.Body, maxControlBytes)
	if err != nil {
		return &Failure{Kind: Broken, Err: fmt.Errorf("call %s: %w", path, err)}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return &Failure{Kind: Refused, Status: resp.StatusCode, Err: fmt.Errorf("call %s: status %d", path, resp.StatusCode)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}

// failureKind classifies an error of http.Client.Do: NotSent if the connection could not be opened, Cancelled if
// the context ended, and otherwise Broken, since bytes may have been sent.
func failureKind(err error) FailureKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return NotSent
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return NotSent
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return Cancelled
	}
	return Broken
}

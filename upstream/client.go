// Package upstream speaks to model engines and plain services.
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
)

const (
	// dialTimeout bounds the connection to an upstream of the own region.
	dialTimeout = 2 * time.Second
	// controlTimeout bounds load reports, orders and cancellations.
	controlTimeout = 2 * time.Second
	// maxControlBytes bounds the answer to a control call.
	maxControlBytes = 1 << 20
	// maxIdlePerUpstream is the number of idle connections kept to one upstream.
	maxIdlePerUpstream = 64
	// readBuffer and writeBuffer are the sizes of a connection's buffers, in bytes. A streamed token
	// is an event of about 250 bytes, so the library's default of 4 KiB each only costs memory on
	// every open stream. Larger bodies bypass the buffers.
	readBuffer  = 2 << 10
	writeBuffer = 1 << 10
	// eventBuffer is the size of the buffer that events are split in, in bytes; longer lines are
	// collected in pieces.
	eventBuffer = 1 << 10
)

// Headers between the gateway and engines.
const (
	headerRequestID  = "X-Request-Id"
	headerPriority   = "X-Priority"
	headerResumeFrom = "X-Resume-From"
	headerMaxTokens  = "X-Max-Tokens"
	headerPrefix     = "X-Prefix"
)

// FailureKind says how a call to an upstream failed.
type FailureKind int

// Kinds of failures.
const (
	// NotSent means that no byte of the request left.
	NotSent FailureKind = iota + 1
	// Broken means that the connection failed after bytes may have left.
	Broken
	// Refused means that the upstream answered with an error status.
	Refused
	// Mismatched means that the answer does not belong to the request or has a gap.
	Mismatched
	// Stalled means that the upstream sent nothing for too long.
	Stalled
	// Cancelled means that the caller of the client gave up.
	Cancelled
)

// Failure is a failed call to an upstream.
type Failure struct {
	Kind FailureKind
	// Status is the HTTP status if Kind is Refused.
	Status int
	Err    error
}

// Error names the failure.
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
	// Credential is sent as a bearer token; a caller's key never is.
	Credential string
	// DialFunc opens connections; tests replace it.
	DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

	http *http.Client
}

// New returns a client that uses the platform's credential.
func New(credential string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{Credential: credential, DialFunc: dialer.DialContext}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.DialFunc(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		ReadBufferSize:      readBuffer,
		WriteBufferSize:     writeBuffer,
	}}
	return c
}

// Load is an engine's report of its load.
type Load struct {
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MaxBatch     int    `json:"maxBatch"`
	CachedTokens int64  `json:"cachedTokens"`
	BootID       string `json:"bootId"`
	// AgeMillis is the lag of the report, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
}

// CacheEvent is a change of an engine's prefix cache. Events come late and with gaps.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is "add" or "evict".
	Op     string `json:"op"`
	Prefix string `json:"prefix"`
}

// CacheEvents is a page of events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// Order tells an engine to load or unload a model, or to change its role.
type Order struct {
	// Fencing must exceed the last number that the engine has accepted.
	Fencing uint64 `json:"fencing"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

// ErrFenced says that an engine refused an order because of its fencing number.
var ErrFenced = errors.New("order refused: fencing number is not above the last one")

// Load reads the load of an engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.control(ctx, http.MethodGet, address, "/v1/load", nil, &load)
	return load, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var page CacheEvents
	err := c.control(ctx, http.MethodGet, address, "/v1/cacheevents?after="+strconv.FormatUint(after, 10), nil, &page)
	return page, err
}

// LastFencing reads the fencing number of the last order that an engine accepted.
func (c *Client) LastFencing(ctx context.Context, address string) (uint64, error) {
	var last struct {
		Fencing uint64 `json:"fencing"`
	}
	err := c.control(ctx, http.MethodGet, address, "/v1/orders/last", nil, &last)
	return last.Fencing, err
}

// Order gives an order. It returns ErrFenced if the engine refused the fencing number.
func (c *Client) Order(ctx context.Context, address string, order Order) error {
	err := c.control(ctx, http.MethodPost, address, "/v1/orders", order, nil)
	var f *Failure
	if errors.As(err, &f) && f.Kind == Refused && f.Status == http.StatusConflict {
		return ErrFenced
	}
	return err
}

// Cancel stops a running stream of an engine.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	return c.control(ctx, http.MethodDelete, address, "/v1/streams/"+requestID, nil, nil)
}

func (c *Client) control(ctx context.Context, method, address, path string, in, out any) error {
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
		return &Failure{Kind: sendFailure(err), Err: fmt.Errorf("call %s: %w", path, err)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
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

// sendFailure tells a failure to connect from one after bytes may have left.
func sendFailure(err error) FailureKind {
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

// Package configserver speaks to the platform: the configuration service, the VM list and the weight
// store. It only reads.
package configserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"parsleyhatch/config"
)

const (
	// maxValueBytes is the platform's bound on one value.
	maxValueBytes = 1 << 20
	// callTimeout bounds a read that does not wait for changes.
	callTimeout = 3 * time.Second
	// headKey and partPrefix are where operators publish the configuration.
	headKey    = "parsleyhatch/head"
	partPrefix = "parsleyhatch/parts/"
)

// ErrBudget says that the service refused the read because its readers exceed its rate.
var ErrBudget = errors.New("platform read refused: rate of reads exceeded")

// Client reads from the platform.
type Client struct {
	// Base is the service's URL without a trailing slash.
	Base string
	// Do sends a request; tests replace it.
	Do func(*http.Request) (*http.Response, error)
}

// New returns a client of the service at the URL.
func New(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	client := &http.Client{Transport: transport}
	return &Client{Base: base, Do: client.Do}
}

// Changes is what a watch returns.
type Changes struct {
	Revision uint64   `json:"revision"`
	Keys     []string `json:"keys"`
}

// Head reports whether the head may have changed. A watch that timed out names no key; the head is
// then read again, in case the service lost a change.
func (c Changes) Head() bool { return len(c.Keys) == 0 || slices.Contains(c.Keys, headKey) }

// VMState is one row of the platform's lagging list.
type VMState struct {
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Head reads the configuration's head.
func (c *Client) Head(ctx context.Context) (config.Head, error) {
	var head config.Head
	data, err := c.get(ctx, "/v1/values/"+headKey, callTimeout)
	if err != nil {
		return head, err
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return head, fmt.Errorf("decode configuration head: %w", err)
	}
	return head, nil
}

// Part reads one part of the configuration and checks its digest.
func (c *Client) Part(ctx context.Context, digest string) ([]byte, error) {
	data, err := c.get(ctx, "/v1/values/"+partPrefix+url.PathEscape(digest), callTimeout)
	if err != nil {
		return nil, err
	}
	if config.PartDigest(data) != digest {
		return nil, fmt.Errorf("configuration part %.8s: digest does not match", digest)
	}
	return data, nil
}

// Watch waits until the service's revision exceeds after, or wait has passed.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error) {
	var changes Changes
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("timeoutMillis", strconv.FormatInt(wait.Milliseconds(), 10))
	data, err := c.get(ctx, "/v1/watch?"+query.Encode(), wait+callTimeout)
	if err != nil {
		return changes, err
	}
	if err := json.Unmarshal(data, &changes); err != nil {
		return changes, fmt.Errorf("decode watch: %w", err)
	}
	return changes, nil
}

// VMs reads the list of live and leaving VMs. The list lags.
func (c *Client) VMs(ctx context.Context) ([]VMState, error) {
	data, err := c.get(ctx, "/v1/vms", callTimeout)
	if err != nil {
		return nil, err
	}
	var list []VMState
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("decode vm list: %w", err)
	}
	return list, nil
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", path, err)
	}
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, ErrBudget
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("read %s: status %d", path, resp.StatusCode)
	case len(data) > maxValueBytes:
		return nil, fmt.Errorf("read %s: value above %d bytes", path, maxValueBytes)
	}
	return data, nil
}

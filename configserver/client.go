// Package configserver is a read-only client of the platform's configuration service and VM list.
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
	"parsleyhatch/httpresponse"
)

const (
	// maxValueBytes is the platform's size limit for a value.
	maxValueBytes = 1 << 20
	// maxHeadBytes bounds the heads of all responses to a read, in bytes.
	maxHeadBytes = 64 << 10
	// callTimeout bounds a read that does not wait for changes. A watch adds its wait time to it.
	callTimeout = 3 * time.Second
	// headKey and partPrefix are the keys under which operators publish the configuration; the digest
	// of a part follows partPrefix.
	headKey    = "parsleyhatch/head"
	partPrefix = "parsleyhatch/parts/"
)

// ErrRateLimited is returned if the service rejects a read because its clients exceed its rate limit.
var ErrRateLimited = errors.New("platform read rejected: rate limit exceeded")

// Client reads from the platform.
type Client struct {
	// BaseURL is the URL of the service, without a trailing slash.
	BaseURL string
	// Do sends a request. Tests replace it to count or fail reads.
	Do func(*http.Request) (*http.Response, error)
}

// New returns a client of the service at the base URL.
func New(baseURL string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes}
	client := &http.Client{Transport: &httpresponse.Transport{Base: transport}}
	return &Client{BaseURL: baseURL, Do: client.Do}
}

// WatchResult is the response to a watch.
type WatchResult struct {
	// Revision is the service's revision, from which the next watch continues.
	Revision uint64 `json:"revision"`
	// Keys are the keys that changed; empty if the watch timed out.
	Keys []string `json:"keys"`
}

// HeadMayHaveChanged reports whether the head may have changed. It is true for a watch that timed out, which names
// no key, so that the head is read again in case the service lost a change.
func (c WatchResult) HeadMayHaveChanged() bool {
	return len(c.Keys) == 0 || slices.Contains(c.Keys, headKey)
}

// VMState is an entry of the platform's VM list.
type VMState struct {
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Head reads the head of the published configuration.
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

// Part reads the configuration part with the digest and verifies its content against it.
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

// Watch waits until the service's revision exceeds after, at most for the duration wait.
func (c *Client) Watch(ctx context.Context, after uint64, wait time.Duration) (WatchResult, error) {
	var changes WatchResult
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("timeoutMillis", strconv.FormatInt(wait.Milliseconds(), 10))
	data, err := c.get(ctx, "/v1/watch?"+query.Encode(), wait+callTimeout)
	if err != nil {
		return changes, err
	}
	if err := json.Unmarshal(data, &changes); err != nil {
		return changes, fmt.Errorf("decode watch response: %w", err)
	}
	return changes, nil
}

// VMs reads the list of live and leaving VMs. The list may be out of date.
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

// get returns the body of a response with status 200.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.BaseURL+path, nil)
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
		return nil, ErrRateLimited
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("read %s: status %d", path, resp.StatusCode)
	case len(data) > maxValueBytes:
		return nil, fmt.Errorf("read %s: value above %d bytes", path, maxValueBytes)
	}
	return data, nil
}

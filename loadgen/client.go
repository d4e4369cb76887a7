package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// directoryAge is how long a directory answer is used.
	directoryAge = 2 * time.Second
	// ticketsAsked is the number of tickets in one directory answer; 16 is the gateway's limit.
	ticketsAsked = 16
	// maxAnswerBytes bounds a JSON answer.
	maxAnswerBytes = 1 << 20
	// maxRetryPause bounds the pause before another attempt.
	maxRetryPause = 5 * time.Second
	// defaultRetryPause applies to a broken connection, which names no time.
	defaultRetryPause = 100 * time.Millisecond
	dialTimeout       = 3 * time.Second
)

// Directory is the gateway's answer to GET /v1/directory.
type Directory struct {
	VMs     []DirectoryVM `json:"vms"`
	Tickets []string      `json:"tickets"`
}

// DirectoryVM is one VM to use.
type DirectoryVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
}

// Refusal is the gateway's error object.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran is "notRun", "ran" or "unknown".
	Ran          string `json:"ran"`
	RetryAfterMs int64  `json:"retryAfterMs"`
	RequestID    string `json:"requestId"`
}

// Error returns the code, the message and whether the request ran.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Ran) }

// refusalBody is the JSON around a Refusal.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

const ranNotRun = "notRun"

// errBroken is wrapped by errors of connections that ended early.
var errBroken = errors.New("connection broke off")

// errInvalid is wrapped by errors of responses that are wrong.
var errInvalid = errors.New("invalid response")

// client sends requests to the VMs that the directory names.
type client struct {
	entries []string
	http    *http.Client
	// once is for calls that must not run twice: the HTTP transport repeats a request with an
	// Idempotency-Key when a reused connection breaks, which would hide an attempt.
	once *http.Client

	mu      sync.Mutex
	next    int
	lists   map[directoryKey]directoryEntry
	tickets map[directoryKey][]string
}

type directoryKey struct {
	key   string
	route string
}

type directoryEntry struct {
	vms   []DirectoryVM
	until time.Time
}

func newClient(s *Settings) *client {
	dial := s.DialFunc
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	transport := &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 32,
	}
	once := transport.Clone()
	once.DisableKeepAlives = true
	return &client{
		entries: s.Entries,
		http:    &http.Client{Transport: transport},
		once:    &http.Client{Transport: once},
		lists:   map[directoryKey]directoryEntry{},
		tickets: map[directoryKey][]string{},
	}
}

func (c *client) close() {
	c.http.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// vms returns the VMs to use, best first.
func (c *client) vms(ctx context.Context, r *request) ([]DirectoryVM, error) {
	key := directoryKey{key: r.workspace.Key, route: r.work.Route}
	c.mu.Lock()
	entry, ok := c.lists[key]
	c.mu.Unlock()
	if ok && time.Now().Before(entry.until) {
		return entry.vms, nil
	}
	d, err := c.ask(ctx, key, 0)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.lists[key] = directoryEntry{vms: d.VMs, until: time.Now().Add(directoryAge)}
	c.mu.Unlock()
	return d.VMs, nil
}

// forget drops a directory answer that did not help.
func (c *client) forget(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lists, directoryKey{key: r.workspace.Key, route: r.work.Route})
}

// ticket returns an unused ticket.
func (c *client) ticket(ctx context.Context, r *request) (string, error) {
	key := directoryKey{key: r.workspace.Key, route: r.work.Route}
	if ticket, ok := c.takeTicket(key); ok {
		return ticket, nil
	}
	list, err := c.vms(ctx, r)
	if err != nil {
		return "", err
	}
	// The VM that issues a ticket runs the call, so the best one is asked first. One that leaves
	// or has just started issues none.
	d := &Directory{}
	for _, vm := range list {
		answer, err := c.askEntry(ctx, vm.Address, key, ticketsAsked)
		if err == nil && len(answer.Tickets) > 0 {
			d = answer
			break
		}
	}
	if len(d.Tickets) == 0 {
		return "", fmt.Errorf("%w: the directory issued no ticket", errInvalid)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[key] = append(c.tickets[key], d.Tickets[1:]...)
	return d.Tickets[0], nil
}

func (c *client) takeTicket(key directoryKey) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.tickets[key]
	if len(list) == 0 {
		return "", false
	}
	c.tickets[key] = list[1:]
	return list[0], true
}

// ask asks each entry in turn until one answers.
func (c *client) ask(ctx context.Context, key directoryKey, tickets int) (*Directory, error) {
	var last error
	for range c.entries {
		c.mu.Lock()
		address := c.entries[c.next%len(c.entries)]
		c.next++
		c.mu.Unlock()
		d, err := c.askEntry(ctx, address, key, tickets)
		if err == nil && len(d.VMs) > 0 {
			return d, nil
		}
		last = err
		if err == nil {
			last = fmt.Errorf("directory of %s names no VM", address)
		}
	}
	return nil, last
}

func (c *client) askEntry(ctx context.Context, address string, key directoryKey, tickets int) (*Directory, error) {
	query := url.Values{"route": {key.route}}
	if tickets > 0 {
		query.Set("tickets", strconv.Itoa(tickets))
	}
	target := "http://" + address + "/v1/directory?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	req.Header.Set("Authorization", "Bearer "+key.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, readRefusal(resp)
	}
	var d Directory
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&d); err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	return &d, nil
}

// send posts a body to the VM.
func (c *client) send(ctx context.Context, r *request, vm, path, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", vm, err)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.Header.Set("Content-Type", "application/json")
	if !r.work.Anonymous {
		req.Header.Set("Authorization", "Bearer "+r.workspace.Key)
	}
	via := c.http
	if r.work.Kind == KindCall {
		via = c.once
	}
	resp, err := via.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBroken, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer closeBody(resp)
		return nil, readRefusal(resp)
	}
	return resp, nil
}

// readRefusal returns a *Refusal, or an invalid response if the body is none.
func readRefusal(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errBroken, err)
	}
	var body refusalBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil || body.Error.Code == "" {
		return fmt.Errorf("%w: status %d without an error object: %.100q", errInvalid, resp.StatusCode, data)
	}
	if body.Error.RetryAfterMs == 0 {
		seconds, _ := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 64)
		body.Error.RetryAfterMs = seconds * 1000
	}
	return body.Error
}

func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	_ = resp.Body.Close()
}

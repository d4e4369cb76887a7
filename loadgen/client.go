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
	// directoryCacheTTL is how long a directory response is cached.
	directoryCacheTTL = 2 * time.Second
	// ticketsPerRequest is the number of tickets requested at once; 16 is the gateway's limit.
	ticketsPerRequest = 16
	// maxResponseBytes limits the size of a JSON response.
	maxResponseBytes = 1 << 20
	// maxRetryDelay limits the delay before a retry.
	maxRetryDelay = 5 * time.Second
	// connectionRetryDelay is the delay before a retry after a lost connection, for which the gateway sends no
	// Retry-After.
	connectionRetryDelay = 100 * time.Millisecond
	dialTimeout          = 3 * time.Second
)

// Directory is the gateway's response to GET /v1/directory.
type Directory struct {
	VMs     []DirectoryVM `json:"vms"`
	Tickets []string      `json:"tickets"`
}

// DirectoryVM is a VM in a directory response.
type DirectoryVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
}

// GatewayError is the error object in a gateway response.
type GatewayError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran says whether the request ran: "notRun", "ran" or "unknown".
	Ran          string `json:"ran"`
	RetryAfterMs int64  `json:"retryAfterMs"`
	RequestID    string `json:"requestId"`
}

// Error returns the code, the message and the value of Ran.
func (r *GatewayError) Error() string { return fmt.Sprintf("%s: %s (%s)", r.Code, r.Message, r.Ran) }

// gatewayErrorBody is the JSON body that contains a GatewayError.
type gatewayErrorBody struct {
	Error *GatewayError `json:"error"`
}

const ranStatusNotRun = "notRun"

// errConnectionLost is wrapped by errors of connections that failed before the response was complete.
var errConnectionLost = errors.New("connection broke off")

// errInvalidResponse is wrapped by errors of responses that violate the protocol or differ from the expected content.
var errInvalidResponse = errors.New("invalid response")

// client sends requests to the VMs that the directory lists.
type client struct {
	entries []string
	http    *http.Client
	// noRetry sends calls that must not run twice. It doesn't reuse connections: the HTTP transport retries a
	// request with an Idempotency-Key when a reused connection fails, which would hide an attempt.
	noRetry *http.Client

	mu          sync.Mutex
	nextEntry   int
	directories map[cacheKey]cachedDirectory
	tickets     map[cacheKey][]string
}

type cacheKey struct {
	workspaceKey string
	route        string
}

type cachedDirectory struct {
	vms       []DirectoryVM
	expiresAt time.Time
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
	noRetry := transport.Clone()
	noRetry.DisableKeepAlives = true
	return &client{
		entries:     s.DirectoryAddresses,
		http:        &http.Client{Transport: transport},
		noRetry:     &http.Client{Transport: noRetry},
		directories: map[cacheKey]cachedDirectory{},
		tickets:     map[cacheKey][]string{},
	}
}

func (c *client) close() {
	c.http.CloseIdleConnections()
	c.noRetry.CloseIdleConnections()
}

// vms returns the VMs of the cached or newly fetched directory, best first.
func (c *client) vms(ctx context.Context, r *request) ([]DirectoryVM, error) {
	key := cacheKey{workspaceKey: r.workspace.Key, route: r.requestType.Route}
	c.mu.Lock()
	entry, ok := c.directories[key]
	c.mu.Unlock()
	if ok && time.Now().Before(entry.expiresAt) {
		return entry.vms, nil
	}
	d, err := c.fetchDirectory(ctx, key, 0)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.directories[key] = cachedDirectory{vms: d.VMs, expiresAt: time.Now().Add(directoryCacheTTL)}
	c.mu.Unlock()
	return d.VMs, nil
}

// invalidateDirectory removes the cached directory after a failed attempt.
func (c *client) invalidateDirectory(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.directories, cacheKey{workspaceKey: r.workspace.Key, route: r.requestType.Route})
}

// ticket returns an unused ticket and fetches new ones if there is none.
func (c *client) ticket(ctx context.Context, r *request) (string, error) {
	key := cacheKey{workspaceKey: r.workspace.Key, route: r.requestType.Route}
	if ticket, ok := c.takeTicket(key); ok {
		return ticket, nil
	}
	list, err := c.vms(ctx, r)
	if err != nil {
		return "", err
	}
	// The VM that issues a ticket runs the call, so the best VM is asked first. VMs that are draining or have
	// just started issue no tickets.
	directory := &Directory{}
	for _, vm := range list {
		response, err := c.fetchDirectoryFrom(ctx, vm.Address, key, ticketsPerRequest)
		if err == nil && len(response.Tickets) > 0 {
			directory = response
			break
		}
	}
	if len(directory.Tickets) == 0 {
		return "", fmt.Errorf("%w: the directory issued no ticket", errInvalidResponse)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets[key] = append(c.tickets[key], directory.Tickets[1:]...)
	return directory.Tickets[0], nil
}

func (c *client) takeTicket(key cacheKey) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.tickets[key]
	if len(list) == 0 {
		return "", false
	}
	c.tickets[key] = list[1:]
	return list[0], true
}

// fetchDirectory requests the directory from each entry in turn until one returns VMs.
func (c *client) fetchDirectory(ctx context.Context, key cacheKey, tickets int) (*Directory, error) {
	var lastErr error
	for range c.entries {
		c.mu.Lock()
		address := c.entries[c.nextEntry%len(c.entries)]
		c.nextEntry++
		c.mu.Unlock()
		d, err := c.fetchDirectoryFrom(ctx, address, key, tickets)
		if err == nil && len(d.VMs) > 0 {
			return d, nil
		}
		lastErr = err
		if err == nil {
			lastErr = fmt.Errorf("directory of %s names no VM", address)
		}
	}
	return nil, lastErr
}

func (c *client) fetchDirectoryFrom(ctx context.Context, address string, key cacheKey, tickets int) (*Directory, error) {
	query := url.Values{"route": {key.route}}
	if tickets > 0 {
		query.Set("tickets", strconv.Itoa(tickets))
	}
	target := "http://" + address + "/v1/directory?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	req.Header.Set("Authorization", "Bearer "+key.workspaceKey)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, readGatewayError(resp)
	}
	var d Directory
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&d); err != nil {
		return nil, fmt.Errorf("directory of %s: %w", address, err)
	}
	return &d, nil
}

// send posts a body to a VM. It returns a *GatewayError if the response status is not 200.
func (c *client) send(ctx context.Context, r *request, vm, path, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", vm, err)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	req.Header.Set("Content-Type", "application/json")
	if !r.requestType.Anonymous {
		req.Header.Set("Authorization", "Bearer "+r.workspace.Key)
	}
	httpClient := c.http
	if r.requestType.Kind == KindCall {
		httpClient = c.noRetry
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errConnectionLost, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer closeBody(resp)
		return nil, readGatewayError(resp)
	}
	return resp, nil
}

// readGatewayError returns the *GatewayError of a response, or an error that wraps errInvalidResponse if the body
// contains none.
func readGatewayError(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", errConnectionLost, err)
	}
	var body gatewayErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error == nil || body.Error.Code == "" {
		return fmt.Errorf("%w: status %d without an error object: %.100q", errInvalidResponse, resp.StatusCode, data)
	}
	if body.Error.RetryAfterMs == 0 {
		seconds, _ := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 64)
		body.Error.RetryAfterMs = seconds * 1000
	}
	return body.Error
}

func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	_ = resp.Body.Close()
}

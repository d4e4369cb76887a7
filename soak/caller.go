package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/platform"
)

const (
	// callDeadline is the deadline that callers set on a request.
	callDeadline = 3 * time.Second
	// callInterval is the pause between two requests of one caller.
	callInterval = 15 * time.Millisecond
	// responseGracePeriod is how long a caller waits for the final response after the deadline has passed.
	responseGracePeriod = 2 * time.Second
)

// sendRequest sends one request to a VM and records the request and its response. The client reuses its connections.
func sendRequest(client *http.Client, h *history, address string, sent request) (got response) {
	h.recordRequest(sent)
	got = response{id: sent.id, lastEvent: streamEvents}
	defer func() {
		got.receivedAt = time.Now()
		h.recordResponse(got)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), sent.deadline+responseGracePeriod)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+string(sent.kind)+"/?q="+sent.id, strings.NewReader(requestBody(sent.id)))
	if err != nil {
		got.err = err.Error()
		return got
	}
	// Without GetBody, net/http can't rewind the body and therefore doesn't retry the request.
	r.GetBody = nil
	r.Host = host
	r.Header.Set(platform.HeaderRequestID, sent.id)
	r.Header.Set(platform.HeaderAPIKey, sent.key)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	if sent.resumes != "" {
		r.Header.Set(platform.HeaderResumes, sent.resumes)
		r.Header.Set(platform.HeaderLastEventID, strconv.Itoa(sent.lastEvent))
	}
	resp, err := client.Do(r)
	if err != nil {
		got.err = err.Error()
		return got
	}
	defer func() { _ = resp.Body.Close() }()
	got.status = resp.StatusCode
	got.readBody(sent, resp)
	return got
}

// readBody reads the response body and checks that it belongs to the request.
func (got *response) readBody(sent request, resp *http.Response) {
	stamped := resp.Header.Get(platform.HeaderServerStamp) == "stamp-"+sent.id
	if sent.kind != kindStream || resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			got.err = err.Error()
			return
		}
		got.complete, got.verified = true, stamped && string(body) == responseBody(sent.id)
		return
	}
	got.verified = stamped
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, err := strconv.Atoi(text)
			if err != nil {
				n = -1
			}
			got.events = append(got.events, n)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "version: "); ok && !slices.Contains(got.versions, text) {
			got.versions = append(got.versions, text)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok && text != responseBody(sent.id) {
			got.verified = false
		}
	}
	if err := lines.Err(); err != nil {
		got.err = err.Error()
		return
	}
	got.complete = true
}

// requestKindFor returns the kind of the n-th request of a caller.
func requestKindFor(n int) requestKind { return []requestKind{kindSafe, kindUnsafe, kindStream}[n%3] }

// runCaller sends requests until ctx ends.
func (s *soak) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	rng := s.newRand(uint64(caller) + 100)
	for n := 0; ctx.Err() == nil; n++ {
		v := s.vms[rng.IntN(len(s.vms))]
		key, ok := s.pickKey(rng.IntN(1 << 20))
		if !ok {
			continue
		}
		sent := request{
			id: fmt.Sprintf("%d-%d-%d", s.Seed, caller, n), kind: requestKindFor(n), key: key, vm: v.name,
			sentAt: time.Now(), deadline: callDeadline,
		}
		got := sendRequest(client, s.history, v.callerAddress, sent)
		if sent.kind == kindStream && !got.complete && len(got.events) > 0 {
			v = s.vms[rng.IntN(len(s.vms))]
			resumption := sent
			resumption.id, resumption.vm, resumption.sentAt = sent.id+"-r", v.name, time.Now()
			resumption.resumes, resumption.lastEvent = sent.id, got.events[len(got.events)-1]
			sendRequest(client, s.history, v.callerAddress, resumption)
		}
		time.Sleep(callInterval)
	}
}

package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/platform"
)

const (
	// callDeadline is the time that callers give a request, and callPause the time between two of one caller.
	callDeadline = 3 * time.Second
	callPause    = 15 * time.Millisecond
	// callPatience is the time after its deadline for which a caller waits for the final answer.
	callPatience = 2 * time.Second
)

// call sends one request to a VM and notes what comes back. Callers keep their connections.
func call(client *http.Client, l *ledger, address string, a attempt) {
	l.sent(a)
	got := answer{id: a.id, last: streamEvents}
	defer func() {
		got.at = time.Now()
		l.answered(got)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline+callPatience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/"+string(a.kind)+"/?q="+a.id, strings.NewReader(bodyOf(a.id)))
	if err != nil {
		got.err = err.Error()
		return
	}
	// Without a way to read the body again, the client library sends the request once.
	r.GetBody = nil
	r.Host = host
	r.Header.Set(platform.HeaderRequestID, a.id)
	r.Header.Set(platform.HeaderAPIKey, a.key)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(a.deadline.Milliseconds(), 10))
	resp, err := client.Do(r)
	if err != nil {
		got.err = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	got.status = resp.StatusCode
	got.read(a, resp)
}

// read takes the body in.
func (got *answer) read(a attempt, resp *http.Response) {
	stamped := resp.Header.Get(platform.HeaderServerStamp) == "stamp-"+a.id
	if a.kind != stream || resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			got.err = err.Error()
			return
		}
		got.whole, got.proven = true, stamped && string(body) == answerOf(a.id)
		return
	}
	got.proven = stamped
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, err := strconv.Atoi(text)
			if err != nil {
				n = -1
			}
			got.events = append(got.events, n)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok && text != answerOf(a.id) {
			got.proven = false
		}
	}
	if err := lines.Err(); err != nil {
		got.err = err.Error()
		return
	}
	got.whole = true
}

// kindOf returns the kind of the n-th request of a caller.
func kindOf(n int) kind { return []kind{safe, unsafe, stream}[n%3] }

// runCaller sends requests until ctx ends.
func (s *soak) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	random := s.random(uint64(caller) + 100)
	for n := 0; ctx.Err() == nil; n++ {
		v := s.vms[random.IntN(len(s.vms))]
		key, ok := s.key(random.IntN(1 << 20))
		if !ok {
			continue
		}
		call(client, s.ledger, v.callers, attempt{
			id: fmt.Sprintf("%d-%d-%d", s.Seed, caller, n), kind: kindOf(n), key: key, vm: v.name,
			sentAt: time.Now(), deadline: callDeadline,
		})
		time.Sleep(callPause)
	}
}

package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/standin/workload"
)

// responseGracePeriod is how long a caller waits for the final response after the deadline has passed.
const responseGracePeriod = 2 * time.Second

// sendRequest sends one request to a VM and records the request and its response. The client reuses its connections.
func sendRequest(client *http.Client, h *history, l *load, address string, sent request) (got response) {
	h.recordRequest(sent)
	got = response{id: sent.id, lastEvent: l.Events}
	body := l.RequestBody(sent.contentID())
	sending := workload.NewSlowReader(body, sent.bodyTime(l))
	defer func() {
		got.receivedAt, got.sentWholeAt = time.Now(), sending.EndedAt()
		h.recordResponse(got)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), sent.deadline+responseGracePeriod)
	defer cancel()
	idle := workload.NewIdleTimer(sent.patience, cancel)
	defer func() { got.abandoned = idle.Stop() }()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+sent.kind.path()+"?q="+sent.contentID(), nil)
	if err != nil {
		got.err = err.Error()
		return got
	}
	// Without GetBody, net/http can't rewind the body and therefore doesn't retry the request.
	r.Body, r.ContentLength = io.NopCloser(sending), int64(len(body))
	r.Host = l.host
	r.Header.Set(platform.HeaderRequestID, sent.id)
	r.Header.Set(platform.HeaderAPIKey, sent.key)
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(sent.deadline.Milliseconds(), 10))
	l.prompt.setHeaders(r.Header, sent.kind, sent.contentID())
	if sent.resumes != "" {
		r.Header.Set(platform.HeaderResumes, sent.resumes)
	}
	if sent.lastEvent != 0 {
		r.Header.Set(platform.HeaderLastEventID, strconv.Itoa(sent.lastEvent))
	}
	resp, err := client.Do(r)
	if err != nil {
		got.err = err.Error()
		return got
	}
	defer func() { _ = resp.Body.Close() }()
	got.status, got.retryAfter = resp.StatusCode, platform.ParseRetryAfter(resp.Header)
	resp.Body = idle.Watch(resp.Body)
	got.readBody(sent, l, resp)
	return got
}

// readBody reads the response body and checks that it belongs to the request.
func (got *response) readBody(sent request, l *load, resp *http.Response) {
	stamped := resp.Header.Get(platform.HeaderServerStamp) == "stamp-"+sent.id
	if !sent.kind.isStream() || resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			got.err = err.Error()
			return
		}
		got.complete, got.verified = true, stamped && string(body) == workload.ResponseBody(sent.id)
		return
	}
	got.verified = stamped
	events := eventReader{sent: sent, load: l, got: got}
	if err := events.readAll(resp.Body); err != nil {
		got.err = err.Error()
		return
	}
	got.complete = true
}

// bodyTime returns how long the body of the request is sent.
func (r request) bodyTime(l *load) time.Duration {
	if r.atOnce {
		return 0
	}
	return l.BodyTime(r.id)
}

// lastReceived returns the id of the last event, zero if there is none.
func (got *response) lastReceived() int {
	if len(got.events) == 0 {
		return 0
	}
	return got.events[len(got.events)-1]
}

// runCaller sends requests until ctx ends.
func (s *soak) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
	defer client.CloseIdleConnections()
	rng := s.newRand(uint64(caller) + 100)
	for n := 0; ctx.Err() == nil; n++ {
		v := s.drawVM(rng, "", nil)
		index, pause, additional := rng.IntN(1<<20), s.load.interval, caller >= s.load.callers
		hot := s.sendsHot(caller)
		if hot {
			index = 0
		}
		key, ok := s.pickKey(index)
		if !ok || additional && !hot {
			time.Sleep(pause)
			continue
		}
		if hot && !additional {
			pause /= hotPauseDivisor
		}
		sent := request{
			id: fmt.Sprintf("%d-%d-%d", s.Seed, caller, n), kind: requestKindFor(n), key: key, vm: v.name,
			sentAt: time.Now(), deadline: s.load.deadline, patience: s.callerBehaviour.patience(),
		}
		if s.load.mixed && sent.kind == kindStream {
			sent.stream = sent.id // The service of a split route follows from what all attempts have in common.
		}
		sent, got := s.sendAndRepeat(client, v, sent)
		if sent.kind == kindStream && !got.complete && len(got.events) > 0 {
			v = s.drawVM(rng, "", nil)
			resumption := sent
			resumption.id, resumption.vm, resumption.sentAt = sent.id+"-r", v.name, time.Now()
			resumption.resumes, resumption.lastEvent, resumption.lastRun = sent.id, got.lastReceived(), got.lastRun(sent)
			sendRequest(client, s.history, &s.load, v.addressForCallers(), resumption)
		}
		time.Sleep(pause)
	}
}

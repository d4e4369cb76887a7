package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	lookupService = "balcao"
	lookupPath    = "/status/"
	// failedShare is the share of safe requests that the replica answers with its own error.
	failedShare = 0.14
	// extraShare is the share of answers after which a second answer to the same request follows, extraDelay later.
	extraShare = 0.03
	extraDelay = 4 * time.Millisecond
	lookupWork = 30 * time.Millisecond
	// extraBody is the body of the second answers. It belongs to no request.
	extraBody = "bytes that belong to no request"
	// The replica is faulty faultyPeriods times for faultyTime, with pauses of soundTime.
	faultyPeriods = 8
	faultyTime    = 5 * time.Second
	soundTime     = 1500 * time.Millisecond
	// lookupCallers send a request every lookupInterval.
	lookupCallers  = 8
	lookupInterval = 30 * time.Millisecond
)

// lookupReplica is a stand-in for a replica of a plain service. It answers safe requests, and spoils some answers while it is
// faulty.
type lookupReplica struct {
	id, zone string
	listener net.Listener
	born     int64
	record   *record

	mu     sync.Mutex
	faulty bool
	extras int
}

func (p *lookupReplica) setFaulty(faulty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faulty = faulty
}

func (p *lookupReplica) register(s *store, sequence int) {
	s.put("servers/"+p.id, map[string]any{
		"service": lookupService, "address": p.listener.Addr().String(), "zone": p.zone, "version": "v1", "slots": 6, "state": "ready",
		"warmup_left_ms": 0, "sequence": sequence, "born": p.born,
	})
}

func (p *lookupReplica) runHeartbeats(s *store) {
	for n := 2; ; n++ {
		time.Sleep(1200 * time.Millisecond)
		p.register(s, n)
	}
}

func (p *lookupReplica) runAccept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.runConnection(c)
	}
}

// runConnection answers the requests of a connection one after the other.
func (p *lookupReplica) runConnection(c net.Conn) {
	defer c.Close()
	var writing sync.Mutex
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Request-Id")
		head, body := p.answer(r, id)
		writing.Lock()
		_, err = io.WriteString(c, message(head, id, body))
		writing.Unlock()
		if err != nil {
			return
		}
		if p.sendsExtra(id) {
			time.AfterFunc(extraDelay, func() {
				writing.Lock()
				defer writing.Unlock()
				p.record.add("replica %s sends a second answer to %s", p.id, id)
				_, _ = io.WriteString(c, message("HTTP/1.1 200 OK\r\nServer-Stamp: extra", id, extraBody))
			})
		}
	}
}

// answer runs a request and returns the first lines of the answer and its body.
func (p *lookupReplica) answer(r *http.Request, id string) (head, body string) {
	switch {
	case r.URL.Path == "/health":
		return "HTTP/1.1 200 OK\r\nInstance-Id: " + p.id, ""
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != p.id:
		return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1", ""
	case id == "":
		return "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1", ""
	}
	time.Sleep(lookupWork)
	if rand.Float64() < failedShare {
		p.record.add("replica %s runs %s and answers with its own error", p.id, id)
		return "HTTP/1.1 500 Internal Server Error\r\nServer-Stamp: " + p.id + "." + id, "own error"
	}
	return "HTTP/1.1 200 OK\r\nServer-Stamp: " + p.id + "." + id, lookupBody(r.URL.Path)
}

// lookupBody returns the body of the answer to a request.
func lookupBody(path string) string { return "status of " + path }

func message(head, id, body string) string {
	return fmt.Sprintf("%s\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body)
}

// sendsExtra reports whether a second answer follows.
func (p *lookupReplica) sendsExtra(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	extra := id != "" && p.faulty && rand.Float64() < extraShare
	if extra {
		p.extras++
	}
	return extra
}

func lookupConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "status", "host": host, "path_prefix": lookupPath, "kind": "safe", "timeout_ms": 4000, "target_latency_ms": 400,
			"priority": 2, "service": lookupService, "max_attempts": 2, "public": true, "affinity": false, "resumable": false,
			"home_regions": []string{regions[0].name},
		}},
		"services": []any{map[string]any{"name": lookupService, "health_path": "/health", "max_connections": 110, "warmup_s": 0.0, "warmup_per_s": 0.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// lookupCounts counts the answers that callers got.
type lookupCounts struct {
	mu                   sync.Mutex
	sent, ok, bad, other int
}

// runLookupCaller sends requests until the end and checks the body of each success.
func runLookupCaller(c *surroundings, caller int, end time.Time, counts *lookupCounts) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{}}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(lookupInterval)
		id := fmt.Sprintf("2%03d%012x", caller, n)
		path := fmt.Sprintf("%s%d/%d", lookupPath, caller, n)
		status, body, err := lookup(client, c.system.address(0, 8221), id, path)
		counts.mu.Lock()
		counts.sent++
		switch {
		case err != nil || status != http.StatusOK:
			counts.other++
		case body != lookupBody(path):
			counts.bad++
			c.record.add("request %s is answered with status 200 and %q instead of %q", id, body, lookupBody(path))
		default:
			counts.ok++
		}
		counts.mu.Unlock()
	}
}

func lookup(client *http.Client, address, id, path string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "4000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var b strings.Builder
	_, err = io.Copy(&b, resp.Body)
	return resp.StatusCode, b.String(), err
}

// runLateAnswer checks that callers get the answers to their own requests while a replica sends second answers late.
func runLateAnswer(c *surroundings, trouble bool) (int, error) {
	c.store.put("op/config", lookupConfig())
	var replicas []*lookupReplica
	for _, region := range regions {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 2, err
		}
		p := &lookupReplica{id: "i-" + region.name, zone: region.zone, listener: l, born: time.Now().Add(-time.Hour).UnixMilli(), record: c.record}
		p.register(c.store, 1)
		go p.runAccept()
		go p.runHeartbeats(c.store)
		replicas = append(replicas, p)
	}
	if err := c.system.start(); err != nil {
		return 2, err
	}
	c.record.add("all vms are ready")
	time.Sleep(4 * time.Second)
	faulty := replicas[0]
	var running sync.WaitGroup
	counts := &lookupCounts{}
	end := time.Now().Add(faultyPeriods * (faultyTime + soundTime))
	for caller := range lookupCallers {
		running.Go(func() { runLookupCaller(c, caller, end, counts) })
	}
	for range faultyPeriods {
		faulty.setFaulty(trouble)
		time.Sleep(faultyTime)
		faulty.setFaulty(false)
		time.Sleep(soundTime)
	}
	running.Wait()
	c.record.add("%d requests sent, %d answered right, %d with bytes that belong to no request, %d otherwise; %d second answers",
		counts.sent, counts.ok, counts.bad, counts.other, faulty.extras)
	if counts.bad > 0 {
		return 1, nil
	}
	return 0, nil
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a server of a service. It runs what it gets, and answers with its stamp.
type replica struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	// work is the time that a request takes.
	work time.Duration
	// onCrash is called when the replica begins to run a request that crashes it. Nil never is.
	onCrash func(p *replica, a arrival)

	running  atomic.Int64
	crashed  sync.Once
	mu       sync.Mutex
	server   *http.Server
	arrivals []arrival
}

// arrival is a request that reached a replica and was run.
type arrival struct {
	id, replica string
	at          time.Time
}

// registration returns the entry of the replica in the store.
func (p *replica) registration() map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots, "state": "ready",
		"warmup_left_ms": 0, "sequence": 1, "born": p.born,
	}
}

const (
	// crashDelay is the time after which a replica that runs the request which crashes it ends, and restartTime the one after which it is back.
	crashDelay  = 20 * time.Millisecond
	restartTime = 2 * time.Second
	// expiryTime is the time after which the entry of a silent replica is removed: three status report intervals.
	expiryTime = 3600 * time.Millisecond
)

// crash ends a replica without a word to the store. It is back after restartTime at its address, with a new id.
func (d *deployment) crash(p *replica) {
	p.crashed.Do(func() {
		p.exit()
		time.AfterFunc(expiryTime, func() { d.store.remove("servers/" + p.id) })
		time.AfterFunc(restartTime, func() { d.replace(p) })
	})
}

// replace starts a replica at the address of one that has crashed.
func (d *deployment) replace(p *replica) {
	next := &replica{id: p.id + "x", service: p.service, zone: p.zone, address: p.address, slots: p.slots, work: p.work, onCrash: p.onCrash}
	d.addReplica(next)
}

// start opens the listener of the replica and serves.
func (p *replica) start() {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		fatal("replica %s: %v", p.id, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.born = time.Now().UnixMilli()
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ConnContext: withConn}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
}

// exit ends the replica: its listener and all its connections close.
func (p *replica) exit() {
	p.mu.Lock()
	s := p.server
	p.mu.Unlock()
	_ = s.Close()
}

// runs returns the requests that the replica has run.
func (p *replica) runs() []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]arrival(nil), p.arrivals...)
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	w.Header()["Date"] = nil
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", p.running.Load(), p.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != p.id {
		w.Header().Set("Instance-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	p.running.Add(1)
	defer p.running.Add(-1)
	p.mu.Lock()
	a := arrival{id: id, replica: p.id, at: arrived}
	p.arrivals = append(p.arrivals, a)
	p.mu.Unlock()
	if p.onCrash != nil && string(body) == crashBody {
		time.Sleep(crashDelay)
		p.onCrash(p, a)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Stamp", p.id+"."+id)
	select {
	case <-time.After(p.work):
	case <-r.Context().Done():
		return
	}
	answer := "answer of " + p.id + " to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

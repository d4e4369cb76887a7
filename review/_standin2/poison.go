package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// contactTime is bounds.contact_ms of the deployment.
	contactTime = 5 * time.Second
	// maxRetries is the number of retries of a request that crashes replicas that may reach replicas later than contactTime after the third crash.
	maxRetries = 3
	// copies is the number of requests of a client that repeats its request three more times at once.
	copies = 4
	// otherClients is the number of clients that send other requests meanwhile.
	otherClients = 21
	// tryPause is the time between two of the first attempts, and maxTries their number.
	tryPause = 600 * time.Millisecond
	maxTries = 12
	// vmRestartTime is the time for which the VMs are down.
	vmRestartTime = 500 * time.Millisecond
	// settleTime is the time for which the traffic of other clients runs before and after the copies.
	settleTime = time.Second
)

// crashBody is the body of the request that crashes each replica that runs it.
const crashBody = "crash"

// poison is the request that crashes replicas, with the crashes so far.
type poison struct {
	d       *deployment
	mu      sync.Mutex
	crashes []arrival
}

// playPoison kills all VMs at once after a request has crashed three replicas, and lets the request come again once they are in touch.
func playPoison(d *deployment, trouble bool) bool {
	p := &poison{d: d}
	d.addReplicas(plain, 2, 6, func(r *replica) { r.work, r.onCrash = 60*time.Millisecond, p.crash })
	d.store.put("op/config", configuration())
	d.addMachines()
	d.startInTouch()
	third := p.crashThree()
	time.Sleep(time.Until(third.Add(contactTime + time.Second)))
	if trouble {
		d.killAll()
		d.startInTouch()
	}
	late := p.comeAgain(third)
	d.record.add("retries that reached replicas later than %v after the third crash, sent by machines in touch: %d of at most %d", contactTime, late, maxRetries)
	return late > maxRetries
}

// crash records a crash. The replica ends and is back after a while.
func (p *poison) crash(r *replica, a arrival) {
	p.mu.Lock()
	p.crashes = append(p.crashes, a)
	p.mu.Unlock()
	p.d.record.add("request %s runs at %s, which crashes", a.id, a.replica)
	p.d.crash(r)
}

// crashesSince returns the crashes after a time.
func (p *poison) crashesSince(at time.Time) []arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []arrival
	for _, a := range p.crashes {
		if a.at.After(at) {
			list = append(list, a)
		}
	}
	return list
}

// send sends the request to a machine.
func (p *poison) send(m *machine) reply {
	r := send(m, unsafeCall(crashBody))
	p.d.record.add("%s", r.String())
	return r
}

// crashThree sends the request until it has crashed three replicas, and returns the time of the third crash. Later requests are refused.
func (p *poison) crashThree() time.Time {
	machines := p.d.machines
	for i := 0; len(p.crashesSince(time.Time{})) < 3 && i < maxTries; i++ {
		p.send(machines[i%len(machines)])
		time.Sleep(tryPause)
	}
	crashes := p.crashesSince(time.Time{})
	if len(crashes) < 3 {
		fatal("the request has not crashed three replicas")
	}
	time.Sleep(time.Second)
	for _, m := range machines[:3] {
		p.send(m)
	}
	return crashes[2].at
}

// comeAgain lets a client send the request and repeat it at once, beside the traffic of other clients. It returns the number of these retries that
// have reached a replica later than contactTime after the third crash.
func (p *poison) comeAgain(third time.Time) (late int) {
	ctx, stop := context.WithCancel(context.Background())
	var others, copied sync.WaitGroup
	got := &replies{byID: map[string]reply{}}
	for i := range otherClients {
		others.Go(func() { sendSteadily(ctx, p.d.machines[i%len(p.d.machines)], got) })
	}
	time.Sleep(settleTime)
	began := time.Now()
	p.d.record.add("a client sends the request, and repeats it three times at once")
	for i := range copies {
		copied.Go(func() { p.send(p.d.machines[(2*i)%len(p.d.machines)]) })
	}
	copied.Wait()
	time.Sleep(settleTime)
	stop()
	others.Wait()
	p.d.recordAll(got)
	p.d.recordLost(began, got)
	crashed := map[string]bool{}
	for _, a := range p.crashesSince(began) {
		crashed[a.replica] = true
		if a.at.Sub(third) > contactTime {
			late++
		}
	}
	p.d.record.add("replicas that crashed again: %d", len(crashed))
	return late
}

// killAll kills all VMs at the same moment, and returns after vmRestartTime.
func (d *deployment) killAll() {
	for _, m := range d.machines {
		d.signal(m, syscall.SIGKILL)
	}
	for _, m := range d.machines {
		<-m.ended
	}
	time.Sleep(vmRestartTime)
}

// recordLost records the requests of other clients that were answered since a time without an answer of a replica although they may have run.
func (d *deployment) recordLost(since time.Time, got *replies) {
	got.mu.Lock()
	defer got.mu.Unlock()
	lost := 0
	for _, r := range got.byID {
		if r.readAt.After(since) && (r.status == 0 || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout) {
			lost++
			d.record.add("of another client: %s", r.String())
		}
	}
	d.record.add("unsafe requests of other clients that were lost with the replicas: %d", lost)
}

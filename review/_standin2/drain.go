package main

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// drainBound is bounds.drain_ms of the deployment.
	drainBound = 3 * time.Second
	// servedAfterLeaving is the time for which a replica goes on serving after its entry was removed.
	servedAfterLeaving = 8 * time.Second
	// cutInterval is the time between two rounds in which the store cuts the watches that wait. In each, it cuts them twice, cutPause apart.
	cutInterval = 2600 * time.Millisecond
	cutPause    = 700 * time.Millisecond
)

// replies holds what clients have got, by the id of the request.
type replies struct {
	mu   sync.Mutex
	byID map[string]reply
}

func (r *replies) add(x reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[x.id] = x
}

// inOrder returns the replies in the order in which their requests were sent.
func (r *replies) inOrder() []reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Collect(maps.Values(r.byID))
	slices.SortFunc(list, func(a, b reply) int { return a.sentAt.Compare(b.sentAt) })
	return list
}

func (r *replies) get(id string) reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// sendSteadily sends unsafe requests one after the other until ctx ends.
func sendSteadily(ctx context.Context, m *machine, to *replies) {
	for ctx.Err() == nil {
		to.add(send(m, unsafeCall("filing")))
		time.Sleep(10 * time.Millisecond)
	}
}

// cutWatches cuts the waiting watches in rounds until ctx ends.
func (d *deployment) cutWatches(ctx context.Context) {
	for ctx.Err() == nil {
		d.record.add("the store cuts %d waiting watches", d.store.cutWatches())
		time.Sleep(cutPause)
		d.record.add("the store cuts %d waiting watches", d.store.cutWatches())
		time.Sleep(cutInterval - cutPause)
	}
}

// playDrain removes the entry of a replica that has not reported draining, while the store cuts watches that wait.
func playDrain(d *deployment, trouble bool) bool {
	replicas := d.addReplicas(plain, 2, 6, func(p *replica) { p.work = 60 * time.Millisecond })
	d.store.put("op/config", configuration())
	d.addMachines()
	d.startInTouch()
	got := &replies{byID: map[string]reply{}}
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	leaving := replicas[0]
	for _, m := range d.machines {
		if m.zone == leaving.zone {
			wait.Go(func() { sendSteadily(ctx, m, got) })
			wait.Go(func() { sendSteadily(ctx, m, got) })
		}
	}
	time.Sleep(time.Second)
	if trouble {
		wait.Go(func() { d.cutWatches(ctx) })
	}
	time.Sleep(2 * cutInterval)
	acked := d.store.remove("servers/" + leaving.id)
	d.record.add("the store accepts that the entry of %s is removed", leaving.id)
	time.Sleep(servedAfterLeaving)
	leaving.exit()
	d.record.add("replica %s exits", leaving.id)
	time.Sleep(time.Second)
	stop()
	wait.Wait()
	d.recordAll(got)
	return d.judgeDrain(leaving, acked, got)
}

// recordAll records all requests of clients with their answers, and the replicas that ran them.
func (d *deployment) recordAll(got *replies) {
	runs := map[string][]string{}
	for _, p := range d.allReplicas() {
		for _, a := range p.runs() {
			runs[a.id] = append(runs[a.id], a.replica+" at "+d.record.at(a.at))
		}
	}
	for _, r := range got.inOrder() {
		d.record.add("sent %s, answered %s, run by %v: %s", d.record.at(r.sentAt), d.record.at(r.readAt), runs[r.id], r.String())
	}
}

// judgeDrain reports whether requests reached a replica later than drainBound after the store had accepted that it is gone.
func (d *deployment) judgeDrain(leaving *replica, acked time.Time, got *replies) bool {
	late, lost := 0, 0
	for _, a := range leaving.runs() {
		if a.at.Sub(acked) <= drainBound {
			continue
		}
		late++
		r := got.get(a.id)
		if r.status != http.StatusOK {
			lost++
		}
		d.record.add("late: request %s reached %s %.3f s after the ack, answered %d", a.id, leaving.id, a.at.Sub(acked).Seconds(), r.status)
	}
	d.record.add("requests that reached %s later than %v after the ack: %d, of these without its answer: %d", leaving.id, drainBound, late, lost)
	return late > 0
}

package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	// streamPieces and streamGap make a stream last 1 s.
	streamPieces = 10
	streamGap    = 100 * time.Millisecond
	// streamInterval is the time between two streams at a VM.
	streamInterval = 100 * time.Millisecond
	// warmUp is the time for which streams are sent before anything is judged, so that the VMs have run for a while.
	warmUp = 30 * time.Second
	// grace is grace_s of the settings, and judged the time after SIGTERM within which a request that counts is sent and cut.
	grace, judged = 8 * time.Second, grace + time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
)

// streamCounts counts the streams that one VM has taken from clients, since the time at which they are judged.
type streamCounts struct {
	complete, broken, refused int
	// later counts streams that were broken off after the time that the rule names.
	later int
}

// playRestartedVM stops a VM with SIGTERM, and starts it again, while sound replicas answer streams. Two of five replicas answer without a
// length. A stream that a replica has sent completely must not be broken off.
func playRestartedVM(d *deployment, trouble bool) (bool, error) {
	const key = "key-of-review"
	stream := route("r-stream", "/stream/", "streaming", "redator", 15000, 2, false)
	stream["resumable"] = true
	d.putConfig(map[string]any{
		"version": 7, "routes": []any{stream}, "services": []any{service("redator", 370)},
		"limits": limits, "tenants": []any{tenant("tenant-of-review", key)},
	})
	args := []string{"-pieces", fmt.Sprint(streamPieces), "-gap", streamGap.String()}
	for i, more := range [][]string{{"-unsized"}, {"-unsized"}, nil, nil, nil} {
		if _, err := d.startReplica(i, fmt.Sprintf("i-%d", i), "redator", "norte", append(args, more...)...); err != nil {
			return false, err
		}
	}
	var processes []*exec.Cmd
	for i := range 3 {
		if err := d.startVM(i, []string{"norte"}, "norte", []int{0, 1, 2}); err != nil {
			return false, err
		}
		processes = append(processes, d.procs[len(d.procs)-1])
	}
	if err := d.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	started := time.Now()
	from := started.Add(warmUp)
	end := from.Add(judged)
	var mu sync.Mutex
	var counts streamCounts
	var streams sync.WaitGroup
	for v := range d.vms {
		streams.Go(func() {
			c := d.newClient()
			for ; time.Now().Before(end); time.Sleep(streamInterval) {
				streams.Go(func() {
					a := c.send(d.vms[v], http.MethodPost, "/stream/2f", key, 15*time.Second)
					if v != 0 || a.sentAt.Before(from) {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					counts.add(d, &a, from)
				})
			}
		})
	}
	time.Sleep(time.Until(from))
	if trouble {
		_ = processes[0].Process.Signal(syscall.SIGTERM)
		d.record.note("vm 0 gets SIGTERM")
		_ = processes[0].Wait()
		d.record.note("vm 0 has ended")
		time.Sleep(restartDelay)
		if err := d.startVM(0, []string{"norte"}, "norte", []int{0, 1, 2}); err != nil {
			return false, err
		}
	}
	streams.Wait()
	d.record.note("vm 0, streams sent from %s to %s: %d complete, %d refused or not taken, %d broken off within %v, %d later", stamp(from), stamp(end), counts.complete, counts.refused, counts.broken, judged, counts.later)
	if counts.complete == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return counts.broken > 0, nil
}

// add counts a stream. Only those count as broken off of which the client has the last piece, so that their replica had nothing left to send, and
// whose channel has ended within the time after SIGTERM at from that the rule names.
func (s *streamCounts) add(d *deployment, a *answer, from time.Time) {
	whole := a.status == http.StatusOK && a.body == wholeBody("", a.id, streamPieces, true)
	switch {
	case whole && a.complete:
		s.complete++
	case whole && a.endedAt.Sub(from) <= judged:
		s.broken++
		d.record.note("LOST broken: stream %s, sent %v and cut %v after SIGTERM, has all pieces and no end: %v", a.id,
			a.sentAt.Sub(from).Round(time.Millisecond), a.endedAt.Sub(from).Round(time.Millisecond), a.err)
	case whole:
		s.later++
	default:
		s.refused++
	}
}

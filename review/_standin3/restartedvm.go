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
	// streamPieces and streamGap make a stream last 2 s.
	streamPieces = 10
	streamGap    = 200 * time.Millisecond
	// streamInterval is the time between two streams at a VM.
	streamInterval = 100 * time.Millisecond
	// warmUp is the time for which streams are sent before anything is judged, so that the VMs have run for a while.
	warmUp = 30 * time.Second
	// grace is grace_s of the settings, and judged the time after SIGTERM for which requests count, as the rule says.
	grace, judged = 8 * time.Second, grace + time.Second
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
)

// streamCounts counts the streams that one VM has taken from clients, since the time at which they are judged.
type streamCounts struct {
	complete, broken, refused int
}

// playRestartedVM stops a VM with SIGTERM, and starts it again, while sound replicas answer streams. Two of five replicas answer without a
// length. A stream that a replica has sent completely must not be broken off.
func playRestartedVM(d *deployment, trouble bool) (bool, error) {
	const key = "i9n73hh2b9wu3fexd9dn"
	stream := route("r-stream", "/stream/", "streaming", "redator", 15000, 2, false)
	stream["resumable"] = true
	d.putConfig(map[string]any{
		"version": 7, "routes": []any{stream}, "services": []any{service("redator", 370)},
		"limits": limits, "tenants": []any{tenant("huka270", key)},
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
					counts.add(d, &a, a.sentAt.Sub(from))
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
	d.record.note("vm 0, streams sent from %s to %s: %d complete, %d refused or not taken, %d broken off", stamp(from), stamp(end), counts.complete, counts.refused, counts.broken)
	if counts.complete == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return counts.broken > 0, nil
}

// add counts a stream that was sent a time after the start of what is judged. Only those count as broken off of which the client has the last
// piece: their replica had nothing left to send.
func (s *streamCounts) add(d *deployment, a *answer, after time.Duration) {
	whole := wholeBody("", a.id, streamPieces, true)
	switch {
	case a.status == http.StatusOK && a.complete && a.body == whole:
		s.complete++
	case a.status == http.StatusOK && a.body == whole:
		s.broken++
		d.record.note("LOST broken: stream %s, sent %v after SIGTERM, has all pieces and was then broken off: %v", a.id, after.Round(time.Millisecond), a.err)
	default:
		s.refused++
		d.record.note("vm 0: %s, sent %v after SIGTERM: %v %.80q", a.String(), after.Round(time.Millisecond), a.err, a.body)
	}
}

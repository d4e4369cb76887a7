package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleyhatch/standin/faultlink"
)

const (
	// cutReplicas of replicas are behind the cut: a share of 0.1.
	cutReplicas, replicas = 1, 10
	// cutTime is the length of the cut. crashAfter and backAfter are the times after its start at which the replica crashes and is back.
	cutTime, crashAfter, backAfter = 1800 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond
	// rebornRounds is the number of cuts, and rebornRequests the number of requests that run during each.
	rebornRounds, rebornRequests = 3, 40
)

// playReborn cuts a replica off from all machines while it runs requests whose answers have no length. Behind the cut it crashes and starts again
// under its id. When the cut heals, the end of the channel arrives that the crash has left. Such an answer has ended early and must not look
// complete.
func playReborn(d *deployment, trouble bool) (bool, error) {
	const key = "key-of-review"
	d.putConfig(map[string]any{
		"version": 7,
		"routes": []any{
			route("r-order", "/sinal/", "unsafe", "balcao", 4000, 1, false),
			route("r-stream", "/stream/", "streaming", "balcao", 4000, 1, false),
		},
		"services": []any{service("balcao", 110)},
		"limits":   limits, "tenants": []any{tenant("tenant-of-review", key)},
	})
	args := []string{"-pieces", fmt.Sprint(leavingPieces), "-gap", leavingGap.String(), "-unsized"}
	for i := cutReplicas; i < replicas; i++ {
		if _, err := d.startReplica(i, fmt.Sprintf("i-stays%d", i), "balcao", "norte", args...); err != nil {
			return false, err
		}
	}
	// The VMs reach the replica through a link that holds back data, ends and new channels while it is cut.
	const id, index = "i-reborn", 0
	link, err := faultlink.Listen(fmt.Sprintf("%s200:%d", d.network, portReplica), faultlink.Settings{
		Target: d.replicaAddress(index), HoldsCloses: true,
	})
	if err != nil {
		return false, err
	}
	defer link.Close()
	process, err := d.startReplica(index, id, "balcao", "norte", args...)
	if err != nil {
		return false, err
	}
	d.change(id, map[string]any{"address": link.Address()})
	for i := range 2 {
		if err := d.startVM(i, []string{"norte"}, "norte", []int{0, 1}); err != nil {
			return false, err
		}
	}
	if err := d.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	broken, served := 0, 0
	for round := range rebornRounds {
		time.Sleep(7 * time.Second) // The replica counts as usable again, and all machines are in touch.
		answers := d.sendRound(round, key)
		time.Sleep(300 * time.Millisecond)
		if trouble {
			link.SetFault(faultlink.Silent)
			if err := link.Hang(); err != nil {
				return false, err
			}
			d.record.note("the path between %s and all machines is cut", id)
			time.Sleep(crashAfter)
			_ = process.Process.Signal(syscall.SIGKILL)
			_ = process.Wait()
			d.record.note("replica %s crashes behind the cut", id)
			time.Sleep(backAfter - crashAfter)
			if process, err = d.restartReplica(index, id, args...); err != nil {
				return false, err
			}
			d.change(id, map[string]any{"born": time.Now().UnixMilli()})
			d.record.note("replica %s is back under its id, and its entry has the new born", id)
			time.Sleep(cutTime - backAfter)
			link.ClearFault(faultlink.Silent)
			if err := link.Answer(); err != nil {
				return false, err
			}
			d.record.note("the cut has healed")
		}
		for a := range answers {
			whole := wholeBody("", a.id, leavingPieces, strings.Contains(a.body, "data:"))
			if a.status/100 != 2 || !a.complete {
				continue
			}
			served++
			if a.body != whole {
				broken++
				d.record.note("MIXED broken: request %s has a success that looks complete, with %d of %d bytes: %q", a.id, len(a.body), len(whole), lastLine(a.body))
			}
		}
	}
	d.record.note("%d complete successes, %d of them without the whole body", served, broken)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return broken > 0, nil
}

// sendRound sends the requests of a round at once, to the VMs in turn.
func (d *deployment) sendRound(round int, key string) <-chan answer {
	c := d.newClient()
	answers := make(chan answer, rebornRequests)
	var wait sync.WaitGroup
	for i := range rebornRequests {
		path := "/sinal/2f"
		if i/2%2 == 1 {
			path = "/stream/2f"
		}
		vm := d.vms[i%len(d.vms)]
		wait.Go(func() { answers <- c.send(vm, http.MethodPost, path, key, 4*time.Second) })
		time.Sleep(2 * time.Millisecond)
	}
	d.record.note("round %d: %d requests are sent", round+1, rebornRequests)
	go func() {
		wait.Wait()
		close(answers)
	}()
	return answers
}

// Command standin2 plays the cases of the second review: a store, replicas and clients on loopback addresses around VMs of the project that run as
// processes. It exits with 1 if a rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase is the time after which a case is given up.
const longestCase = 110 * time.Second

// cases holds the cases by name. A case reports whether its rule was broken. trouble is not set for the run without the disruption.
var cases = map[string]func(d *deployment, trouble bool) (broken bool){
	"drain":  playDrain,
	"poison": playPoison,
}

// running is the deployment of the case, whose VMs end with this process.
var running struct {
	mu sync.Mutex
	d  *deployment
}

// exit ends all VMs and this process.
func exit(code int) {
	running.mu.Lock() // Held to the end: only one exit counts.
	if running.d != nil {
		running.d.stopAll()
	}
	os.Exit(code)
}

// fatal ends a case that cannot run.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	exit(exitNotRun)
}

// runLimits ends the case when this process is told to end, or the case takes too long.
func runLimits() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	select {
	case s := <-signals:
		fatal("ended by %v", s)
	case <-time.After(longestCase):
		fatal("the case takes longer than %v", longestCase)
	}
}

func main() {
	program := flag.String("program", "target/parsleyhatch", "program of the VMs")
	dir := flag.String("dir", "", "temporary folder for settings and logs")
	recordPath := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil || *dir == "" || *recordPath == "" {
		fatal("usage: standin2 -dir DIR -record FILE [-trouble=false] CASE")
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fatal("%v", err)
	}
	go runLimits()
	d := newDeployment(*program, *dir, rec)
	running.mu.Lock()
	running.d = d
	running.mu.Unlock()
	code := exitHeld
	if play(d, *trouble) {
		code = exitBroken
		rec.add("the rule is broken")
	} else {
		rec.add("the rule held")
	}
	exit(code)
}

// Program review-3 plays the scripted cases 11 to 15 of the review: it runs the store, the replicas and the clients as stand-ins, and
// the VMs as the deploy file starts them.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit is the time after which a case that has not ended counts as not run.
const runLimit = 110 * time.Second

// cases are the functions that play a case. They report whether the rule was broken. trouble is false if the disruption is left out.
var cases = map[string]func(d *deployment, trouble bool) (broken bool, err error){
	"leaving-replica-ends": playLeavingReplica,
	"large-entries":        playLargeEntries,
	"other-writer":         playOtherWriter,
	"reborn":               playReborn,
	"restarted-vm":         playRestartedVM,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		os.Exit(runReplica(os.Args[2:]))
	}
	os.Exit(run())
}

func run() int {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		return exitNotRun
	}
	if _, err := os.Stat("target/parsleyhatch"); err != nil {
		fmt.Fprintln(os.Stderr, errNoBuild)
		return exitNotRun
	}
	d, err := newDeployment(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := play(d, os.Getenv("TROUBLE") != "0")
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	code := exitNotRun
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			d.record.note("could not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
		case r.broken:
			code = exitBroken
		default:
			code = exitHeld
		}
	case <-time.After(runLimit):
		d.record.note("could not run: not ended within %v", runLimit)
	case <-signals:
		d.record.note("could not run: ended from outside")
	}
	d.record.note("exit code %d", code)
	d.close()
	fmt.Printf("exit code %d\n", code)
	return code
}

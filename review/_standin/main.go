// Command standin runs a case of the review: it starts three VMs of the gateway in three regions as processes, with a stand-in for
// the platform's store and stand-ins for replicas, sends requests and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// surroundings are what a case needs besides its replicas and callers.
type surroundings struct {
	system *system
	record *record
	store  *store
}

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

var cases = map[string]func(c *surroundings, trouble bool) (int, error){
	"thirdrun":   runThirdRun,
	"lateanswer": runLateAnswer,
}

func run(name, dir, program string, trouble bool) (int, error) {
	runCase := cases[name]
	if runCase == nil {
		return 2, fmt.Errorf("no case %q", name)
	}
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer file.Close()
	settingsDir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(settingsDir)
	c := &surroundings{record: &record{file: file, start: time.Now()}, store: newStore()}
	address, err := c.store.serve()
	if err != nil {
		return 2, err
	}
	c.system = newSystem(program, settingsDir, address)
	defer c.system.stop()
	done := make(chan struct{})
	defer close(done)
	go runLimit(c.system, settingsDir, done)
	return runCase(c, trouble)
}

// runLimit ends the case if it takes too long or is interrupted.
func runLimit(s *system, settingsDir string, done <-chan struct{}) {
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-done:
		return
	case <-interrupts:
	case <-time.After(timeLimit):
	}
	s.stop()
	_ = os.RemoveAll(settingsDir)
	os.Exit(2)
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER PROGRAM")
		os.Exit(2)
	}
	code, err := run(os.Args[1], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	os.Exit(code)
}

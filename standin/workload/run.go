package workload

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Run is an execution of a stream as its events name it.
type Run struct {
	Service, Version, Request string
	// Name is unique among all executions of a test run.
	Name string
	// After is the Last-Event-Id that the upstream received, zero for none. A faulty upstream may begin with another event than the next.
	After int
}

// EventLines returns the lines of the event with a number, the first one with its id.
func (r *Run) EventLines(n int, s *Shape) []string {
	return []string{
		fmt.Sprintf("id: %d", n), "version: " + r.Version, fmt.Sprintf("run: %s %s %s %d", r.Service, r.Request, r.Name, r.After), "data: " + s.EventData(r.Request, n),
	}
}

// ParseRun parses the line of an event that names its run. The result has no name if the line is incomplete.
func ParseRun(line string) Run {
	fields := strings.Split(line, " ")
	if len(fields) != 4 {
		return Run{Service: fields[0]}
	}
	after, err := strconv.Atoi(fields[3])
	if err != nil {
		return Run{Service: fields[0]}
	}
	return Run{Service: fields[0], Request: fields[1], Name: fields[2], After: after}
}

// ParseLastEventID returns the number in a Last-Event-Id, zero for none.
func ParseLastEventID(value string) int {
	n, _ := strconv.Atoi(value)
	return n
}

// RunNames names the executions of an upstream. The name contains the start of the upstream, since its id may belong to several processes
// in turn.
type RunNames struct {
	prefix string
	count  atomic.Int64
}

// NewRunNames returns the names of an upstream that has started at a time.
func NewRunNames(upstream string, start time.Time) *RunNames {
	return &RunNames{prefix: fmt.Sprintf("%s.%s.", upstream, strconv.FormatInt(start.UnixNano(), 36))}
}

// Next returns the name of the next execution.
func (n *RunNames) Next() string { return n.prefix + strconv.FormatInt(n.count.Add(1), 10) }

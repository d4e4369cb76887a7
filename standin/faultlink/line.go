package faultlink

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// maxDelayed is the number of pieces of data that are on their way in one direction of a connection. It exceeds the 840 pieces of
// 16 KiB that 2,000 Mbit/s carry in 55 ms.
const maxDelayed = 1024

// PassFunc waits until data is due, and reports whether it still arrives.
type PassFunc func(due time.Time) bool

// Line writes data to a connection some time after it was sent, in the order in which it was sent.
type Line struct {
	to      net.Conn
	pass    PassFunc
	queue   chan delayedData
	drained chan struct{}
	failed  atomic.Bool
}

// delayedData is data with the time at which it arrives.
type delayedData struct {
	data []byte
	due  time.Time
}

// NewLine returns a line to a connection.
func NewLine(to net.Conn, pass PassFunc) *Line {
	l := &Line{to: to, pass: pass, queue: make(chan delayedData, maxDelayed), drained: make(chan struct{})}
	go l.run()
	return l
}

// run writes the data until Finish is called.
func (l *Line) run() {
	defer close(l.drained)
	for next := range l.queue {
		if l.failed.Load() {
			continue
		}
		if !l.pass(next.due) {
			l.failed.Store(true)
			continue
		}
		if _, err := l.to.Write(next.data); err != nil {
			l.failed.Store(true)
		}
	}
}

// Write sends data. It fails if earlier data could not be written.
func (l *Line) Write(data []byte, due time.Time) error {
	if l.failed.Load() {
		return net.ErrClosed
	}
	l.queue <- delayedData{data: slices.Clone(data), due: due}
	return nil
}

// Finish waits until all data has arrived, and the end that was sent behind it is due.
func (l *Line) Finish(due time.Time) {
	close(l.queue)
	<-l.drained
	if !l.failed.Load() {
		l.pass(due)
	}
}

// sleepUntil is the PassFunc of a line that is never cut.
func sleepUntil(due time.Time) bool {
	time.Sleep(time.Until(due))
	return true
}

package soak

import (
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// maxDelayed is the number of pieces of data that are on their way in one direction of a connection.
const maxDelayed = 1024

// delayLine writes data to a connection some time after it was sent, in the order in which it was sent.
type delayLine struct {
	to      net.Conn
	queue   chan delayedData
	drained chan struct{}
	failed  atomic.Bool
}

// delayedData is data with the time at which it arrives.
type delayedData struct {
	data    []byte
	arrives time.Time
}

func newDelayLine(to net.Conn) *delayLine {
	l := &delayLine{to: to, queue: make(chan delayedData, maxDelayed), drained: make(chan struct{})}
	go l.run()
	return l
}

// run writes the data until finish is called.
func (l *delayLine) run() {
	defer close(l.drained)
	for next := range l.queue {
		time.Sleep(time.Until(next.arrives))
		if l.failed.Load() {
			continue
		}
		if _, err := l.to.Write(next.data); err != nil {
			l.failed.Store(true)
		}
	}
}

// write sends data. It fails if earlier data could not be written.
func (l *delayLine) write(data []byte, delay time.Duration) error {
	if l.failed.Load() {
		return net.ErrClosed
	}
	l.queue <- delayedData{data: slices.Clone(data), arrives: time.Now().Add(delay)}
	return nil
}

// finish waits until all data has arrived.
func (l *delayLine) finish() {
	close(l.queue)
	<-l.drained
}

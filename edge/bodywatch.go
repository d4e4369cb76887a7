package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"parsleyhatch/memory"
)

// bodyCheckInterval is the interval at which a body is checked for progress, and minSlowChecks the number of checks in a row with too little
// after which it is refused. After a pause of the process the first one fails although bytes have arrived.
const (
	bodyCheckInterval = 500 * time.Millisecond
	minSlowChecks     = 2
)

// bodyWatch ends the read of a body that makes too little progress while the memory for bodies is short.
type bodyWatch struct {
	edge *Edge
	// holder is the workspace whose share the body uses, and announced its length, negative if it is not known.
	holder    string
	announced int64
	// end ends the read.
	end      func()
	received atomic.Int64
	stalled  atomic.Bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// checked is received at the latest check, and slow the number of checks in a row with too little progress.
	checked int64
	slow    int
}

// watchBody returns a watch that calls end once if the body makes too little progress. It must be stopped.
func (e *Edge) watchBody(holder string, announced int64, end func()) *bodyWatch {
	w := &bodyWatch{edge: e, holder: holder, announced: announced, end: end}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(bodyCheckInterval, w.check)
	return w
}

// stop ends the watch. end is not called afterwards.
func (w *bodyWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check ends the read if the latest checks have seen too little progress.
func (w *bodyWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	received := w.received.Load()
	enough := float64(w.edge.clients.limits.MinBodyRate) * bodyCheckInterval.Seconds()
	w.slow++
	if float64(received-w.checked) >= enough {
		w.slow = 0
	}
	w.checked = received
	holds := max(received, w.announced) > memory.UncountedBytes
	if w.slow >= minSlowChecks && holds && w.edge.memory.bodies.IsShort(w.holder) {
		w.stopped = true
		w.stalled.Store(true)
		w.edge.clients.stalledBodies.Add(1)
		w.end()
		return
	}
	w.timer.Reset(bodyCheckInterval)
}

// watchedReader counts what is read of a body.
type watchedReader struct {
	io.Reader
	watch *bodyWatch
}

// Read reads from the body.
func (r watchedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.watch.received.Add(int64(n))
	return n, err
}

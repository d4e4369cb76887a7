package edge

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/vmwire"
)

// BenchmarkControl measures what VMs of one region use without requests: processor time, and frames and bytes sent.
func BenchmarkControl(b *testing.B) {
	for _, vms := range []int{10, 30, 100} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			w := newTestCluster(b, "north")
			w.publishConfig(1, routeJSON("a", "safe", "plain", ""))
			for i := range 80 {
				id := fmt.Sprintf("u%02d", i)
				w.store.Put(platform.UpstreamPrefix+id, `{"service":"engine","address":"127.0.0.1:1","zone":"north-a","slots":64,"state":"ready","sequence":1,"born":1}`)
			}
			for i := range vms {
				w.startVM(fmt.Sprintf("vm%03d", i), "north", false)
			}
			w.waitForMembership()
			time.Sleep(2 * time.Second)
			const interval = 5 * time.Second
			for b.Loop() {
				frames, bytes := w.sent()
				processor := processorTime(b)
				time.Sleep(interval)
				perVM := float64(vms) * interval.Seconds()
				b.ReportMetric(100*(processorTime(b)-processor).Seconds()/perVM, "%core/vm")
				framesAfter, bytesAfter := w.sent()
				b.ReportMetric(float64(framesAfter-frames)/perVM, "frames/s/vm")
				b.ReportMetric(float64(bytesAfter-bytes)/perVM, "B/s/vm")
			}
		})
	}
}

// sent returns the frames and bytes that all VMs have sent to each other.
func (w *testCluster) sent() (frames, bytes int64) {
	for _, v := range w.vms {
		for kind := range vmwire.KindCount {
			f, b := v.Fleet.Endpoint.SentSameRegion.Sent(kind)
			frames, bytes = frames+f, bytes+b
		}
	}
	return frames, bytes
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

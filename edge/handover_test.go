package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"parsleyhatch/version"
	"parsleyhatch/vmwire"
)

// sentReports returns the size of the reports on streams that a VM has sent to VMs of its region, in bytes.
func (v *testVM) sentReports() int64 {
	_, bytes := v.Fleet.Endpoint.SentSameRegion.Sent(int(vmwire.KindStreamsBegan))
	return bytes
}

// Guards against VMs stopped in turn of which each sends the streams of all before it to all others, until its link is full and its
// upstreams seem out of reach; and against streams that are lost when all VMs have been replaced.
func TestVMsStoppedInTurnKeepTheirLinksFree(t *testing.T) {
	t.Parallel()
	const vms, streams = 9, 300
	w := newVersionCluster(t)
	w.addVersion("old", "v1", "north", nil)
	w.addVersion("new", "v2", "north", nil)
	for i := range vms {
		w.startVM(fmt.Sprint("vm", i+1), "north", true)
	}
	w.waitForMembership()
	first := w.vms[0]
	for i := range streams {
		first.Streams.Begin(first.Now(), fmt.Sprint("stream", i), version.Stream{Service: "plain", Version: "v1"})
	}
	first.reportAllStreams()
	isKept := func(v *testVM, n int) bool {
		_, kept := v.Streams.Find(v.Now(), fmt.Sprint("stream", n))
		return kept
	}
	for _, v := range w.vms[1:] {
		w.waitFor("the streams are kept", func() bool { return isKept(v, 0) && isKept(v, streams-1) })
	}
	perCopy := first.sentReports() / (vms - 1)
	for _, v := range append([]*testVM{}, w.vms...) {
		before := v.sentReports()
		v.BeginShutdown(v.Now())
		v.CloseSessions(t.Context())
		v.cancel()
		// Six copies of the streams of another VM are enough. They are sent on SIGTERM and at the end, with a little more about each.
		copies := int64(6)
		if v == first {
			copies = vms - 1
		}
		if sent, most := v.sentReports()-before, 2*copies*perCopy*5/4; sent > most {
			t.Errorf("%s sent %d bytes of reports, at most %d are needed", v.Settings.Name, sent, most)
		}
		w.startVM("later-"+v.Settings.Name, "north", true)
		w.vms = w.vms[1:]
		w.waitForMembership()
	}
	asked := w.vms[vms-1]
	for _, n := range []int{0, streams / 2, streams - 1} {
		if status, body := asked.resumeStream(t, fmt.Sprint("stream", n), 3); status != http.StatusOK {
			t.Errorf("stream %d goes on with %d %q", n, status, body)
		}
	}
}

// Guards against VMs stopped in turn of which each sends the origins of all before it, however old, until the links are full: 31 s pass
// between two stops, so that only the rows of the VM itself and none of those that it has received are within their lifetime.
func TestOriginsExpireWhileVMsStopInTurn(t *testing.T) {
	t.Parallel()
	const vms, rows, pause = 5, 300, streamLifetime/2 + time.Second
	w := newVersionCluster(t)
	for i := range vms {
		w.startVM(fmt.Sprint("vm", i+1), "north", true)
	}
	w.waitForMembership()
	var limit int64
	for i, v := range w.vms[:vms-1] {
		receivers := w.vms[i+1:]
		now, before := v.Now(), v.sentReports()
		for n := range rows {
			v.Origins.Add(now, fmt.Sprint(v.Settings.Name, "-", n), version.Stream{Service: "plain", Version: "v1"})
		}
		v.handOverOrigins(now.Add(pause))
		sent := (v.sentReports() - before) / int64(len(receivers))
		if i == 0 {
			limit = sent + sent/10
		}
		if sent == 0 || sent > limit {
			t.Errorf("%s sent %d bytes to each VM, want up to %d", v.Settings.Name, sent, limit)
		}
		for _, other := range receivers {
			w.waitFor("the rows are kept", func() bool {
				streams, _ := other.Origins.Find(other.Now(), other.Now(), fmt.Sprint(v.Settings.Name, "-", rows-1))
				return len(streams) == 1
			})
		}
	}
}

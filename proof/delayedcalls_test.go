package proof

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/standin"
)

// vmNetwork is a network in which each VM is a place of its own.
type vmNetwork struct {
	t testing.TB
	// oneWay is the delay of the path between two VMs in each direction.
	oneWay time.Duration
	wan    *standin.WAN
}

// place adds the VMs of a configuration to the network.
func (n *vmNetwork) place(file *config.File) {
	places := map[string]string{}
	var links []config.Link
	for i := range file.VMs {
		host, _, err := net.SplitHostPort(file.VMs[i].PeerAddress)
		if err != nil {
			n.t.Fatal(err)
		}
		places[host] = file.VMs[i].Name
		for j := range i {
			links = append(links, config.Link{A: file.VMs[j].Name, B: file.VMs[i].Name, OneWayMillis: float64(n.oneWay.Milliseconds())})
		}
	}
	if n.oneWay == 0 {
		links = nil
	}
	n.wan = standin.NewWAN(places, links)
	n.t.Cleanup(n.wan.Close)
}

// connect makes a VM dial the others over the network.
func (n *vmNetwork) connect(g *gateway.Gateway) {
	g.Endpoint.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
		return n.wan.Dialer(g.Self.Slot, nil)(ctx, address)
	}
}

// startCutFleet starts a fleet in which each path between two VMs can be cut.
func startCutFleet(t testing.TB, vms int) (*callFleet, *standin.WAN) {
	n := &vmNetwork{t: t}
	f := startEditedCallFleet(t, vms, standin.ServiceSettings{SlowTime: time.Second}, n.place, n.connect)
	return f, n.wan
}

// Guards against the refusal of a request of a workspace far below its rate because the VM has no share of its tokens
// and the holders answer late.
func TestLateGrants(t *testing.T) {
	t.Parallel()
	n := &vmNetwork{t: t, oneWay: 75 * time.Millisecond}
	f := startEditedCallFleet(t, 5, standin.ServiceSettings{}, n.place, n.connect)
	for round := range 3 {
		var results []<-chan callAnswer
		var keys []string
		for n := range 20 {
			slot := fmt.Sprintf("norte-%d", n%5+1)
			key := f.keyAt("ticket", slot, fmt.Sprintf("late%d-%d", round, n))
			keys = append(keys, key)
			results = append(results, f.async(context.Background(), slot, key, "deposit"))
		}
		for i, r := range results {
			f.wantCall("late grant", keys[i], <-r, "ok")
		}
	}
}

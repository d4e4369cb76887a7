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

// startDelayedCallFleet starts a fleet in which each VM is a place of its own in the network, with links of the given delay in
// each direction.
func startDelayedCallFleet(t testing.TB, vms int, service standin.ServiceSettings, oneWay time.Duration) (*callFleet, *standin.WAN) {
	var wan *standin.WAN
	perVM := func(file *config.File) {
		places := map[string]string{}
		var links []config.Link
		for i := range file.VMs {
			host, _, err := net.SplitHostPort(file.VMs[i].PeerAddress)
			if err != nil {
				t.Fatal(err)
			}
			places[host] = file.VMs[i].Name
			for j := range i {
				links = append(links, config.Link{A: file.VMs[j].Name, B: file.VMs[i].Name, OneWayMillis: float64(oneWay.Milliseconds())})
			}
		}
		if oneWay == 0 {
			links = nil
		}
		wan = standin.NewWAN(places, links)
		t.Cleanup(wan.Close)
	}
	f := startEditedCallFleet(t, vms, service, perVM, func(g *gateway.Gateway) {
		g.Endpoint.DialFunc = func(ctx context.Context, address string) (net.Conn, error) {
			return wan.Dialer(g.Self.Slot, nil)(ctx, address)
		}
	})
	return f, wan
}

// Guards against the refusal of a request of a workspace far below its rate because the VM has no share of its tokens
// and the holders answer late.
func TestLateGrants(t *testing.T) {
	t.Parallel()
	f, _ := startDelayedCallFleet(t, 5, standin.ServiceSettings{}, 75*time.Millisecond)
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

// startCutFleet starts a fleet in which each path between two VMs can be cut.
func startCutFleet(t testing.TB, vms int) (*callFleet, *standin.WAN) {
	return startDelayedCallFleet(t, vms, standin.ServiceSettings{SlowTime: time.Second}, 0)
}

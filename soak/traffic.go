package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// connectTimeout is the time within which a caller's connection must be established.
const connectTimeout = time.Second

// rate returns the requests per second of a region at a time since the start of its period.
func (r *deploymentRegion) rate(sinceStart time.Duration) float64 {
	factor := 1.0
	for _, l := range r.Levels {
		if l.AtMillis.duration() <= sinceStart {
			factor = l.Factor
		}
	}
	return factor * r.Rate
}

// startPeriod draws the time in the period at which a run begins, so that short runs with different seeds cover all of the period.
func (s *soak) startPeriod(now time.Time) {
	s.periodBegan = now.Add(-time.Duration(s.newRand(200).Float64() * float64(s.deployment.PeriodMillis.duration())))
}

// rateAt returns the requests per second that the callers of a region send at a time.
func (s *soak) rateAt(r *deploymentRegion, now time.Time) float64 {
	return s.deployment.RateScale * r.rate(now.Sub(s.periodBegan)%s.deployment.PeriodMillis.duration())
}

// newCallerClient returns the client of a caller, which keeps its connections or opens one for each request.
func newCallerClient(keepsConnections bool) *http.Client {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: !keepsConnections, MaxIdleConnsPerHost: 4, DisableCompression: true,
	}}
}

// runTraffic sends the requests of a region, which arrive as a Poisson process, until ctx ends. It waits for the last ones.
func (s *soak) runTraffic(ctx context.Context, index int) {
	region := &s.deployment.Regions[index]
	clients, fresh := make([]*http.Client, region.Callers), newCallerClient(false)
	for i := range clients {
		clients[i] = newCallerClient(true)
		defer clients[i].CloseIdleConnections()
	}
	var running sync.WaitGroup
	defer running.Wait()
	rng := s.newRand(201 + uint64(index))
	for n := 0; ; n++ {
		pause := time.Duration(rng.ExpFloat64() / s.rateAt(region, time.Now()) * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c := s.newCall(rng, region.Name, n)
		client := clients[rng.IntN(len(clients))]
		running.Go(func() { s.runCall(ctx, c, client, fresh) })
	}
}

// newCall draws the kind, the key and the VM of a request.
func (s *soak) newCall(rng *rand.Rand, region string, n int) *call {
	route := s.drawRoute(rng)
	key, _ := s.pickKey(rng.IntN(1 << 20))
	return &call{
		id: fmt.Sprintf("%d-%s-%d", s.Seed, region, n), route: route, load: s.load.of(route.Kind), key: key, joinsAttempts: !s.load.raw,
		named: !s.load.split || rng.IntN(2) == 0, vm: s.drawVM(rng, region, nil), rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
		deadline: time.Now().Add(route.DeadlineMillis.duration()), patience: route.PatienceMillis.duration(),
	}
}

// drawRoute draws a route according to the weights.
func (s *soak) drawRoute(rng *rand.Rand) *routeLoad {
	total := 0.0
	for _, r := range s.load.routes {
		total += r.Weight
	}
	at := rng.Float64() * total
	for i := range s.load.routes {
		if at -= s.load.routes[i].Weight; at < 0 {
			return &s.load.routes[i]
		}
	}
	return &s.load.routes[len(s.load.routes)-1]
}

// drawVM draws a VM in use of a region, or of all regions if it is empty, other than one that failed the caller if there is another.
func (s *soak) drawVM(rng *rand.Rand, region string, failed *vmProcess) *vmProcess {
	vms := s.presentVMs(region)
	if len(vms) > 1 {
		vms = slices.DeleteFunc(vms, func(v *vmProcess) bool { return v == failed })
	}
	return vms[rng.IntN(len(vms))]
}

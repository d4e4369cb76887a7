package standin

import (
	"fmt"

	"parsleyhatch/config"
)

// Size is the shape of a generated deployment.
type Size struct {
	Regions, VMs, Upstreams int // VMs and Upstreams are those of one region.
	Workspaces, Models      int
}

// failureDomains is the number of failure domains of a generated region.
const failureDomains = 4

// File generates a configuration of the size. Workspaces are at home in the regions in turn, and the
// secret of a workspace's key has the hash that hash returns. address returns the IP of a VM and the
// address of an upstream, by the numbers of region and entity.
func (s Size) File(vmIP, upstreamAddress func(region, number int) string, hash func(string) string) *config.File {
	f := &config.File{}
	for m := range s.Models {
		f.Routes = append(f.Routes, config.Route{
			Name: fmt.Sprintf("route-%d", m), Kind: config.KindModel, Model: fmt.Sprintf("model-%d", m),
			Selector: fmt.Sprintf("model=model-%d", m), Idempotent: true, Class: config.ClassDraft,
			DeadlineMillis: 30000, MaxTokens: 400,
		})
	}
	for r := range s.Regions {
		region := fmt.Sprintf("region-%02d", r)
		f.Regions = append(f.Regions, config.Region{Name: region})
		for i := range s.VMs {
			ip := vmIP(r, i)
			f.VMs = append(f.VMs, config.VM{
				Name: fmt.Sprintf("%s-vm-%02d", region, i), Region: region,
				FailureDomain: fmt.Sprintf("%s-fd%d", region, i%failureDomains),
				CallerAddress: ip + ":8080", PeerAddress: ip + ":7000",
			})
		}
		for i := range s.Upstreams {
			f.Upstreams = append(f.Upstreams, config.Upstream{
				Name: fmt.Sprintf("%s-engine-%03d", region, i), Kind: config.KindModel, Region: region,
				Address: upstreamAddress(r, i), FailureDomain: fmt.Sprintf("%s-fd%d", region, i%failureDomains),
				Labels: map[string]string{"model": fmt.Sprintf("model-%d", i%s.Models)}, MaxBatch: 32,
			})
		}
	}
	for w := range s.Workspaces {
		name := fmt.Sprintf("workspace-%04d", w)
		f.Workspaces = append(f.Workspaces, config.Workspace{
			Name: name, Home: f.Regions[w%s.Regions].Name, Rate: 5000, Burst: 100000, Weight: 1,
		})
		f.Keys = append(f.Keys, config.Key{ID: name, SHA256: hash(name), Workspace: name})
	}
	return f
}

package soak

import (
	"bytes"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"parsleyhatch/standin/faultlink"
)

const (
	// sharedLinkHost stands in the store for the IP of a VM's links to upstreams. Each VM reads its own IP in its place.
	sharedLinkHost = "link-host"
	// firstLinkPort is the port of the links to the first upstream. It is below the ephemeral port range, so that a link that
	// has refused connections for a while can listen again.
	firstLinkPort = 21001
	// linkPortPrefix is how the ports of all links to upstreams begin, and no others at the IP of a link.
	linkPortPrefix = ":21"
)

// linkUpstream opens the links of all VMs to an upstream.
func (s *soak) linkUpstream(u *registeredUpstream) error {
	for _, v := range s.vms {
		link, err := faultlink.Listen(net.JoinHostPort(v.linkIP, u.linkPort()), faultlink.Settings{
			Target: u.Address(), LocalIP: v.ip, Cuts: &v.hangingCuts, HoldsCloses: s.load.holdsCloses,
		})
		if err != nil {
			return err
		}
		for range v.refusingCuts {
			link.Refuse()
		}
		for range v.hangingCuts.Load() {
			if err := link.Hang(); err != nil {
				return err
			}
		}
		u.links, v.upstreamLinks = append(u.links, link), append(v.upstreamLinks, link)
	}
	return nil
}

// linkPort is the port of the links to the upstream, which is the same for all VMs.
func (u *registeredUpstream) linkPort() string {
	return strconv.FormatInt(firstLinkPort+u.number(), 10)
}

// sharedAddress is the upstream's address as it stands in the store.
func (u *registeredUpstream) sharedAddress() string {
	return net.JoinHostPort(sharedLinkHost, u.linkPort())
}

// shutDown stops the upstream with its links.
func (u *registeredUpstream) shutDown() {
	u.close()
	for _, link := range u.links {
		link.Close()
	}
}

// serveStore answers a VM with the addresses of its own links to upstreams.
func (s *soak) serveStore(w http.ResponseWriter, r *http.Request) {
	if v := s.vmAt(r.RemoteAddr); v != nil {
		v.storeReader.ServeHTTP(w, r)
		return
	}
	s.store.ServeHTTP(w, r)
}

// vmAt returns the VM that connects from an address, or nil.
func (s *soak) vmAt(address string) *vmProcess {
	ip, _, _ := net.SplitHostPort(address)
	if i := slices.IndexFunc(s.vms, func(v *vmProcess) bool { return v.ip == ip }); i >= 0 {
		return s.vms[i]
	}
	return nil
}

// peerRewrite returns the function that changes the data of a connection to a VM. VMs tell each other what the store holds, so the
// receiver gets the addresses of its own links to upstreams. The VM that opened the connection names itself in its first message.
// From then on, the direction is cut while the region of its sender is cut from that of its receiver, or one of them has no power.
func (s *soak) peerRewrite(to *vmProcess) faultlink.RewriteFunc {
	var from atomic.Pointer[vmProcess]
	return func(data []byte, toClient bool) (time.Duration, bool) {
		s.rewriteAddresses(data)
		sender, receiver := from.Load(), to
		if toClient {
			sender, receiver = to, from.Load()
		} else if sender == nil {
			sender = s.firstNamed(data)
			from.Store(sender)
		}
		if receiver != nil {
			s.rewriteLinks(data, receiver)
		}
		if sender == nil || receiver == nil {
			return 0, false
		}
		delay := time.Duration(0)
		if sender.region != receiver.region {
			delay = s.deployment.LinkDelayMillis.duration()
		}
		return delay, sender.dark.Load() || receiver.dark.Load() || s.regionCuts.has(sender.region, receiver.region)
	}
}

// firstNamed returns the VM whose name comes first in the data, or nil.
func (s *soak) firstNamed(data []byte) *vmProcess {
	var first *vmProcess
	for at, i := len(data), 0; i < len(s.vms); i++ {
		if n := bytes.Index(data, []byte(s.vms[i].name)); n >= 0 && n < at {
			first, at = s.vms[i], n
		}
	}
	return first
}

// rewriteLinks replaces the addresses of links to upstreams by those of a VM's own links.
func (s *soak) rewriteLinks(data []byte, receiver *vmProcess) {
	for _, v := range s.vms {
		if v != receiver {
			overwrite(data, v.linkIP+linkPortPrefix, receiver.linkIP+linkPortPrefix)
		}
	}
}

// rewriteAddresses replaces the addresses of VMs by those of the links to them.
func (s *soak) rewriteAddresses(data []byte) {
	for _, v := range s.vms {
		overwrite(data, v.peerAddress, v.peerLink.Address())
	}
}

// overwrite replaces a text by another one of the same length.
func overwrite(data []byte, from, to string) {
	for i := bytes.Index(data, []byte(from)); i >= 0; i = bytes.Index(data, []byte(from)) {
		copy(data[i:], to)
	}
}

// vmAt returns the VM with an IP.
func (h *history) vmAt(ip string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.vmsByIP[ip]
}

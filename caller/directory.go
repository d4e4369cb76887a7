package caller

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"

	"parsleyhatch/gateway"
)

// directoryAnswer lists the VMs to use, best first.
type directoryAnswer struct {
	VMs []directoryVM `json:"vms"`
	// Tickets are idempotency keys for calls that may not be repeated.
	Tickets []string `json:"tickets,omitempty"`
}

type directoryVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
}

// directory serves GET /v1/directory?route=NAME.
func (s *Server) directory(w http.ResponseWriter, r *http.Request) {
	snapshot := s.Gateway.Snapshot()
	if snapshot == nil {
		writeError(w, "", refusal(gateway.Leaving, "this vm has no configuration yet", 0))
		return
	}
	route := snapshot.Routes[r.URL.Query().Get("route")]
	if route == nil {
		writeError(w, "", refusal(gateway.NotFound, "unknown route "+strconv.Quote(r.URL.Query().Get("route")), 0))
		return
	}
	a := admitted{snapshot: snapshot}
	if header := r.Header.Get("Authorization"); len(header) > len("Bearer ") {
		a.key = snapshot.Authenticate(header[len("Bearer "):])
	}
	workspace, out := a.workspace(route)
	if out.Code != gateway.OK {
		writeError(w, "", out)
		return
	}
	allowed := snapshot.AllowedRegions(route, workspace)
	list := s.Gateway.VMs(s.Gateway.Now())
	sort.SliceStable(list, func(i, j int) bool { return list[i].Queue < list[j].Queue })
	var answer directoryAnswer
	for _, home := range []bool{true, false} {
		for _, info := range list {
			usable := info.Alive && info.Ready && !info.Leaving && slices.Contains(allowed, info.Region)
			if usable && (info.Region == workspace.Home) == home {
				answer.VMs = append(answer.VMs, directoryVM{Name: info.Name, Address: info.Address, Region: info.Region})
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

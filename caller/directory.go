package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/gateway"
)

// maxTickets is the maximum number of tickets in one directory response.
const maxTickets = 16

// directoryResponse is the JSON body of a directory response.
type directoryResponse struct {
	// VMs lists the VMs to use, in order of preference.
	VMs []directoryVM `json:"vms"`
	// Tickets are idempotency keys, owned by this VM, for calls that must not be executed twice.
	Tickets []string `json:"tickets,omitempty"`
}

type directoryVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
}

func newDirectoryVMs(vms []*config.VM) []directoryVM {
	var list []directoryVM
	for _, m := range vms {
		list = append(list, directoryVM{Name: m.Name, Address: m.CallerAddress, Region: m.Region})
	}
	return list
}

// directory serves GET /v1/directory?route=NAME&region=REGION&tickets=N.
func (s *Server) directory(w http.ResponseWriter, r *http.Request) {
	response, out := s.directoryResponse(r)
	if out.Code != gateway.OK {
		writeError(w, "", out)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

func (s *Server) directoryResponse(r *http.Request) (directoryResponse, gateway.Outcome) {
	var response directoryResponse
	query := r.URL.Query()
	a := admission{snapshot: s.Gateway.Snapshot()}
	if a.snapshot == nil || s.Gateway.Starting() {
		// A starting VM has not received heartbeats of the other VMs yet and would list only itself.
		return response, refusal(gateway.Leaving, "this vm is starting; ask another one", time.Second)
	}
	route := a.snapshot.Routes[query.Get("route")]
	if route == nil {
		return response, refusal(gateway.NotFound, "unknown route "+strconv.Quote(query.Get("route")), 0)
	}
	if bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		a.key = a.snapshot.Authenticate(bearer)
	}
	workspace, out := a.workspace(route)
	if out.Code != gateway.OK {
		return response, out
	}
	now := s.Gateway.Now()
	response.VMs = newDirectoryVMs(s.Gateway.Directory(now, a.snapshot, route, workspace, query.Get("region")))
	if text := query.Get("tickets"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxTickets {
			return response, refusal(gateway.InvalidRequest, "parameter tickets must be between 0 and "+strconv.Itoa(maxTickets), 0)
		}
		response.Tickets = s.Gateway.Tickets(now, a.snapshot, route, workspace, n)
	}
	return response, gateway.Outcome{}
}

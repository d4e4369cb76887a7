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

// maxTickets bounds the tickets of one directory answer.
const maxTickets = 16

// directoryAnswer lists the VMs to use, best first.
type directoryAnswer struct {
	VMs []directoryVM `json:"vms"`
	// Tickets are idempotency keys for calls that may not be repeated. This VM owns them.
	Tickets []string `json:"tickets,omitempty"`
}

type directoryVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Region  string `json:"region"`
}

func listVMs(vms []*config.VM) []directoryVM {
	var list []directoryVM
	for _, m := range vms {
		list = append(list, directoryVM{Name: m.Name, Address: m.CallerAddress, Region: m.Region})
	}
	return list
}

// directory serves GET /v1/directory?route=NAME&region=REGION&tickets=N.
func (s *Server) directory(w http.ResponseWriter, r *http.Request) {
	answer, out := s.directoryAnswer(r)
	if out.Code != gateway.OK {
		writeError(w, "", out)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Server) directoryAnswer(r *http.Request) (directoryAnswer, gateway.Outcome) {
	var answer directoryAnswer
	query := r.URL.Query()
	a := admitted{snapshot: s.Gateway.Snapshot()}
	if a.snapshot == nil || s.Gateway.Starting() {
		// It has not heard of the other VMs yet and would name itself.
		return answer, refusal(gateway.Leaving, "this vm is starting; ask another one", time.Second)
	}
	route := a.snapshot.Routes[query.Get("route")]
	if route == nil {
		return answer, refusal(gateway.NotFound, "unknown route "+strconv.Quote(query.Get("route")), 0)
	}
	if bearer, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		a.key = a.snapshot.Authenticate(bearer)
	}
	workspace, out := a.workspace(route)
	if out.Code != gateway.OK {
		return answer, out
	}
	now := s.Gateway.Now()
	answer.VMs = listVMs(s.Gateway.Directory(now, a.snapshot, route, workspace, query.Get("region")))
	if text := query.Get("tickets"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxTickets {
			return answer, refusal(gateway.InvalidRequest, "parameter tickets must be between 0 and "+strconv.Itoa(maxTickets), 0)
		}
		answer.Tickets = s.Gateway.Tickets(now, a.snapshot, route, workspace, n)
	}
	return answer, gateway.Outcome{}
}

package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/platform"
	"parsleyhatch/route"
)

const (
	// RouteQueryPath is the path at the metrics endpoint to which operators send a RouteQuery.
	RouteQueryPath = "/route"
	// maxRouteQueryBytes bounds the size of a query, in bytes. A header section of a request has the same bound.
	maxRouteQueryBytes = maxHeaderBytes
	// routeQueryTimeout limits the time to receive a query. It keeps clients from holding connections with bodies that never end.
	routeQueryTimeout = 5 * time.Second
)

// RouteQuery describes a request, so that an operator can ask where it would be sent now. It names the workspace instead of a key.
type RouteQuery struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Workspace is the name of the workspace, empty on public routes.
	Workspace string `json:"workspace,omitempty"`
	// Service is the service that the split of the route selects. It may be empty for routes with one service.
	Service string `json:"service,omitempty"`
	// PromptPrefix and TokenUsage are the values of the request's headers that describe its prompt.
	PromptPrefix string `json:"promptPrefix,omitempty"`
	TokenUsage   string `json:"tokenUsage,omitempty"`
	// DeadlineMillis is the value of the request's deadline header, zero for none.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
}

// queryError is the reason why a query has no answer, with the HTTP status of the response. Its text repeats no value of the query, since an
// operator may have entered a key by mistake.
type queryError struct {
	status int
	text   string
}

// Error returns what is missing or unknown.
func (e *queryError) Error() string { return e.text }

// serveRouteQuery answers a RouteQuery. It logs nothing.
func (e *Edge) serveRouteQuery(w http.ResponseWriter, h *http.Request) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(routeQueryTimeout))
	decoder := json.NewDecoder(http.MaxBytesReader(w, h.Body, maxRouteQueryBytes))
	decoder.DisallowUnknownFields()
	var q RouteQuery
	if err := decoder.Decode(&q); err != nil {
		writeQueryAnswer(w, http.StatusBadRequest, map[string]string{"error": "the query is no JSON object of the known fields"})
		return
	}
	x, err := e.explainRoute(q)
	var unknown *queryError
	if errors.As(err, &unknown) {
		writeQueryAnswer(w, unknown.status, map[string]string{"error": unknown.text})
		return
	}
	writeQueryAnswer(w, http.StatusOK, x)
}

func writeQueryAnswer(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // Fails only if the operator has disconnected.
}

// request returns the request that a query describes. It has no key and no body.
func (q *RouteQuery) request() (*request, error) {
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return nil, &queryError{http.StatusBadRequest, "the host is empty, or the path does not begin with a slash"}
	}
	header := http.Header{}
	for name, value := range map[string]string{platform.HeaderPromptPrefix: q.PromptPrefix, platform.HeaderTokenUsage: q.TokenUsage} {
		if value != "" {
			header.Set(name, value)
		}
	}
	if q.DeadlineMillis > 0 {
		header.Set(platform.HeaderDeadline, strconv.FormatInt(q.DeadlineMillis, 10))
	}
	return &request{callerRequest: callerRequest{method: http.MethodPost, target: q.Path, host: q.Host, header: header, arrived: time.Now()}}, nil
}

// setWorkspace sets the workspace of a request from the query, as authentication does from a key.
func (q *RouteQuery) setWorkspace(t *route.Table, r *request) error {
	switch {
	case !needsKey(t, r.route) && q.Workspace != "":
		return &queryError{http.StatusBadRequest, "requests of route " + r.route.Name + " have no workspace"}
	case !needsKey(t, r.route):
		return nil
	case q.Workspace == "":
		return &queryError{http.StatusBadRequest, "route " + r.route.Name + " needs a workspace"}
	}
	r.workspace = t.Workspace(q.Workspace)
	if r.workspace == nil {
		return &queryError{http.StatusNotFound, fmt.Sprintf("configuration %d has no workspace of that name", t.Config.Version)}
	}
	return nil
}

// setService sets the service of a request, nil if the configuration does not define it. The split of a route selects a service by the id or
// the content of a request, which a query does not have.
func setService(t *route.Table, r *request, name string) error {
	var names []string
	for _, target := range r.route.Split {
		names = append(names, target.Service)
	}
	if name == "" && len(names) == 1 {
		name = names[0]
	}
	if name == "" {
		return &queryError{http.StatusBadRequest, "route " + r.route.Name + " has several services; name one of " + strings.Join(names, ", ")}
	}
	if !r.route.Allows(name) {
		return &queryError{http.StatusNotFound, "route " + r.route.Name + " has no such service; it has " + strings.Join(names, ", ")}
	}
	r.service = t.Service(name)
	return nil
}

package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"parsleyhatch/edge"
)

var routeCommand = command{
	name:    "route",
	summary: "show where a request would go now, and why, without sending it",
	run:     runRoute,
}

func runRoute(e env) int {
	fs := newFlagSet("route")
	metrics := fs.String("metrics", "", "URL or IP:port of the metrics endpoint of a VM that runs the subcommand vm")
	asJSON := fs.Bool("json", false, "print the JSON response")
	q := routeQueryFlags(fs)
	operands, code, done := parseArguments(fs, e, "HOST/PATH")
	if done {
		return code
	}
	if len(operands) != 1 {
		return failf(e, "route", exitUsage, "exactly one request is required; usage: parsleyhatch route -metrics URL HOST/PATH")
	}
	host, path, found := strings.Cut(operands[0], "/")
	if host == "" || !found {
		return failf(e, "route", exitUsage, "the request is not HOST/PATH, as in chat.example/v1/answers")
	}
	q.Host, q.Path = host, "/"+path
	address, err := endpointURL("metrics", *metrics, edge.RouteQueryPath, nil)
	if err != nil {
		return failf(e, "route", exitUsage, "%v", err)
	}
	if err := showRoute(e, address, q, *asJSON); err != nil {
		return failf(e, "route", exitFailed, "%v", err)
	}
	return exitOK
}

// routeQueryFlags defines the flags that describe the request.
func routeQueryFlags(fs *flag.FlagSet) *edge.RouteQuery {
	q := &edge.RouteQuery{}
	fs.StringVar(&q.Workspace, "workspace", "", "name of the request's workspace; not a key")
	fs.StringVar(&q.Service, "service", "", "service that the split of the route selects; required if the route has several")
	fs.StringVar(&q.PromptPrefix, "prompt-prefix", "", "prompt parts as in the request's header: ID:TOKENS, separated by commas")
	fs.StringVar(&q.TokenUsage, "token-usage", "", "token counts as in the request's header: PROMPT,ANSWER")
	fs.Int64Var(&q.DeadlineMillis, "deadline", 0, "deadline of the request in milliseconds; 0 for that of the route")
	return q
}

func showRoute(e env, address string, q *edge.RouteQuery, asJSON bool) error {
	data, err := askRoute(address, q)
	if err != nil {
		return err
	}
	if asJSON {
		return printIndented(e.stdout, data)
	}
	list, err := decodeObject(data)
	if err != nil {
		return err
	}
	for _, f := range list {
		printMember(e.stdout, "", f)
	}
	return nil
}

// askRoute returns the answer of a VM to a query. The query is sent in the body, since URLs appear in logs and error messages.
func askRoute(address string, q *edge.RouteQuery) ([]byte, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: adminTimeout}
	resp, err := client.Post(address, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("-metrics: %w", err)
	}
	data, err := readOperatorPage("metrics", address, resp)
	if err == nil {
		return data, nil
	}
	var answer struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(data, &answer) == nil && answer.Error != "" {
		return nil, errors.New(answer.Error)
	}
	if resp.StatusCode == http.StatusNotFound {
		return nil, fmt.Errorf("-metrics: the process at %s answers no such queries: it is another program or an earlier version", address)
	}
	return nil, err
}

// Package loadgen sends seeded open-loop load to a deployment, validates each response and computes
// the five measures that are described at Measures.
package loadgen

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"parsleyhatch/config"
)

const (
	defaultMaxInFlight    = 500
	defaultMaxAttempts    = 4
	defaultRequestTimeout = time.Minute
)

// Kind is a kind of request.
type Kind string

// Kinds of requests.
const (
	// KindChat is a streamed chat completion.
	KindChat Kind = "chat"
	// KindCall is a service call that must not run more than once.
	KindCall Kind = "call"
	// KindCheck is a service call that may be repeated.
	KindCheck Kind = "check"
)

// RequestType describes one type of request of a workload.
type RequestType struct {
	Name string
	Kind Kind
	// Class is the class under which the report counts the requests, such as config.ClassDraft.
	Class string
	// Route is the name of the route; for KindChat it is also the model.
	Route string
	// Weight is the relative weight of this type in the workload.
	Weight float64
	// SystemPrompts is the number of different system prompts, which all callers share; 0 means no system prompt.
	SystemPrompts int
	// SystemPromptBytes is the length of a system prompt.
	SystemPromptBytes int
	// MaxUserBytes is the maximum length of the user message or of the body of a call.
	MaxUserBytes int
	// MaxTokens limits the tokens of the response; it must not exceed the limit of the route.
	MaxTokens int
	// TicketShare is the share of calls that use a ticket from the directory instead of an idempotency key of their own.
	TicketShare float64
	// CallTokens is the number of tokens that a service call is charged to the caller's workspace. It is 0 for an
	// anonymous call, which is charged to the workspace of the route.
	CallTokens int64
	// Anonymous says that the requests are sent without an API key.
	Anonymous bool
}

// AssociationWorkload returns the workload of the association's deployment.
func AssociationWorkload() []RequestType {
	return []RequestType{
		{Name: "proposal", Kind: KindChat, Class: config.ClassDraft, Route: "redator", Weight: 5,
			SystemPrompts: 6, SystemPromptBytes: 4000, MaxUserBytes: 1200, MaxTokens: 512},
		{Name: "question", Kind: KindChat, Class: config.ClassInteractive, Route: "balcao", Weight: 3,
			SystemPrompts: 1, SystemPromptBytes: 400, MaxUserBytes: 200, MaxTokens: 64},
		{Name: "deposit", Kind: KindCall, Class: "call", Route: "deposit", Weight: 1, MaxUserBytes: 300, TicketShare: 0.7, CallTokens: 10},
		{Name: "confirm", Kind: KindCall, Class: "call", Route: "confirm", Weight: 1, MaxUserBytes: 300, TicketShare: 0.7, CallTokens: 10},
		{Name: "status", Kind: KindCheck, Class: "check", Route: "status", Weight: 2, MaxUserBytes: 60, Anonymous: true},
	}
}

// RegistryWorkload returns the workload of the registry's deployment.
func RegistryWorkload() []RequestType {
	return []RequestType{
		{Name: "dossier", Kind: KindChat, Class: config.ClassDraft, Route: "parsley-pool", Weight: 2,
			SystemPrompts: 4, SystemPromptBytes: 4000, MaxUserBytes: 2000, MaxTokens: 384},
		{Name: "lookup", Kind: KindChat, Class: config.ClassInteractive, Route: "counter-app", Weight: 6,
			SystemPrompts: 1, SystemPromptBytes: 300, MaxUserBytes: 120, MaxTokens: 32},
		{Name: "filing", Kind: KindCall, Class: "call", Route: "filing", Weight: 1, MaxUserBytes: 600, TicketShare: 0.7, CallTokens: 10},
		{Name: "status", Kind: KindCheck, Class: "check", Route: "status", Weight: 2, MaxUserBytes: 60, Anonymous: true},
	}
}

// Workspace describes the load of one workspace.
type Workspace struct {
	Name string
	// Key is the API key, sent as bearer token.
	Key string
	// Region is the region of its callers.
	Region string
	// RequestsPerSecond is the mean arrival rate.
	RequestsPerSecond float64
	// Rate (tokens per second) and Burst (tokens) are the configured limits. They determine which refusals count
	// as refusals within the rate. A Rate of 0 means that all requests are within the rate.
	Rate, Burst int64
}

// WorkspacesFromConfig returns the workspaces of a configuration that have a key. The requests per second are
// divided among them in proportion to the configured rates.
func WorkspacesFromConfig(f *config.File, keys map[string]string, requestsPerSecond float64) []Workspace {
	var list []Workspace
	total := 0.0
	for _, w := range f.Workspaces {
		if keys[w.Name] == "" {
			continue
		}
		total += float64(w.Rate)
		list = append(list, Workspace{Name: w.Name, Key: keys[w.Name], Region: w.Home, Rate: w.Rate, Burst: w.Burst})
	}
	for i := range list {
		list[i].RequestsPerSecond = requestsPerSecond * float64(list[i].Rate) / total
	}
	return list
}

// ParseKeys parses a list of API keys and returns them by workspace; each line is "workspace ph_<id>_<secret>".
func ParseKeys(data []byte) (map[string]string, error) {
	keys := map[string]string{}
	for i, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		fields := strings.Fields(line)
		if len(fields) != 2 {
			return nil, fmt.Errorf("keys line %d: want a workspace and a key", i+1)
		}
		keys[fields[0]] = fields[1]
	}
	return keys, nil
}

// Settings configures a run.
type Settings struct {
	// DirectoryAddresses are the caller addresses (IP:port) of the VMs from which the directory is requested.
	DirectoryAddresses []string
	Workspaces         []Workspace
	RequestTypes       []RequestType
	// Duration is the time in which requests arrive. The run ends when all requests have ended.
	Duration time.Duration
	Seed     uint64
	// MaxInFlight limits the requests in flight; a request that arrives above the limit is not sent and counts
	// as dropped. 0 means 500.
	MaxInFlight int
	// MaxAttempts limits the attempts for one request. 0 means 4.
	MaxAttempts int
	// RequestTimeout limits the time of one request with all its attempts. 0 means one minute.
	RequestTimeout time.Duration
	// DialFunc opens connections; nil means plain TCP.
	DialFunc func(ctx context.Context, address string) (net.Conn, error)
	// UpstreamTokens returns the number of prompt and completion tokens that all engines have processed so far;
	// nil means that the token cost is not measured.
	UpstreamTokens func() int64
}

func (s *Settings) prepare() error {
	if len(s.DirectoryAddresses) == 0 || len(s.Workspaces) == 0 || len(s.RequestTypes) == 0 {
		return fmt.Errorf("load needs entries, workspaces and work")
	}
	if s.MaxInFlight <= 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.MaxAttempts <= 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	if s.RequestTimeout <= 0 {
		s.RequestTimeout = defaultRequestTimeout
	}
	return nil
}

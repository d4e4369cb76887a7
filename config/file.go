// Package config defines the operators' configuration: its entities, parsing, validation, splitting
// into parts, and immutable snapshots.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// Kinds of routes and upstreams.
const (
	KindModel   = "model"
	KindService = "service"
)

// Classes of requests.
const (
	ClassInteractive = "interactive"
	ClassDraft       = "draft"
)

// States of an upstream.
const (
	StateActive   = "active"
	StateDraining = "draining"
)

// File is a configuration, or a part of one: parts are merged by appending their sections.
type File struct {
	Regions    []Region    `json:"regions,omitempty"`
	Links      []Link      `json:"links,omitempty"`
	VMs        []VM        `json:"vms,omitempty"`
	Routes     []Route     `json:"routes,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Keys       []Key       `json:"keys,omitempty"`
	Upstreams  []Upstream  `json:"upstreams,omitempty"`
	Placements []Placement `json:"placements,omitempty"`
}

// Region is a set of failure domains that are close to each other.
type Region struct {
	// Name is unique.
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
}

// Link is the network between two regions.
type Link struct {
	// A and B name two different regions; there is at most one link for a pair.
	A string `json:"a"`
	B string `json:"b"`
	// MegabitsPerSecond is the bandwidth in each direction, above zero.
	MegabitsPerSecond float64 `json:"megabitsPerSecond"`
	// OneWayMillis is the delay in one direction, in milliseconds.
	OneWayMillis float64 `json:"oneWayMillis"`
}

// VM is a slot of the roster, the list of configured VMs: a process that may serve callers.
type VM struct {
	// Name is the unique name of the slot.
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the IP:port that callers connect to.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is the IP:port that other VMs connect to.
	PeerAddress string `json:"peerAddress"`
}

// Route maps requests to upstreams.
type Route struct {
	// Name is unique.
	Name string `json:"name"`
	// Kind is KindModel or KindService.
	Kind string `json:"kind"`
	// Model is the model name in requests. It is set for model routes only and unique among them.
	Model string `json:"model,omitempty"`
	// Selector selects the upstreams by their labels.
	Selector string `json:"selector"`
	// Regions are the regions that may run requests of the route; empty means all.
	Regions []string `json:"regions,omitempty"`
	// HomeBound restricts each request to the home region of its workspace.
	HomeBound bool `json:"homeBound,omitempty"`
	// Open admits callers without a key. Their requests are charged to Workspace.
	Open bool `json:"open,omitempty"`
	// Workspace is set if and only if Open is.
	Workspace string `json:"workspace,omitempty"`
	// Idempotent allows a call to be repeated. Model routes are always idempotent.
	Idempotent bool `json:"idempotent"`
	// Class is ClassInteractive or ClassDraft.
	Class string `json:"class"`
	// DeadlineMillis is the longest time from the arrival of a request to the first byte of its
	// response, in milliseconds, above zero.
	DeadlineMillis int64 `json:"deadlineMillis"`
	// MinBytesPerToken is a lower bound of the prompt bytes per token. The admission charge divides
	// the prompt's size by it. Zero means 1, which never undercharges.
	MinBytesPerToken float64 `json:"minBytesPerToken,omitempty"`
	// MaxTokens is the upper limit of the tokens in a response of a model route, and the default for
	// requests that state no limit.
	MaxTokens int64 `json:"maxTokens,omitempty"`
	// CallTokens is the charge for one service call, in tokens.
	CallTokens int64 `json:"callTokens,omitempty"`
}

// Deadline returns DeadlineMillis as a duration.
func (r *Route) Deadline() time.Duration {
	return time.Duration(r.DeadlineMillis) * time.Millisecond
}

// Workspace is a customer with its limits.
type Workspace struct {
	// Name is unique.
	Name string `json:"name"`
	// Home is the name of the workspace's home region.
	Home string `json:"home"`
	// Rate is the rate limit over all VMs, in tokens per second, above zero.
	Rate int64 `json:"rate"`
	// Burst is the token bucket size over all VMs, in tokens, above zero.
	Burst int64 `json:"burst"`
	// Weight is the workspace's share under contention relative to other workspaces, above zero.
	Weight int64 `json:"weight"`
	// RegionShares divides Rate and Burst among regions; the values add up to at most 1. If it is
	// empty, the home region has all of both.
	RegionShares map[string]float64 `json:"regionShares,omitempty"`
}

// Key is a caller's credential. The secret itself is never stored.
type Key struct {
	// ID is unique and not secret.
	ID string `json:"id"`
	// SHA256 is the SHA-256 of the secret, in hexadecimal.
	SHA256    string `json:"sha256"`
	Workspace string `json:"workspace"`
	// Withdrawn revokes the key: requests with it are rejected and its running streams are aborted.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Upstream is a model engine replica or a plain service.
type Upstream struct {
	// Name is unique.
	Name string `json:"name"`
	// Kind is KindModel or KindService.
	Kind          string `json:"kind"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Labels are matched by the selectors of routes and placements.
	Labels map[string]string `json:"labels"`
	// ChecksFencing is set if the upstream rejects orders whose fencing number is outdated.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// State is StateActive or StateDraining; empty means active.
	State string `json:"state,omitempty"`
	// MaxBatch is the number of requests that the upstream runs concurrently, above zero.
	MaxBatch int `json:"maxBatch"`
}

// Placement defines the model that the selected engines may be ordered to run. No engine is ordered to
// run a model that has no placement.
type Placement struct {
	// Name is unique.
	Name string `json:"name"`
	// Model is the model of a route. It is unique among placements.
	Model string `json:"model"`
	// Version is the version of the model; if it is empty, the engine chooses.
	Version string `json:"version,omitempty"`
	// Adapters are the adapters that are loaded with the model.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the role of the engines; empty is the engine's default.
	Role string `json:"role,omitempty"`
	// Selector selects the engines that may run the model by their labels.
	Selector string `json:"selector"`
	// MinReplicas is the number of replicas that each region keeps: with fewer, none is switched to
	// another model.
	MinReplicas int `json:"minReplicas,omitempty"`
}

// Parse decodes a configuration. An unknown field is an error, since a misspelt field would otherwise
// be ignored silently.
func Parse(data []byte) (*File, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var f File
	if err := dec.Decode(&f); err != nil {
		return nil, fmt.Errorf("parse configuration: %w", err)
	}
	if dec.More() {
		return nil, fmt.Errorf("parse configuration: data after the document")
	}
	return &f, nil
}

// Merge appends the sections of part to f.
func (f *File) Merge(part *File) {
	f.Regions = append(f.Regions, part.Regions...)
	f.Links = append(f.Links, part.Links...)
	f.VMs = append(f.VMs, part.VMs...)
	f.Routes = append(f.Routes, part.Routes...)
	f.Workspaces = append(f.Workspaces, part.Workspaces...)
	f.Keys = append(f.Keys, part.Keys...)
	f.Upstreams = append(f.Upstreams, part.Upstreams...)
	f.Placements = append(f.Placements, part.Placements...)
}

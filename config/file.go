// Package config holds the operators' configuration: entities, parsing, validation and snapshots.
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

// Region is a set of failure domains close to each other.
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

// VM is a slot of the roster: a process that may serve callers.
type VM struct {
	// Name is the slot's unique name.
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is where callers connect, IP:port.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is where other VMs connect, IP:port.
	PeerAddress string `json:"peerAddress"`
}

// Route maps requests to upstreams.
type Route struct {
	// Name is unique.
	Name string `json:"name"`
	// Kind is KindModel or KindService.
	Kind string `json:"kind"`
	// Model is what callers put into the model field; unique over model routes.
	Model string `json:"model,omitempty"`
	// Selector picks the upstreams by their labels.
	Selector string `json:"selector"`
	// Regions are the regions that may run the route; empty means all.
	Regions []string `json:"regions,omitempty"`
	// HomeBound restricts each request to the home region of its workspace.
	HomeBound bool `json:"homeBound,omitempty"`
	// Open admits callers without a key; they are charged to Workspace.
	Open bool `json:"open,omitempty"`
	// Workspace is set if and only if Open is.
	Workspace string `json:"workspace,omitempty"`
	// Idempotent says that a call may be repeated. Model routes are always idempotent.
	Idempotent bool `json:"idempotent"`
	// Class is ClassInteractive or ClassDraft.
	Class string `json:"class"`
	// DeadlineMillis is the longest time from arrival to the first byte of the answer, above zero.
	DeadlineMillis int64 `json:"deadlineMillis"`
	// MinBytesPerToken is a lower bound of the prompt bytes a token takes; the admission charge
	// divides by it. Zero means 1, which is always safe.
	MinBytesPerToken float64 `json:"minBytesPerToken,omitempty"`
	// MaxTokens caps the answer's tokens, and is the default where the caller names none.
	MaxTokens int64 `json:"maxTokens,omitempty"`
	// CallTokens is the charge of one service call, in tokens.
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
	// Home names the workspace's region.
	Home string `json:"home"`
	// Rate is in tokens a second over all VMs, above zero.
	Rate int64 `json:"rate"`
	// Burst is in tokens over all VMs, above zero.
	Burst int64 `json:"burst"`
	// Weight is the share under contention relative to other workspaces, above zero.
	Weight int64 `json:"weight"`
	// RegionShares divides rate and burst over regions; the values add up to at most 1.
	// Empty means everything at home.
	RegionShares map[string]float64 `json:"regionShares,omitempty"`
}

// Key is a caller's credential. The secret itself is never stored.
type Key struct {
	// ID is unique and public.
	ID string `json:"id"`
	// SHA256 is the hex SHA-256 of the secret.
	SHA256    string `json:"sha256"`
	Workspace string `json:"workspace"`
	// Withdrawn keys are refused, and cut running streams.
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
	// Labels are what route selectors match.
	Labels map[string]string `json:"labels"`
	// ChecksFencing says that the upstream refuses orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// State is StateActive or StateDraining; empty means active.
	State string `json:"state,omitempty"`
	// MaxBatch is the number of requests that the engine runs at once, above zero.
	MaxBatch int `json:"maxBatch"`
}

// Placement says what the engines that it selects may be ordered to run. A model without a placement
// is never ordered.
type Placement struct {
	// Name is unique.
	Name string `json:"name"`
	// Model is unique over placements, and the model of a route.
	Model string `json:"model"`
	// Version is the version of the model; empty leaves it to the engine.
	Version string `json:"version,omitempty"`
	// Adapters are loaded with the model.
	Adapters []string `json:"adapters,omitempty"`
	// Role is the role of the engines; empty is the engine's default.
	Role string `json:"role,omitempty"`
	// Selector picks by their labels the engines that may run the model.
	Selector string `json:"selector"`
	// MinReplicas is the number of replicas in each region below which none moves to another model.
	MinReplicas int `json:"minReplicas,omitempty"`
}

// Parse decodes a configuration. An unknown field is an error, since it would otherwise be
// ignored silently.
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

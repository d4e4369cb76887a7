package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"parsleyhatch/selector"
)

// Version orders configurations: by Number, then by Digest, so that two configurations published
// with one number are ordered the same way at every VM.
type Version struct {
	Number uint64 `json:"number"`
	// Digest is the hex SHA-256 over the digests of the parts, in sorted order.
	Digest string `json:"digest"`
}

// After reports whether v is strictly later than o.
func (v Version) After(o Version) bool {
	if v.Number != o.Number {
		return v.Number > o.Number
	}
	return v.Digest > o.Digest
}

// Tag returns the first 8 bytes of the digest, zero if it is not hexadecimal.
func (v Version) Tag() uint64 {
	if len(v.Digest) < 16 {
		return 0
	}
	tag, err := strconv.ParseUint(v.Digest[:16], 16, 64)
	if err != nil {
		return 0
	}
	return tag
}

// Before reports whether v is earlier than the version with the number and the tag.
func (v Version) Before(number, tag uint64) bool {
	if v.Number != number {
		return v.Number < number
	}
	return v.Tag() < tag
}

// String returns the number and the start of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d-%.8s", v.Number, v.Digest)
}

// Head is the value that names a version and its parts.
type Head struct {
	Version Version `json:"version"`
	// Parts are the hex SHA-256 digests of the parts' bytes.
	Parts []string `json:"parts"`
}

// NewHead computes the head of a list of parts.
func NewHead(number uint64, parts [][]byte) Head {
	h := Head{Version: Version{Number: number}}
	for _, p := range parts {
		h.Parts = append(h.Parts, PartDigest(p))
	}
	h.Version.Digest = headDigest(h.Parts)
	return h
}

// Consistent reports whether the version's digest matches the list of parts.
func (h Head) Consistent() bool { return h.Version.Digest == headDigest(h.Parts) }

// PartDigest returns the hex SHA-256 of a part's bytes.
func PartDigest(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:])
}

func headDigest(parts []string) string {
	sorted := slices.Clone(parts)
	sort.Strings(sorted)
	sum := sha256.Sum256([]byte(strings.Join(sorted, "\n")))
	return hex.EncodeToString(sum[:])
}

// Snapshot is a validated configuration with indexes. It is immutable.
type Snapshot struct {
	Version Version
	Head    Head
	// Parts holds the bytes of each part by digest, for VMs that ask for them.
	Parts map[string][]byte
	File  *File

	Workspaces map[string]*Workspace
	Keys       map[string]*Key
	Routes     map[string]*Route
	// Models maps the model name that callers use to its route.
	Models    map[string]*Route
	VMs       map[string]*VM
	Upstreams map[string]*Upstream
	// RouteUpstreams lists the upstreams that a route's selector picks, by route name.
	RouteUpstreams map[string][]*Upstream
	// Placements maps a model to its placement.
	Placements map[string]*Placement
	// Links maps an ordered pair of region names to the link between them.
	Links map[[2]string]*Link

	// parsed holds the decoded parts by digest; it is nil for a snapshot without parts. The parts
	// are shared with later snapshots and never modified.
	parsed map[string]*File
}

// Assemble merges parts, validates the result as a whole and builds its snapshot.
func Assemble(head Head, parts map[string][]byte) (*Snapshot, []Problem) {
	return AssembleAfter(nil, head, parts)
}

// AssembleAfter is Assemble for a VM that already has a snapshot: parts with a digest that previous
// contains are neither hashed nor parsed again, and need not be in parts. previous may be nil.
func AssembleAfter(previous *Snapshot, head Head, parts map[string][]byte) (*Snapshot, []Problem) {
	if !head.Consistent() {
		return nil, []Problem{{Path: "head", Message: "digest does not match the list of parts"}}
	}
	kept := make(map[string][]byte, len(head.Parts))
	parsed := make(map[string]*File, len(head.Parts))
	list := make([]*File, 0, len(head.Parts))
	for i, digest := range head.Parts {
		data, part := previous.part(digest)
		if part == nil {
			var err error
			data = parts[digest]
			if part, err = parsePart(digest, data); err != nil {
				return nil, []Problem{{Path: fmt.Sprintf("parts[%d]", i), Message: err.Error()}}
			}
		}
		kept[digest], parsed[digest] = data, part
		list = append(list, part)
	}
	s, problems := NewSnapshot(mergeAll(list))
	if len(problems) > 0 {
		return nil, problems
	}
	s.Version, s.Head, s.Parts, s.parsed = head.Version, head, kept, parsed
	return s, nil
}

// part returns a part of the snapshot by digest, or nil. The receiver may be nil.
func (s *Snapshot) part(digest string) ([]byte, *File) {
	if s == nil || s.parsed == nil {
		return nil, nil
	}
	return s.Parts[digest], s.parsed[digest]
}

func parsePart(digest string, data []byte) (*File, error) {
	if PartDigest(data) != digest {
		return nil, fmt.Errorf("bytes do not match digest %s", digest)
	}
	if len(data) > MaxPartBytes {
		return nil, fmt.Errorf("%d bytes, above the limit of %d that other VMs can be sent", len(data), MaxPartBytes)
	}
	return Parse(data)
}

// mergeAll merges parts into a new file, whose sections are allocated once at their final size.
func mergeAll(parts []*File) *File {
	var upstreams, workspaces, keys int
	for _, p := range parts {
		upstreams += len(p.Upstreams)
		workspaces += len(p.Workspaces)
		keys += len(p.Keys)
	}
	f := &File{
		Upstreams:  make([]Upstream, 0, upstreams),
		Workspaces: make([]Workspace, 0, workspaces),
		Keys:       make([]Key, 0, keys),
	}
	for _, p := range parts {
		f.Merge(p)
	}
	return f
}

// NewSnapshot validates a file and indexes it. The version is left zero.
func NewSnapshot(f *File) (*Snapshot, []Problem) {
	if problems := f.Validate(); len(problems) > 0 {
		return nil, problems
	}
	s := &Snapshot{
		File:           f,
		Workspaces:     make(map[string]*Workspace, len(f.Workspaces)),
		Keys:           make(map[string]*Key, len(f.Keys)),
		Routes:         make(map[string]*Route, len(f.Routes)),
		Models:         make(map[string]*Route, len(f.Routes)),
		VMs:            make(map[string]*VM, len(f.VMs)),
		Upstreams:      make(map[string]*Upstream, len(f.Upstreams)),
		RouteUpstreams: make(map[string][]*Upstream, len(f.Routes)),
		Placements:     make(map[string]*Placement, len(f.Placements)),
		Links:          make(map[[2]string]*Link, 2*len(f.Links)),
	}
	s.index()
	return s, nil
}

func (s *Snapshot) index() {
	f := s.File
	for i := range f.Workspaces {
		s.Workspaces[f.Workspaces[i].Name] = &f.Workspaces[i]
	}
	for i := range f.Keys {
		s.Keys[f.Keys[i].ID] = &f.Keys[i]
	}
	for i := range f.VMs {
		s.VMs[f.VMs[i].Name] = &f.VMs[i]
	}
	for i := range f.Upstreams {
		s.Upstreams[f.Upstreams[i].Name] = &f.Upstreams[i]
	}
	for i := range f.Links {
		l := &f.Links[i]
		s.Links[[2]string{l.A, l.B}] = l
		s.Links[[2]string{l.B, l.A}] = l
	}
	for i := range f.Placements {
		s.Placements[f.Placements[i].Model] = &f.Placements[i]
	}
	for i := range f.Routes {
		s.indexRoute(&f.Routes[i])
	}
}

func (s *Snapshot) indexRoute(r *Route) {
	s.Routes[r.Name] = r
	if r.Kind == KindModel {
		s.Models[r.Model] = r
	}
	sel, err := selector.Parse(r.Selector)
	if err != nil {
		return // Validate has reported it.
	}
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if u.Kind == r.Kind && sel.Matches(u.Labels) {
			s.RouteUpstreams[r.Name] = append(s.RouteUpstreams[r.Name], u)
		}
	}
}

// AllowedRegions returns the regions that may run a request of the workspace on the route.
func (s *Snapshot) AllowedRegions(r *Route, w *Workspace) []string {
	if r.HomeBound {
		if len(r.Regions) > 0 && !slices.Contains(r.Regions, w.Home) {
			return nil
		}
		return []string{w.Home}
	}
	if len(r.Regions) > 0 {
		return r.Regions
	}
	all := make([]string, 0, len(s.File.Regions))
	for i := range s.File.Regions {
		all = append(all, s.File.Regions[i].Name)
	}
	return all
}

// Authenticate checks a bearer key of the form ph_<id>_<secret>. It returns nil for a key that
// is unknown, wrong or withdrawn. The secret is compared by hash in constant time.
func (s *Snapshot) Authenticate(bearer string) *Key {
	rest, ok := strings.CutPrefix(bearer, "ph_")
	if !ok {
		return nil
	}
	id, secret, ok := strings.Cut(rest, "_")
	if !ok {
		return nil
	}
	want := strings.Repeat("0", 64)
	key := s.Keys[id]
	if key != nil {
		want = key.SHA256
	}
	sum := sha256.Sum256([]byte(secret))
	match := subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(want))) == 1
	if !match || key == nil || key.Withdrawn {
		return nil
	}
	return key
}

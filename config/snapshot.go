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

// Version identifies a configuration. Versions are ordered by Number, then by Digest, so that two
// configurations published with the same number have the same order on every VM.
type Version struct {
	Number uint64 `json:"number"`
	// Digest is the SHA-256 of the sorted digests of the parts, in hexadecimal.
	Digest string `json:"digest"`
}

// After reports whether v is strictly later than o.
func (v Version) After(other Version) bool {
	if v.Number != other.Number {
		return v.Number > other.Number
	}
	return v.Digest > other.Digest
}

// DigestPrefix returns the first 8 bytes of the digest as a number, or zero if they are not hexadecimal. VMs
// compare it in place of the whole digest.
func (v Version) DigestPrefix() uint64 {
	if len(v.Digest) < 16 {
		return 0
	}
	tag, err := strconv.ParseUint(v.Digest[:16], 16, 64)
	if err != nil {
		return 0
	}
	return tag
}

// OlderThan reports whether v is earlier than the version with the number and tag.
func (v Version) OlderThan(number, tag uint64) bool {
	if v.Number != number {
		return v.Number < number
	}
	return v.DigestPrefix() < tag
}

// String returns the number and the start of the digest.
func (v Version) String() string {
	return fmt.Sprintf("%d-%.8s", v.Number, v.Digest)
}

// Head is the published manifest of a configuration: its version and the list of its parts.
type Head struct {
	Version Version `json:"version"`
	// Parts are the digests of the parts, as PartDigest returns them.
	Parts []string `json:"parts"`
}

// NewHead returns the head of a configuration with the version number and the parts.
func NewHead(number uint64, parts [][]byte) Head {
	h := Head{Version: Version{Number: number}}
	for _, p := range parts {
		h.Parts = append(h.Parts, PartDigest(p))
	}
	h.Version.Digest = versionDigest(h.Parts)
	return h
}

// Consistent reports whether the digest of the version matches the list of parts.
func (h Head) Consistent() bool { return h.Version.Digest == versionDigest(h.Parts) }

// PartDigest returns the SHA-256 of a part's bytes, in hexadecimal.
func PartDigest(part []byte) string {
	sum := sha256.Sum256(part)
	return hex.EncodeToString(sum[:])
}

func versionDigest(parts []string) string {
	sorted := slices.Clone(parts)
	sort.Strings(sorted)
	sum := sha256.Sum256([]byte(strings.Join(sorted, "\n")))
	return hex.EncodeToString(sum[:])
}

// Snapshot is an immutable, validated configuration with indexes.
type Snapshot struct {
	Version Version
	Head    Head
	// Parts holds the bytes of each part by digest, for other VMs that request them.
	Parts map[string][]byte
	File  *File

	Workspaces map[string]*Workspace
	Keys       map[string]*Key
	Routes     map[string]*Route
	// Models maps the model name that callers use to its route.
	Models    map[string]*Route
	VMs       map[string]*VM
	Upstreams map[string]*Upstream
	// RouteUpstreams lists the upstreams that a route's selector matches, by route name.
	RouteUpstreams map[string][]*Upstream
	// Placements maps a model name to its placement.
	Placements map[string]*Placement
	// Links maps a pair of region names to the link between them, in both orders.
	Links map[[2]string]*Link

	// parsedParts holds the decoded parts by digest; it is nil for a snapshot that was not assembled
	// from parts. Later snapshots share the parts, so they are never modified.
	parsedParts map[string]*File
}

// Assemble merges the parts that the head lists, validates the merged configuration and returns its
// snapshot.
func Assemble(head Head, parts map[string][]byte) (*Snapshot, []Problem) {
	return AssembleIncremental(nil, head, parts)
}

// AssembleIncremental is like Assemble but reuses the parts of a previous snapshot: a part whose digest is in
// previous is neither hashed nor parsed again, and need not be in parts. previous may be nil.
func AssembleIncremental(previous *Snapshot, head Head, parts map[string][]byte) (*Snapshot, []Problem) {
	if !head.Consistent() {
		return nil, []Problem{{Path: "head", Message: "digest does not match the list of parts"}}
	}
	rawParts := make(map[string][]byte, len(head.Parts))
	parsedParts := make(map[string]*File, len(head.Parts))
	files := make([]*File, 0, len(head.Parts))
	for i, digest := range head.Parts {
		data, part := previous.part(digest)
		if part == nil {
			var err error
			data = parts[digest]
			if part, err = parsePart(digest, data); err != nil {
				return nil, []Problem{{Path: fmt.Sprintf("parts[%d]", i), Message: err.Error()}}
			}
		}
		rawParts[digest], parsedParts[digest] = data, part
		files = append(files, part)
	}
	s, problems := NewSnapshot(mergeParts(files))
	if len(problems) > 0 {
		return nil, problems
	}
	s.Version, s.Head, s.Parts, s.parsedParts = head.Version, head, rawParts, parsedParts
	return s, nil
}

// part returns the bytes and the decoded form of the part with the digest, or nil. The receiver may be
// nil.
func (s *Snapshot) part(digest string) ([]byte, *File) {
	if s == nil || s.parsedParts == nil {
		return nil, nil
	}
	return s.Parts[digest], s.parsedParts[digest]
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

// mergeParts merges parts into a new file, whose sections are allocated once at their final size.
func mergeParts(parts []*File) *File {
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

// NewSnapshot validates a file and builds its indexes. The snapshot has no version and no parts.
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
		return // Not reached in a validated configuration.
	}
	for i := range s.File.Upstreams {
		u := &s.File.Upstreams[i]
		if u.Kind == r.Kind && sel.Matches(u.Labels) {
			s.RouteUpstreams[r.Name] = append(s.RouteUpstreams[r.Name], u)
		}
	}
}

// AllowedRegions returns the regions that may run the workspace's requests to the route.
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

// Authenticate returns the key that a bearer key of the form ph_<id>_<secret> belongs to, or nil if the
// key is malformed, unknown, wrong or withdrawn. The hash of the secret is compared in constant time.
func (s *Snapshot) Authenticate(bearer string) *Key {
	idAndSecret, ok := strings.CutPrefix(bearer, "ph_")
	if !ok {
		return nil
	}
	id, secret, ok := strings.Cut(idAndSecret, "_")
	if !ok {
		return nil
	}
	wantHash := strings.Repeat("0", 64)
	key := s.Keys[id]
	if key != nil {
		wantHash = key.SHA256
	}
	sum := sha256.Sum256([]byte(secret))
	match := subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(strings.ToLower(wantHash))) == 1
	if !match || key == nil || key.Withdrawn {
		return nil
	}
	return key
}

package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"text/tabwriter"
)

const (
	maxProblems = 20
	allGroups   = "all"
)

// Row holds the results for one workspace and class; "all" means all workspaces or all classes.
type Row struct {
	Workspace string `json:"workspace"`
	Class     string `json:"class"`
	Sent      int    `json:"sent"`
	Done      int    `json:"done"`
	Refused   int    `json:"refused"`
	// RefusedWithinRate counts refused requests that an ideal token bucket would have admitted.
	RefusedWithinRate int `json:"refusedWithinRate"`
	Failed            int `json:"failed"`
	Unknown           int `json:"unknown"`
	Broken            int `json:"broken"`
	Invalid           int `json:"invalid"`
	// Dropped counts requests that were not sent because too many were in flight.
	Dropped int `json:"dropped"`
	Resumes int `json:"resumes"`
	// RemoteShare is the share of completed requests that were served outside the region of the workspace.
	RemoteShare float64 `json:"remoteShare"`
	// Service is the share of requests within the rate that were completed; 1 if no request is within the rate.
	Service float64 `json:"service"`
	// FirstByteMillis is the time from the scheduled arrival to the first token or to the response of a call.
	FirstByteMillis Quantiles `json:"firstByteMillis"`
	// GapMillis is the time between two tokens.
	GapMillis Quantiles `json:"gapMillis"`
	// TotalMillis is the time from the scheduled arrival to the end of the response.
	TotalMillis Quantiles `json:"totalMillis"`
	// AttemptsPerDone is the number of HTTP requests for each completed request.
	AttemptsPerDone float64 `json:"attemptsPerDone"`
	// Tokens is the number of received tokens.
	Tokens int `json:"tokens"`
}

// Quantiles are exact quantiles of the values that were measured for completed requests.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Rows has first a row for each workspace and class, then a total for each workspace, then a total for each
	// class, and last the total of all requests.
	Rows []Row `json:"rows"`
	// WorstWorkspace is the workspace with the lowest Service, and WorstService that value.
	WorstWorkspace string  `json:"worstWorkspace"`
	WorstService   float64 `json:"worstService"`
	// UpstreamTokensPerToken is the number of tokens that engines processed, prompts included, for each
	// received token. It is 0 if not measured.
	UpstreamTokensPerToken float64 `json:"upstreamTokensPerToken"`
	// Refusals counts the refused requests by error code.
	Refusals map[string]int `json:"refusals"`
	// Problems describes the first requests that failed, or were broken, invalid or of unknown outcome.
	Problems []string `json:"problems"`
}

// rowKey identifies a row.
type rowKey struct {
	workspace string
	class     string
}

func newReport(s *Settings, results []result, upstreamTokens int64) *Report {
	groups := map[rowKey][]*result{}
	report := &Report{Seed: s.Seed, WorstService: math.Inf(1), Problems: []string{}, Refusals: map[string]int{}}
	for i := range results {
		res := &results[i]
		w, c := res.request.workspace.Name, res.request.requestType.Class
		for _, key := range []rowKey{{w, c}, {w, allGroups}, {allGroups, c}, {allGroups, allGroups}} {
			groups[key] = append(groups[key], res)
		}
		report.addProblem(res)
	}
	for _, key := range sortedKeys(groups) {
		row := newRow(key, groups[key])
		report.Rows = append(report.Rows, row)
		if key.workspace != allGroups && key.class == allGroups && row.Service < report.WorstService {
			report.WorstWorkspace, report.WorstService = row.Workspace, row.Service
		}
		if key == (rowKey{allGroups, allGroups}) && row.Tokens > 0 {
			report.UpstreamTokensPerToken = float64(upstreamTokens) / float64(row.Tokens)
		}
	}
	if report.WorstWorkspace == "" {
		report.WorstService = 0
	}
	return report
}

func (r *Report) addProblem(res *result) {
	var gatewayErr *GatewayError
	if res.outcome == outcomeRefused && errors.As(res.err, &gatewayErr) {
		r.Refusals[gatewayErr.Code]++
	}
	noProblem := res.outcome == outcomeDone || res.outcome == outcomeRefused || res.outcome == outcomeDropped
	if noProblem || len(r.Problems) >= maxProblems {
		return
	}
	r.Problems = append(r.Problems, fmt.Sprintf("%s %s %s: %s: %v",
		res.request.workspace.Name, res.request.requestType.Name, res.request.key, res.outcome, res.err))
}

// sortedKeys returns the keys sorted by workspace and class, with "all" after the others.
func sortedKeys(groups map[rowKey][]*result) []rowKey {
	rank := func(k rowKey) string {
		mark := func(s string) string {
			if s == allGroups {
				return "1"
			}
			return "0"
		}
		return mark(k.workspace) + mark(k.class) + k.workspace + "\x00" + k.class
	}
	keys := make([]rowKey, 0, len(groups))
	for k := range groups {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b rowKey) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return keys
}

func newRow(key rowKey, results []*result) Row {
	row := Row{Workspace: key.workspace, Class: key.class, Service: 1}
	var first, gaps, total []float64
	attempts, remote, withinRate, completedWithinRate := 0, 0, 0, 0
	for _, res := range results {
		row.count(res)
		attempts += res.attempts
		row.Resumes += res.resumes
		row.Tokens += res.tokens
		done := res.outcome == outcomeDone
		if res.request.withinRate && res.outcome != outcomeDropped {
			withinRate++
			completedWithinRate += boolToInt(done)
		}
		if !done {
			continue
		}
		remote += boolToInt(res.region != "" && res.region != res.request.workspace.Region)
		first = append(first, millis(res.firstByte))
		total = append(total, millis(res.total))
		gaps = append(gaps, res.gaps...)
	}
	if withinRate > 0 {
		row.Service = float64(completedWithinRate) / float64(withinRate)
	}
	if row.Done > 0 {
		row.RemoteShare = float64(remote) / float64(row.Done)
		row.AttemptsPerDone = float64(attempts) / float64(row.Done)
	}
	row.FirstByteMillis, row.GapMillis, row.TotalMillis = quantiles(first), quantiles(gaps), quantiles(total)
	return row
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (r *Row) count(res *result) {
	if res.outcome == outcomeDropped {
		r.Dropped++
		return
	}
	r.Sent++
	switch res.outcome {
	case outcomeDone:
		r.Done++
	case outcomeRefused:
		r.Refused++
		r.RefusedWithinRate += boolToInt(res.request.withinRate)
	case outcomeFailed:
		r.Failed++
	case outcomeUnknown:
		r.Unknown++
	case outcomeBroken:
		r.Broken++
	default:
		r.Invalid++
	}
}

func quantiles(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	at := func(q float64) float64 {
		i := int(math.Ceil(q*float64(len(values)))) - 1
		return math.Round(values[max(0, i)]*100) / 100
	}
	return Quantiles{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a text table; times are in milliseconds.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "workspace\tclass\tsent\tdone\trefused\tin rate\tfailed\tunknown\tbroken\tinvalid\tdropped\tresumes\tremote\tservice\tfirst p50\tfirst p95\tfirst p99\tgap p95\ttotal p99\tattempts\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t\n",
			x.Workspace, x.Class, x.Sent, x.Done, x.Refused, x.RefusedWithinRate, x.Failed, x.Unknown, x.Broken, x.Invalid,
			x.Dropped, x.Resumes, 100*x.RemoteShare, 100*x.Service, x.FirstByteMillis.P50, x.FirstByteMillis.P95,
			x.FirstByteMillis.P99, x.GapMillis.P95, x.TotalMillis.P99, x.AttemptsPerDone)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	_, err := fmt.Fprintf(w, "worst-served workspace: %s, %.1f%%; upstream tokens for each received token: %.2f; seed %d\n",
		r.WorstWorkspace, 100*r.WorstService, r.UpstreamTokensPerToken, r.Seed)
	for _, code := range slices.Sorted(maps.Keys(r.Refusals)) {
		fmt.Fprintf(w, "refused with %s: %d\n", code, r.Refusals[code])
	}
	for _, p := range r.Problems {
		fmt.Fprintln(w, "problem:", p)
	}
	return err
}

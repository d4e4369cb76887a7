package loadgen

import (
	"fmt"
	"io"
	"strings"

	"parsleyhatch/config"
)

// Measures are the five measures of one run: token cost, tail latency, share of requests served in another
// region, service of the worst-served workspace, and refusals within the rate. Times are in milliseconds,
// shares in percent.
type Measures struct {
	Sent, Completed float64
	// TokenCost is the number of tokens that engines processed for each received token.
	TokenCost                                                   float64
	DraftFirstTokenP99, DraftTotalP99, InteractiveFirstTokenP99 float64
	// OtherWorkspaceFirstTokenP99 is the 99th percentile of the time to the first token of drafts in the slowest
	// workspace other than the one that exceeds its rate.
	OtherWorkspaceFirstTokenP99 float64
	RemoteShare                 float64
	WorstService                float64
	RefusedWithinRate           float64
	BrokenOrInvalid             float64
}

// MeasuresOf returns the measures of a report. overRateWorkspace names the workspace whose load deliberately
// exceeds its rate.
func MeasuresOf(r *Report, overRateWorkspace string) Measures {
	m := Measures{TokenCost: r.UpstreamTokensPerToken, WorstService: 100 * r.WorstService}
	for _, row := range r.Rows {
		switch {
		case row.Workspace != allGroups:
			if row.Class == config.ClassDraft && row.Workspace != overRateWorkspace && row.Done > 0 {
				m.OtherWorkspaceFirstTokenP99 = max(m.OtherWorkspaceFirstTokenP99, row.FirstByteMillis.P99)
			}
		case row.Class == allGroups:
			m.Sent, m.Completed, m.RemoteShare = float64(row.Sent), float64(row.Done), 100*row.RemoteShare
			m.RefusedWithinRate, m.BrokenOrInvalid = float64(row.RefusedWithinRate), float64(row.Invalid+row.Broken+row.Failed)
		case row.Class == config.ClassDraft:
			m.DraftFirstTokenP99, m.DraftTotalP99 = row.FirstByteMillis.P99, row.TotalMillis.P99
		case row.Class == config.ClassInteractive:
			m.InteractiveFirstTokenP99 = row.FirstByteMillis.P99
		}
	}
	return m
}

// measureColumns are the columns of the table that WriteMeasures writes.
var measureColumns = []struct {
	name string
	of   func(Measures) float64
}{
	{"sent", func(m Measures) float64 { return m.Sent }},
	{"done", func(m Measures) float64 { return m.Completed }},
	{"cost", func(m Measures) float64 { return m.TokenCost }},
	{"draft first p99", func(m Measures) float64 { return m.DraftFirstTokenP99 }},
	{"slowest other workspace", func(m Measures) float64 { return m.OtherWorkspaceFirstTokenP99 }},
	{"draft end p99", func(m Measures) float64 { return m.DraftTotalP99 }},
	{"interactive first p99", func(m Measures) float64 { return m.InteractiveFirstTokenP99 }},
	{"sent away %", func(m Measures) float64 { return m.RemoteShare }},
	{"worst workspace served %", func(m Measures) float64 { return m.WorstService }},
	{"refused within rate", func(m Measures) float64 { return m.RefusedWithinRate }},
	{"broken or invalid", func(m Measures) float64 { return m.BrokenOrInvalid }},
}

// WriteMeasures writes the header and one row of a Markdown table with the mean and range of each measure
// over the runs.
func WriteMeasures(w io.Writer, title string, list []Measures) error {
	names, values := []string{"runs"}, []string{title}
	for _, c := range measureColumns {
		names = append(names, c.name)
		values = append(values, meanRange(list, c.of))
	}
	_, err := fmt.Fprintf(w, "| %s |\n| %s |\n", strings.Join(names, " | "), strings.Join(values, " | "))
	return err
}

func meanRange(list []Measures, value func(Measures) float64) string {
	mean, low, high := 0.0, value(list[0]), value(list[0])
	for _, m := range list {
		v := value(m)
		mean += v / float64(len(list))
		low, high = min(low, v), max(high, v)
	}
	return fmt.Sprintf("%.4g [%.4g..%.4g]", mean, low, high)
}

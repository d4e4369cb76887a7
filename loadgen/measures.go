package loadgen

import (
	"fmt"
	"io"
	"strings"

	"parsleyhatch/config"
)

// Measures are the five measures of one run: cost, tail latency, share sent away, the worst-served
// workspace and refusals within the rate. Times are in milliseconds, shares in percent.
type Measures struct {
	Sent, Done float64
	// Cost is in tokens that engines processed for each received token.
	Cost                                   float64
	DraftFirst, DraftEnd, InteractiveFirst float64
	// OthersFirst is the 99th percentile of the first token of drafts of the slowest workspace but
	// the offender.
	OthersFirst   float64
	SentAway      float64
	WorstServed   float64
	RefusedWithin float64
	Broken        float64
}

// MeasuresOf condenses a report. offender names a workspace that exceeds its rate on purpose.
func MeasuresOf(r *Report, offender string) Measures {
	m := Measures{Cost: r.UpstreamTokensPerToken, WorstServed: 100 * r.WorstService}
	for _, row := range r.Rows {
		switch {
		case row.Workspace != all:
			if row.Class == config.ClassDraft && row.Workspace != offender && row.Done > 0 {
				m.OthersFirst = max(m.OthersFirst, row.FirstByteMillis.P99)
			}
		case row.Class == all:
			m.Sent, m.Done, m.SentAway = float64(row.Sent), float64(row.Done), 100*row.RemoteShare
			m.RefusedWithin, m.Broken = float64(row.RefusedWithinRate), float64(row.Invalid+row.Broken+row.Failed)
		case row.Class == config.ClassDraft:
			m.DraftFirst, m.DraftEnd = row.FirstByteMillis.P99, row.TotalMillis.P99
		case row.Class == config.ClassInteractive:
			m.InteractiveFirst = row.FirstByteMillis.P99
		}
	}
	return m
}

// measureColumns are the columns of WriteMeasures.
var measureColumns = []struct {
	name string
	of   func(Measures) float64
}{
	{"sent", func(m Measures) float64 { return m.Sent }},
	{"done", func(m Measures) float64 { return m.Done }},
	{"cost", func(m Measures) float64 { return m.Cost }},
	{"draft first p99", func(m Measures) float64 { return m.DraftFirst }},
	{"slowest other workspace", func(m Measures) float64 { return m.OthersFirst }},
	{"draft end p99", func(m Measures) float64 { return m.DraftEnd }},
	{"interactive first p99", func(m Measures) float64 { return m.InteractiveFirst }},
	{"sent away %", func(m Measures) float64 { return m.SentAway }},
	{"worst workspace served %", func(m Measures) float64 { return m.WorstServed }},
	{"refused within rate", func(m Measures) float64 { return m.RefusedWithin }},
	{"broken or invalid", func(m Measures) float64 { return m.Broken }},
}

// WriteMeasures writes one row of a Markdown table: mean and range over the runs.
func WriteMeasures(w io.Writer, title string, list []Measures) error {
	names, values := []string{"runs"}, []string{title}
	for _, c := range measureColumns {
		names = append(names, c.name)
		values = append(values, meanRange(list, c.of))
	}
	_, err := fmt.Fprintf(w, "| %s |\n| %s |\n", strings.Join(names, " | "), strings.Join(values, " | "))
	return err
}

func meanRange(list []Measures, of func(Measures) float64) string {
	mean, low, high := 0.0, of(list[0]), of(list[0])
	for _, m := range list {
		v := of(m)
		mean += v / float64(len(list))
		low, high = min(low, v), max(high, v)
	}
	return fmt.Sprintf("%.4g [%.4g..%.4g]", mean, low, high)
}

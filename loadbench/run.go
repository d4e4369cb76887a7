package loadbench

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
)

// columns are the figures of a row.
var columns = []struct {
	name  string
	value func(r *row) float64
}{
	{"worth", func(r *row) float64 { return r.Worth }},
	{"worst kind", func(r *row) float64 { return r.WorstKind }},
	{"worst region", func(r *row) float64 { return r.WorstRegion }},
	{"worst workspace", func(r *row) float64 { return r.WorstWorkspace }},
	{"worst 2 s", func(r *row) float64 { return r.WorstWindow }},
	{"in time", func(r *row) float64 { return r.InTime }},
	{"late", func(r *row) float64 { return r.Late }},
	{"refused", func(r *row) float64 { return r.Refused }},
	{"large prompts", func(r *row) float64 { return r.Large }},
	{"tokens again", func(r *row) float64 { return r.Again }},
	{"draft p50 s", func(r *row) float64 { return r.DraftP50 }},
	{"draft p90 s", func(r *row) float64 { return r.DraftP90 }},
	{"draft p99 s", func(r *row) float64 { return r.DraftP99 }},
	{"question p50 s", func(r *row) float64 { return r.QuestionP50 }},
	{"question p99 s", func(r *row) float64 { return r.QuestionP99 }},
}

// maxSimulations is the number of replays at a time.
const maxSimulations = 3

// Run prints a table with the means over the seeds, counted from firstSeed, for each pattern and policy. The
// large deployment is replayed only if onLarge is set: it takes minutes.
func Run(w io.Writer, firstSeed uint64, seeds int, onLarge bool) error {
	d := small()
	if onLarge {
		d = large()
	}
	for _, p := range patterns() {
		if _, err := fmt.Fprintf(w, "\n%s, %s, seeds %d to %d\n", d.name, p.name, firstSeed, firstSeed+uint64(seeds)-1); err != nil {
			return fmt.Errorf("print table: %w", err)
		}
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprint(tw, "policy")
		for _, c := range columns {
			fmt.Fprint(tw, "\t", c.name)
		}
		fmt.Fprintln(tw)
		for _, policy := range policies() {
			printRow(tw, policy.name, replay(d, &p, &policy, firstSeed, seeds))
		}
		if err := tw.Flush(); err != nil {
			return fmt.Errorf("print table: %w", err)
		}
	}
	return nil
}

func printRow(w io.Writer, name string, rows []row) {
	fmt.Fprint(w, name)
	for _, c := range columns {
		fmt.Fprintf(w, "\t%.3g", mean(rows, c.value))
	}
	fmt.Fprintln(w)
}

func mean(rows []row, value func(*row) float64) float64 {
	sum := 0.0
	for i := range rows {
		sum += value(&rows[i])
	}
	return sum / float64(len(rows))
}

// replay plays a pattern with several seeds. Each replay is deterministic on its own.
func replay(d *deployment, p *pattern, policy *policy, firstSeed uint64, seeds int) []row {
	rows := make([]row, seeds)
	limit := make(chan struct{}, maxSimulations)
	var wg sync.WaitGroup
	for i := range seeds {
		limit <- struct{}{}
		wg.Go(func() {
			rows[i] = newWorld(d, p, policy, firstSeed+uint64(i)).run().row()
			<-limit
		})
	}
	wg.Wait()
	return rows
}

package policybench

import (
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"text/tabwriter"

	"parsleyhatch/admit"
)

// measures collects the results of a run.
type measures struct {
	first, whole [2][]seconds // By class.
	byWorkspace  [][]seconds  // First token of drafts.
	ok, total    []int        // By workspace.
	remote       int
	tokens       float64
}

func newMeasures(d *deployment) *measures {
	n := len(d.workspaces)
	return &measures{byWorkspace: make([][]seconds, n), ok: make([]int, n), total: make([]int, n)}
}

func (s *measures) add(r *request, ok bool) {
	if ok && r.sim.Now >= warmTime {
		s.tokens += r.out
	}
	if r.arrive < warmTime {
		return
	}
	s.total[r.workspace]++
	if !ok {
		return
	}
	s.ok[r.workspace]++
	if r.remote {
		s.remote++
	}
	c := r.pool.class
	s.first[c] = append(s.first[c], r.first)
	s.whole[c] = append(s.whole[c], r.sim.Now-r.arrive+r.returnDelay())
	if c == admit.Draft {
		s.byWorkspace[r.workspace] = append(s.byWorkspace[r.workspace], r.first)
	}
}

var columns = []string{
	"cost ms/token", "draft first p50 s", "draft first p99 s", "draft end p50 s", "draft end p99 s",
	"inter first p50 s", "inter first p99 s", "inter end p50 s", "inter end p99 s",
	"remote %", "worst ws draft first p99 s", "worst ws success %", "refused %",
}

// row returns the values of the columns.
func (s *measures) row(busy seconds) []float64 {
	row := []float64{1000 * busy / s.tokens}
	for _, c := range []admit.Class{admit.Draft, admit.Interactive} {
		row = append(row, quantile(s.first[c], 0.5), quantile(s.first[c], 0.99), quantile(s.whole[c], 0.5), quantile(s.whole[c], 0.99))
	}
	ok, total, worst, success := 0, 0, 0.0, 1.0
	for w := range s.ok {
		ok += s.ok[w]
		total += s.total[w]
		worst = max(worst, quantile(s.byWorkspace[w], 0.99))
		success = min(success, float64(s.ok[w])/float64(max(1, s.total[w])))
	}
	return append(row, 100*float64(s.remote)/float64(max(1, ok)), worst, 100*success, 100*float64(total-ok)/float64(max(1, total)))
}

func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// simulate runs one policy and returns the values of the columns.
func simulate(d *deployment, s *scenario, p *policy, seed uint64) []float64 {
	m := newSim(d, s, p, seed)
	m.arrivals()
	m.startControl()
	m.startFaults()
	m.RunUntil(runTime + 600)
	busy := 0.0
	for _, z := range m.zones {
		for _, e := range z.engines {
			e.advance()
			busy += e.busy
		}
	}
	return m.result.row(busy)
}

// Run prints a table of mean and standard deviation over the seeds, counted from firstSeed, for each deployment and scenario.
func Run(w io.Writer, firstSeed uint64, seeds int) error {
	for _, d := range append(deployments(), largeDeployment()) {
		for i, s := range scenarios() {
			if d.name == "large" && i > 1 {
				continue // Takes minutes; the small deployments cover the faults.
			}
			fmt.Fprintf(w, "\n%s, %s, seeds %d to %d\n", d.name, s.name, firstSeed, firstSeed+uint64(seeds)-1)
			tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
			fmt.Fprint(tw, "policy")
			for _, c := range columns {
				fmt.Fprint(tw, "\t", c)
			}
			fmt.Fprintln(tw)
			for _, p := range policies() {
				printRow(tw, p.name, simulateAll(&d, &s, p, firstSeed, seeds))
			}
			if err := tw.Flush(); err != nil {
				return fmt.Errorf("print table: %w", err)
			}
		}
	}
	return nil
}

// simulateAll runs the seeds side by side; each run is deterministic on its own.
func simulateAll(d *deployment, s *scenario, p *policy, firstSeed uint64, seeds int) [][]float64 {
	rows := make([][]float64, seeds)
	limit := make(chan struct{}, 4)
	var wg sync.WaitGroup
	for i := range seeds {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			rows[i] = simulate(d, s, p, firstSeed+uint64(i))
			<-limit
		}()
	}
	wg.Wait()
	return rows
}

func printRow(w io.Writer, name string, rows [][]float64) {
	fmt.Fprint(w, name)
	for c := range columns {
		mean, spread := meanSpread(rows, c)
		fmt.Fprintf(w, "\t%.3g±%.2g", mean, spread)
	}
	fmt.Fprintln(w)
}

func meanSpread(rows [][]float64, column int) (mean, spread float64) {
	n := float64(len(rows))
	for _, r := range rows {
		mean += r[column] / n
	}
	for _, r := range rows {
		spread += (r[column] - mean) * (r[column] - mean) / n
	}
	return mean, math.Sqrt(spread)
}

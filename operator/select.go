package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"parsleyhatch/config"
	"parsleyhatch/selector"
)

var selectCommand = command{
	name:    "select",
	summary: "show the upstreams that a selector or a route picks",
	run:     runSelect,
}

func runSelect(e env) int {
	fs := newFlags("select")
	files := fs.String("config", "", "configuration FILEs, separated by commas")
	route := fs.String("route", "", "show what the route of this NAME picks, by region")
	operands, code, done := parseArguments(fs, e, "[SELECTOR]")
	switch {
	case done:
		return code
	case *files == "":
		return fail(e, "select", exitUsage, "-config is not set")
	case len(operands) > 1:
		return fail(e, "select", exitUsage, "more than one selector: %q", operands)
	case *route != "" && len(operands) > 0:
		return fail(e, "select", exitUsage, "-route and the selector %q exclude each other", operands[0])
	case *route == "" && len(operands) == 0:
		return fail(e, "select", exitUsage, "no selector given and -route is not set")
	}
	read, problems := readConfigs(strings.Split(*files, ","))
	if len(problems) > 0 {
		return failProblems(e, problems, len(read.names))
	}
	if *route != "" {
		return selectRoute(e, read, *route)
	}
	return selectLabels(e, read.merged, operands[0])
}

func failProblems(e env, problems []fileProblem, files int) int {
	for _, p := range problems {
		fail(e, "select", exitFailed, "-config: %s", p.text(files))
	}
	return exitFailed
}

// selectLabels needs no valid configuration: a part with upstreams is enough.
func selectLabels(e env, f *config.File, text string) int {
	sel, err := selector.Parse(text)
	if err != nil {
		return fail(e, "select", exitUsage, "%v", err)
	}
	var picked []*config.Upstream
	for i := range f.Upstreams {
		if sel.Matches(f.Upstreams[i].Labels) {
			picked = append(picked, &f.Upstreams[i])
		}
	}
	printUpstreams(e.stdout, picked)
	return exitOK
}

func selectRoute(e env, read configFiles, name string) int {
	snapshot, faults := config.NewSnapshot(read.merged)
	if len(faults) > 0 {
		return failProblems(e, read.locateAll(faults), len(read.names))
	}
	route := snapshot.Routes[name]
	if route == nil {
		return fail(e, "select", exitFailed, "-route: unknown route %q", name)
	}
	printRoute(e.stdout, snapshot, route)
	printUpstreams(e.stdout, snapshot.RouteUpstreams[name])
	return exitOK
}

// printRoute prints what the route picks in each region.
func printRoute(w io.Writer, s *config.Snapshot, r *config.Route) {
	fmt.Fprintf(w, "route %s, selector %q, home-bound %t\n\n", r.Name, r.Selector, r.HomeBound)
	t := newTable(w, "REGION", "ALLOWED", "ACTIVE", "DRAINING")
	for i := range s.File.Regions {
		region := s.File.Regions[i].Name
		active, draining := 0, 0
		for _, u := range s.RouteUpstreams[r.Name] {
			switch {
			case u.Region != region:
			case u.State == config.StateDraining:
				draining++
			default:
				active++
			}
		}
		allowed := len(r.Regions) == 0 || slices.Contains(r.Regions, region)
		t.row(region, allowed, active, draining)
	}
	t.flush()
	fmt.Fprintln(w)
}

func printUpstreams(w io.Writer, list []*config.Upstream) {
	t := newTable(w, "UPSTREAM", "KIND", "REGION", "DOMAIN", "STATE", "MAX BATCH", "LABELS")
	for _, u := range list {
		state := u.State
		if state == "" {
			state = config.StateActive
		}
		t.row(u.Name, u.Kind, u.Region, u.FailureDomain, state, u.MaxBatch, labelText(u.Labels))
	}
	t.flush()
	fmt.Fprintf(w, "%d upstreams\n", len(list))
}

func labelText(labels map[string]string) string {
	var list []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		list = append(list, key+"="+labels[key])
	}
	return strings.Join(list, ",")
}

// table prints aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, columns ...any) table {
	t := table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

func (t table) flush() { _ = t.w.Flush() }

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
	summary: "show the upstreams that a selector or a route matches",
	run:     runSelect,
}

func runSelect(e env) int {
	fs := newFlagSet("select")
	files := fs.String("config", "", "configuration FILEs, separated by commas")
	route := fs.String("route", "", "NAME of a route; show the upstreams that it matches, with a count by region")
	operands, code, done := parseArguments(fs, e, "[SELECTOR]")
	switch {
	case done:
		return code
	case *files == "":
		return failf(e, "select", exitUsage, "-config is not set")
	case len(operands) > 1:
		return failf(e, "select", exitUsage, "more than one selector: %q", operands)
	case *route != "" && len(operands) > 0:
		return failf(e, "select", exitUsage, "-route and the selector %q are mutually exclusive", operands[0])
	case *route == "" && len(operands) == 0:
		return failf(e, "select", exitUsage, "no selector given and -route is not set")
	}
	configs, problems := readConfigFiles(strings.Split(*files, ","))
	if len(problems) > 0 {
		return failWithProblems(e, problems, len(configs.names))
	}
	if *route != "" {
		return selectByRoute(e, configs, *route)
	}
	return selectByLabels(e, configs.merged, operands[0])
}

func failWithProblems(e env, problems []fileProblem, fileCount int) int {
	for _, p := range problems {
		failf(e, "select", exitFailed, "-config: %s", p.format(fileCount))
	}
	return exitFailed
}

// selectByLabels prints the upstreams whose labels match a selector. The configuration is not validated, so a file
// that contains only upstreams is enough.
func selectByLabels(e env, f *config.File, text string) int {
	sel, err := selector.Parse(text)
	if err != nil {
		return failf(e, "select", exitUsage, "%v", err)
	}
	var selected []*config.Upstream
	for i := range f.Upstreams {
		if sel.Matches(f.Upstreams[i].Labels) {
			selected = append(selected, &f.Upstreams[i])
		}
	}
	printUpstreams(e.stdout, selected)
	return exitOK
}

func selectByRoute(e env, configs configFiles, name string) int {
	snapshot, configProblems := config.NewSnapshot(configs.merged)
	if len(configProblems) > 0 {
		return failWithProblems(e, configs.locateAll(configProblems), len(configs.names))
	}
	route := snapshot.Routes[name]
	if route == nil {
		return failf(e, "select", exitFailed, "-route: unknown route %q", name)
	}
	printRoute(e.stdout, snapshot, route)
	printUpstreams(e.stdout, snapshot.RouteUpstreams[name])
	return exitOK
}

// printRoute prints the number of active and draining upstreams that the route matches in each region.
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
		t.addRow(region, allowed, active, draining)
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
		t.addRow(u.Name, u.Kind, u.Region, u.FailureDomain, state, u.MaxBatch, formatLabels(u.Labels))
	}
	t.flush()
	fmt.Fprintf(w, "%d upstreams\n", len(list))
}

func formatLabels(labels map[string]string) string {
	var list []string
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		list = append(list, key+"="+labels[key])
	}
	return strings.Join(list, ",")
}

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, columns ...any) table {
	t := table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.addRow(columns...)
	return t
}

func (t table) addRow(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

func (t table) flush() { _ = t.w.Flush() }

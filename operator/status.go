package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"reflect"
	"strings"

	"parsleyhatch/config"
)

var statusCommand = command{
	name:    "status",
	summary: "show the status of a VM",
	run:     runStatus,
}

// status is the part of a VM's status that is printed as tables. Other members of the answer are
// printed below the tables as they are.
type status struct {
	Slot          string            `json:"slot"`
	Incarnation   json.RawMessage   `json:"incarnation"`
	Region        string            `json:"region"`
	Ready         bool              `json:"ready"`
	Leaving       bool              `json:"leaving"`
	ConfigVersion config.Version    `json:"configVersion"`
	OpenStreams   int64             `json:"openStreams"`
	VMs           []statusVM        `json:"vms"`
	Upstreams     []statusUpstream  `json:"upstreams"`
	Workspaces    []statusWorkspace `json:"workspaces"`
	Problems      []json.RawMessage `json:"problems"`
}

type statusVM struct {
	Name        string          `json:"name"`
	Region      string          `json:"region"`
	Alive       bool            `json:"alive"`
	Ready       bool            `json:"ready"`
	Leaving     bool            `json:"leaving"`
	Incarnation json.RawMessage `json:"incarnation"`
}

type statusUpstream struct {
	Name        string `json:"name"`
	State       string `json:"state"`
	Running     int64  `json:"running"`
	Outstanding int64  `json:"outstanding"`
}

type statusWorkspace struct {
	Name  string      `json:"name"`
	Level json.Number `json:"level"`
	Cap   json.Number `json:"cap"`
}

func runStatus(e env) int {
	fs := newFlags("status")
	admin := adminFlag(fs)
	asJSON := fs.Bool("json", false, "print the answer's JSON")
	operands, code, done := parseArguments(fs, e, "")
	if done {
		return code
	}
	if len(operands) > 0 {
		return fail(e, "status", exitUsage, "unexpected operand %q", operands[0])
	}
	address, err := adminURL(*admin, "/admin/status", url.Values{})
	if err != nil {
		return fail(e, "status", exitUsage, "%v", err)
	}
	if err := printStatusOf(e, address, *asJSON); err != nil {
		return fail(e, "status", exitFailed, "%v", err)
	}
	return exitOK
}

func printStatusOf(e env, address string, asJSON bool) error {
	data, err := getAdmin(address)
	if err != nil {
		return err
	}
	if asJSON {
		return printIndented(e.stdout, data)
	}
	var s status
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	all, err := fields(data)
	if err != nil {
		return err
	}
	printStatus(e.stdout, s)
	for _, f := range all {
		if !knownMember(f.name) {
			printField(e.stdout, "", f)
		}
	}
	return nil
}

// knownMember reports whether a member of the answer has a field in status.
func knownMember(name string) bool {
	t := reflect.TypeFor[status]()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return true
		}
	}
	return false
}

func printStatus(w io.Writer, s status) {
	fmt.Fprintf(w, "vm %s incarnation %s region %s\n", s.Slot, plain(s.Incarnation), s.Region)
	fmt.Fprintf(w, "ready %t leaving %t\n", s.Ready, s.Leaving)
	fmt.Fprintf(w, "configuration %s\n", s.ConfigVersion)
	fmt.Fprintf(w, "open streams %d\n\n", s.OpenStreams)
	t := newTable(w, "VM", "REGION", "ALIVE", "READY", "LEAVING", "INCARNATION")
	for _, m := range s.VMs {
		t.row(m.Name, m.Region, m.Alive, m.Ready, m.Leaving, plain(m.Incarnation))
	}
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "UPSTREAM", "STATE", "RUNNING", "OUTSTANDING")
	for _, u := range s.Upstreams {
		t.row(u.Name, u.State, u.Running, u.Outstanding)
	}
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "WORKSPACE", "LEVEL", "CAP")
	for _, k := range s.Workspaces {
		t.row(k.Name, k.Level, k.Cap)
	}
	t.flush()
	fmt.Fprintf(w, "\nproblems: %d\n", len(s.Problems))
	for _, p := range s.Problems {
		fmt.Fprintf(w, "  %s\n", plain(p))
	}
}

// plain returns a JSON string without quotes and any other value as it is. An incarnation may be a
// string or a number: a 64-bit number does not survive a decoder that uses floating point.
func plain(value json.RawMessage) string {
	return strings.Trim(string(value), `"`)
}

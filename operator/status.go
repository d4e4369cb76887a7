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

// status holds the members of the status response that are printed in a fixed form. Other members are printed
// generically after them.
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
	fs := newFlagSet("status")
	admin := adminFlag(fs)
	asJSON := fs.Bool("json", false, "print the JSON response")
	operands, code, done := parseArguments(fs, e, "")
	if done {
		return code
	}
	if len(operands) > 0 {
		return failf(e, "status", exitUsage, "unexpected operand %q", operands[0])
	}
	address, err := adminURL(*admin, "/admin/status", url.Values{})
	if err != nil {
		return failf(e, "status", exitUsage, "%v", err)
	}
	if err := showStatus(e, address, *asJSON); err != nil {
		return failf(e, "status", exitFailed, "%v", err)
	}
	return exitOK
}

func showStatus(e env, address string, asJSON bool) error {
	data, err := fetchAdminPage(address)
	if err != nil {
		return err
	}
	if asJSON {
		return printIndented(e.stdout, data)
	}
	var s status
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	all, err := decodeObject(data)
	if err != nil {
		return err
	}
	printStatus(e.stdout, s)
	for _, f := range all {
		if !isStatusField(f.name) {
			printMember(e.stdout, "", f)
		}
	}
	return nil
}

// isStatusField reports whether status has a field for a member of the response.
func isStatusField(name string) bool {
	t := reflect.TypeFor[status]()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return true
		}
	}
	return false
}

func printStatus(w io.Writer, s status) {
	fmt.Fprintf(w, "vm %s incarnation %s region %s\n", s.Slot, unquote(s.Incarnation), s.Region)
	fmt.Fprintf(w, "ready %t leaving %t\n", s.Ready, s.Leaving)
	fmt.Fprintf(w, "configuration %s\n", s.ConfigVersion)
	fmt.Fprintf(w, "open streams %d\n\n", s.OpenStreams)
	t := newTable(w, "VM", "REGION", "ALIVE", "READY", "LEAVING", "INCARNATION")
	for _, vm := range s.VMs {
		t.addRow(vm.Name, vm.Region, vm.Alive, vm.Ready, vm.Leaving, unquote(vm.Incarnation))
	}
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "UPSTREAM", "STATE", "RUNNING", "OUTSTANDING")
	for _, u := range s.Upstreams {
		t.addRow(u.Name, u.State, u.Running, u.Outstanding)
	}
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "WORKSPACE", "LEVEL", "CAP")
	for _, workspace := range s.Workspaces {
		t.addRow(workspace.Name, workspace.Level, workspace.Cap)
	}
	t.flush()
	fmt.Fprintf(w, "\nproblems: %d\n", len(s.Problems))
	for _, p := range s.Problems {
		fmt.Fprintf(w, "  %s\n", unquote(p))
	}
}

// unquote removes the quotes of a JSON string and returns other values unchanged. Values such as incarnations
// stay in their JSON form because decoding a 64-bit number as floating point would lose precision.
func unquote(value json.RawMessage) string {
	return strings.Trim(string(value), `"`)
}

package operator

import (
	"encoding/json"
	"fmt"
	"runtime"

	"parsleyhatch/vmwire"
)

// Version is the release of the program.
const Version = "0.1.0"

var versionCommand = command{
	name:    "version",
	summary: "print the version of the program and of the protocol between VMs",
	run:     runVersion,
}

// versionInfo is the JSON output of the version subcommand.
type versionInfo struct {
	Version  string `json:"version"`
	Protocol int    `json:"protocol"`
	Go       string `json:"go"`
}

func runVersion(e env) int {
	fs := newFlagSet("version")
	asJSON := fs.Bool("json", false, "print JSON")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	info := versionInfo{Version: Version, Protocol: vmwire.Protocol, Go: runtime.Version()}
	if *asJSON {
		_ = json.NewEncoder(e.stdout).Encode(info)
		return exitOK
	}
	fmt.Fprintf(e.stdout, "parsleyhatch %s protocol %d %s\n", info.Version, info.Protocol, info.Go)
	return exitOK
}

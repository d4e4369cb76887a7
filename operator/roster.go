package operator

import "fmt"

var rosterCommand = command{
	name:    "roster",
	summary: "print the VMs of a configuration, one per line, for scripts that start them",
	run:     runRoster,
}

func runRoster(e env) int {
	fs := newFlagSet("roster")
	configFile := fs.String("config", "", "configuration file")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	file, err := readValidConfig(*configFile)
	if err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch roster: setting config: %v\n", err)
		return exitUsage
	}
	for _, vm := range file.VMs {
		fmt.Fprintln(e.stdout, vm.Name, vm.Region, vm.FailureDomain, vm.CallerAddress, vm.PeerAddress)
	}
	return exitOK
}

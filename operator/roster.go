package operator

import "fmt"

var rosterCommand = command{
	name:    "roster",
	summary: "print the VMs of a configuration, one a line, for scripts that start them",
	run:     runRoster,
}

func runRoster(e env) int {
	fs := newFlags("roster")
	name := fs.String("config", "", "configuration file")
	if code, done := parseSettings(fs, e); done {
		return code
	}
	file, err := readConfig(*name)
	if err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch roster: setting config: %v\n", err)
		return exitUsage
	}
	for _, m := range file.VMs {
		fmt.Fprintln(e.stdout, m.Name, m.Region, m.FailureDomain, m.CallerAddress, m.PeerAddress)
	}
	return exitOK
}

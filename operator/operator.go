// Package operator implements the command-line interface, with one file for each subcommand.
package operator

import (
	"fmt"
	"io"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// env holds the arguments, the environment and the output streams of a subcommand.
type env struct {
	args    []string
	environ []string
	stdout  io.Writer
	stderr  io.Writer
}

// command describes a subcommand. Its run function returns the exit code.
type command struct {
	name    string
	summary string
	// hidden leaves the subcommand out of the help text.
	hidden bool
	run    func(env) int
}

// commands returns the subcommands in the order of the help text.
func commands() []command {
	return []command{
		serveCommand,
		vmCommand,
		loadCommand,
		standinCommand,
		rosterCommand,
		checkCommand,
		selectCommand,
		publishPartsCommand,
		keyCommand,
		statusCommand,
		auditCommand,
		explainCommand,
		routeCommand,
		policybenchCommand,
		loadbenchCommand,
		soakCommand,
		soakUpstreamCommand,
		versionCommand,
	}
}

// Main runs the subcommand named by the first argument and returns the exit code.
func Main(args, environ []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printHelp(stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		printHelp(stdout)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(env{args: args[1:], environ: environ, stdout: stdout, stderr: stderr})
		}
	}
	fmt.Fprintf(stderr, "parsleyhatch: unknown subcommand %q\n", args[0])
	printHelp(stderr)
	return exitUsage
}

func printHelp(w io.Writer) {
	fmt.Fprintln(w, "usage: parsleyhatch SUBCOMMAND [flags]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		if !c.hidden {
			fmt.Fprintf(w, "  %-14s %s\n", c.name, c.summary)
		}
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "\"parsleyhatch SUBCOMMAND -h\" shows the flags with units and defaults.")
}

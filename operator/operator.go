// Package operator is the command line towards operators: one file for each subcommand.
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

// env is what a subcommand gets from the process.
type env struct {
	args    []string
	environ []string
	stdout  io.Writer
	stderr  io.Writer
}

// command is a subcommand.
type command struct {
	name    string
	summary string
	run     func(env) int
}

// commands lists the subcommands in the order of the help text.
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
		policybenchCommand,
		loadbenchCommand,
		soakCommand,
		versionCommand,
	}
}

// Main runs the subcommand named by the first argument and returns the exit code.
func Main(args, environ []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return exitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(stdout)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(env{args: args[1:], environ: environ, stdout: stdout, stderr: stderr})
		}
	}
	fmt.Fprintf(stderr, "parsleyhatch: unknown subcommand %q\n", args[0])
	usage(stderr)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: parsleyhatch SUBCOMMAND [flags]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-14s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "\"parsleyhatch SUBCOMMAND -h\" shows the flags with units and defaults.")
}

package operator

import (
	"errors"
	"flag"
	"fmt"
	"strings"
)

// envPrefix starts the name of each environment variable of the program.
const envPrefix = "PARSLEYHATCH_"

// envName returns the environment variable of a flag: "config-url" has PARSLEYHATCH_CONFIG_URL.
func envName(flagName string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// parseSettings sets the flags from the environment and then from the arguments, so that a flag
// wins. done is true if the command is to end with the given exit code.
func parseSettings(fs *flag.FlagSet, e env) (code int, done bool) {
	return parseUsage(fs, e, "")
}

// parseUsage is parseSettings with a usage line that names operands.
func parseUsage(fs *flag.FlagSet, e env, operands string) (code int, done bool) {
	fs.SetOutput(e.stderr)
	fs.Usage = func() { printFlags(fs, e, operands) }
	if err := setFromEnvironment(fs, e.environ); err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch %s: %v\n", fs.Name(), err)
		return exitUsage, true
	}
	err := fs.Parse(e.args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK, true
	}
	if err != nil {
		return exitUsage, true
	}
	return exitOK, false
}

func setFromEnvironment(fs *flag.FlagSet, environ []string) error {
	known := map[string]string{}
	fs.VisitAll(func(f *flag.Flag) { known[envName(f.Name)] = f.Name })
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		flagName, ok := known[name]
		if !ok {
			continue
		}
		if err := fs.Set(flagName, value); err != nil {
			return fmt.Errorf("environment variable %s: %w", name, err)
		}
	}
	return nil
}

func printFlags(fs *flag.FlagSet, e env, operands string) {
	fmt.Fprintln(e.stderr, strings.TrimRight("usage: parsleyhatch "+fs.Name()+" [flags] "+operands, " "))
	fs.VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(e.stderr, "  -%s (%s)\n    \t%s", f.Name, envName(f.Name), f.Usage)
		if f.DefValue != "" {
			fmt.Fprintf(e.stderr, " (default %s)", f.DefValue)
		}
		fmt.Fprintln(e.stderr)
	})
}

// newFlags returns the flag set of a subcommand.
func newFlags(name string) *flag.FlagSet {
	return flag.NewFlagSet(name, flag.ContinueOnError)
}

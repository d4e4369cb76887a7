package operator

import (
	"errors"
	"flag"
	"fmt"
	"strings"
)

// envPrefix is the prefix of the program's environment variables.
const envPrefix = "PARSLEYHATCH_"

// envName returns the environment variable for a flag: PARSLEYHATCH_CONFIG_URL for "config-url".
func envName(flagName string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// parseFlags sets the flags from the environment and then from the arguments, which take precedence. done is
// true if the subcommand is to end with the exit code.
func parseFlags(fs *flag.FlagSet, e env) (code int, done bool) {
	return parseFlagsWithUsage(fs, e, "")
}

// parseFlagsWithUsage is parseFlags with the form of the operands in the usage line.
func parseFlagsWithUsage(fs *flag.FlagSet, e env, operandUsage string) (code int, done bool) {
	fs.SetOutput(e.stderr)
	fs.Usage = func() { printUsage(fs, e, operandUsage) }
	if err := setFlagsFromEnvironment(fs, e.environ); err != nil {
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

func setFlagsFromEnvironment(fs *flag.FlagSet, environ []string) error {
	flagNames := map[string]string{}
	fs.VisitAll(func(f *flag.Flag) { flagNames[envName(f.Name)] = f.Name })
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		flagName, ok := flagNames[name]
		if !ok {
			continue
		}
		if err := fs.Set(flagName, value); err != nil {
			return fmt.Errorf("environment variable %s: %w", name, err)
		}
	}
	return nil
}

func printUsage(fs *flag.FlagSet, e env, operandUsage string) {
	fmt.Fprintln(e.stderr, strings.TrimRight("usage: parsleyhatch "+fs.Name()+" [flags] "+operandUsage, " "))
	fs.VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(e.stderr, "  -%s (%s)\n    \t%s", f.Name, envName(f.Name), f.Usage)
		if f.DefValue != "" {
			fmt.Fprintf(e.stderr, " (default %s)", f.DefValue)
		}
		fmt.Fprintln(e.stderr)
	})
}

// newFlagSet returns the flag set of a subcommand.
func newFlagSet(name string) *flag.FlagSet {
	return flag.NewFlagSet(name, flag.ContinueOnError)
}

package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"parsleyhatch/soak"
	"parsleyhatch/standin/faultyupstream"
)

var soakCommand = command{
	name:    "soak",
	summary: "run VMs as processes, inject random faults and check the results that callers and upstreams observe",
	run:     runSoak,
}

// soakUpstreamCommand is started by soakCommand and is not for operators.
var soakUpstreamCommand = command{name: faultyupstream.ProcessArgument, hidden: true, run: runSoakUpstream}

func runSoakUpstream(e env) int {
	if err := faultyupstream.ServeProcess(os.Stdin, e.stdout); err != nil {
		return failf(e, faultyupstream.ProcessArgument, exitFailed, "%v", err)
	}
	return exitOK
}

func runSoak(e env) int {
	fs := newFlagSet("soak")
	firstSeed := fs.Uint64("first-seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds to run in sequence")
	length := fs.Duration("length", 30*time.Second, "length of each run")
	profile := fs.String("profile", string(soak.ProfileLight), fmt.Sprintf("load and faults: one of %v", soak.Profiles))
	deployment := fs.String("deployment", soak.DefaultDeployment, fmt.Sprintf("regions, VMs, upstreams, routes and callers: one of %v", soak.DeploymentNames()))
	processors := fs.Int("processors", 0, "processors that each VM uses (default: those of the deployment)")
	vmProgram := fs.String("program", "", "program that runs the VMs (default: this one)")
	logDir := fs.String("logs", "", "directory for the logs of all runs; if empty, only the logs of failed runs are kept, in a temporary directory")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	if *seeds < 1 || *length < 15*time.Second {
		return failf(e, "soak", exitUsage, "setting seeds is %d and length %v, want at least 1 and 15s", *seeds, *length)
	}
	if !slices.Contains(soak.Profiles, soak.Profile(*profile)) {
		return failf(e, "soak", exitUsage, "setting profile is %q, want one of %v", *profile, soak.Profiles)
	}
	if !slices.Contains(soak.DeploymentNames(), *deployment) {
		return failf(e, "soak", exitUsage, "setting deployment is %q, want one of %v", *deployment, soak.DeploymentNames())
	}
	if *processors < 0 {
		return failf(e, "soak", exitUsage, "setting processors is %d, want 0 or more", *processors)
	}
	program, err := findProgram(*vmProgram)
	if err != nil {
		return failf(e, "soak", exitFailed, "locate the executable: %v", err)
	}
	settings := soak.Settings{Length: *length, Profile: soak.Profile(*profile), Deployment: *deployment, Processors: *processors, Program: program}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := exitOK
	for i := range uint64(*seeds) {
		if ctx.Err() != nil {
			return failf(e, "soak", exitFailed, "interrupted before seed %d", *firstSeed+i)
		}
		settings.Seed = *firstSeed + i
		if !runSoakSeed(ctx, e, settings, *logDir) {
			code = exitFailed
		}
	}
	return code
}

// findProgram returns the path of a program, or that of this one if it is empty.
func findProgram(path string) (string, error) {
	if path != "" {
		return path, nil
	}
	return os.Executable()
}

// runSoakSeed runs one seed and reports whether the run found no violations.
func runSoakSeed(ctx context.Context, e env, settings soak.Settings, logDir string) bool {
	dir, err := os.MkdirTemp("", "parsleyhatch-soak-")
	if err != nil {
		failf(e, "soak", exitFailed, "create a temporary directory: %v", err)
		return false
	}
	if logDir == "" {
		logDir = dir
	}
	path := filepath.Join(logDir, fmt.Sprintf("%s-%s-seed-%d.log", settings.Deployment, settings.Profile, settings.Seed))
	log, err := os.Create(path)
	if err != nil {
		failf(e, "soak", exitFailed, "create the log file: %v", err)
		return false
	}
	defer func() { _ = log.Close() }()
	settings.SettingsDir, settings.Log = dir, log
	report, err := soak.Run(ctx, settings)
	if err != nil {
		failf(e, "soak", exitFailed, "seed %d: %v", settings.Seed, err)
		return false
	}
	printSoak(e.stdout, settings.Seed, &report, path)
	if len(report.Violations) == 0 {
		_ = os.RemoveAll(dir)
	}
	return len(report.Violations) == 0
}

func printSoak(w io.Writer, seed uint64, r *soak.Report, path string) {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "broken, log in " + path
	}
	fmt.Fprintf(w, "seed %d: %d requests, %d served, %d runs, %d faults, %d retries of %d allowed: promises %s\n",
		seed, r.Requests, r.Succeeded, r.Executions, r.Faults, r.Retries.Retries, r.Retries.Allowed, verdict)
	fmt.Fprintf(w, "  streams out of order: %s\n", r.Order)
	if r.Streams != "" {
		fmt.Fprintf(w, "  streams: %s\n", r.Streams)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
}

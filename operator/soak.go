package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"parsleyhatch/soak"
)

var soakCommand = command{
	name:    "soak",
	summary: "run VMs as processes, inject random faults and check the results that callers and upstreams observe",
	run:     runSoak,
}

func runSoak(e env) int {
	fs := newFlagSet("soak")
	firstSeed := fs.Uint64("first-seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds to run in sequence")
	length := fs.Duration("length", 30*time.Second, "length of each run")
	logDir := fs.String("logs", "", "directory for the logs of all runs; if empty, only the logs of failed runs are kept, in a temporary directory")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	if *seeds < 1 || *length < 15*time.Second {
		return failf(e, "soak", exitUsage, "setting seeds is %d and length %v, want at least 1 and 15s", *seeds, *length)
	}
	program, err := os.Executable()
	if err != nil {
		return failf(e, "soak", exitFailed, "locate the executable: %v", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := exitOK
	for i := range uint64(*seeds) {
		if ctx.Err() != nil {
			return failf(e, "soak", exitFailed, "interrupted before seed %d", *firstSeed+i)
		}
		if !runSoakSeed(ctx, e, program, *firstSeed+i, *length, *logDir) {
			code = exitFailed
		}
	}
	return code
}

// runSoakSeed runs one seed and reports whether the run found no violations.
func runSoakSeed(ctx context.Context, e env, program string, seed uint64, length time.Duration, logDir string) bool {
	dir, err := os.MkdirTemp("", "parsleyhatch-soak-")
	if err != nil {
		failf(e, "soak", exitFailed, "create a temporary directory: %v", err)
		return false
	}
	if logDir == "" {
		logDir = dir
	}
	path := filepath.Join(logDir, fmt.Sprintf("seed-%d.log", seed))
	log, err := os.Create(path)
	if err != nil {
		failf(e, "soak", exitFailed, "create the log file: %v", err)
		return false
	}
	defer func() { _ = log.Close() }()
	report, err := soak.Run(ctx, soak.Settings{Seed: seed, Length: length, Program: program, SettingsDir: dir, Log: log})
	if err != nil {
		failf(e, "soak", exitFailed, "seed %d: %v", seed, err)
		return false
	}
	printSoak(e.stdout, seed, &report, path)
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
	fmt.Fprintf(w, "seed %d: %d requests, %d served, %d runs, %d faults: promises %s\n", seed, r.Requests, r.Succeeded, r.Executions, r.Faults, verdict)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
}

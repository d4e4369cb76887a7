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
	summary: "run VMs as processes, disturb them at random and check what callers and upstreams see",
	run:     runSoak,
}

func runSoak(e env) int {
	fs := newFlags("soak")
	seed := fs.Uint64("first-seed", 1, "first seed")
	seeds := fs.Int("seeds", 1, "number of seeds, one after the other")
	length := fs.Duration("length", 30*time.Second, "length of each run")
	logs := fs.String("logs", "", "directory for the logs of runs; without it, those of failed runs are in the directory for temporary files")
	if code, done := parseSettings(fs, e); done {
		return code
	}
	if *seeds < 1 || *length < 15*time.Second {
		return fail(e, "soak", exitUsage, "setting seeds is %d and length %v, want at least 1 and 15s", *seeds, *length)
	}
	program, err := os.Executable()
	if err != nil {
		return fail(e, "soak", exitFailed, "find the program: %v", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := exitOK
	for i := range uint64(*seeds) {
		if ctx.Err() != nil {
			return fail(e, "soak", exitFailed, "interrupted before seed %d", *seed+i)
		}
		if !soakSeed(ctx, e, program, *seed+i, *length, *logs) {
			code = exitFailed
		}
	}
	return code
}

// soakSeed runs one seed and reports whether all promises were kept.
func soakSeed(ctx context.Context, e env, program string, seed uint64, length time.Duration, logs string) bool {
	dir, err := os.MkdirTemp("", "parsleyhatch-soak-")
	if err != nil {
		fail(e, "soak", exitFailed, "make a directory: %v", err)
		return false
	}
	if logs == "" {
		logs = dir
	}
	path := filepath.Join(logs, fmt.Sprintf("seed-%d.log", seed))
	log, err := os.Create(path)
	if err != nil {
		fail(e, "soak", exitFailed, "create the log: %v", err)
		return false
	}
	defer func() { _ = log.Close() }()
	report, err := soak.Run(ctx, soak.Settings{Seed: seed, Length: length, Program: program, Dir: dir, Log: log})
	if err != nil {
		fail(e, "soak", exitFailed, "seed %d: %v", seed, err)
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
	fmt.Fprintf(w, "seed %d: %d requests, %d served, %d runs, %d faults: promises %s\n", seed, r.Requests, r.Served, r.Runs, r.Faults, verdict)
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  %s\n", v)
	}
}

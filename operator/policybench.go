package operator

import (
	"fmt"

	"parsleyhatch/policybench"
	"parsleyhatch/queuebench"
)

var policybenchCommand = command{
	name:    "policybench",
	summary: "compare the choices of region and upstream with baselines on a deterministic event loop",
	run:     runPolicybench,
}

func runPolicybench(e env) int {
	fs := newFlags("policybench")
	seeds := fs.Int("seeds", 5, "number of seeds")
	first := fs.Uint64("first-seed", 1, "first seed")
	queue := fs.Bool("queue", false, "compare orders of the VM's queue instead")
	if code, done := parseSettings(fs, e); done {
		return code
	}
	if *seeds < 1 {
		fmt.Fprintf(e.stderr, "parsleyhatch policybench: setting seeds: %d is below 1\n", *seeds)
		return exitUsage
	}
	run := func() error { return policybench.Run(e.stdout, *first, *seeds) }
	if *queue {
		run = func() error { return queuebench.Run(e.stdout, *seeds) }
	}
	if err := run(); err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch policybench: %v\n", err)
		return exitFailed
	}
	return exitOK
}

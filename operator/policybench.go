package operator

import (
	"fmt"

	"parsleyhatch/policybench"
	"parsleyhatch/queuebench"
)

var policybenchCommand = command{
	name:    "policybench",
	summary: "compare the selection of regions and upstreams with baselines on a deterministic event loop",
	run:     runPolicybench,
}

func runPolicybench(e env) int {
	fs := newFlagSet("policybench")
	seeds := fs.Int("seeds", 5, "number of seeds")
	firstSeed := fs.Uint64("first-seed", 1, "first seed")
	compareQueues := fs.Bool("queue", false, "compare the orderings of a VM's queue instead")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	if *seeds < 1 {
		fmt.Fprintf(e.stderr, "parsleyhatch policybench: setting seeds: %d is below 1\n", *seeds)
		return exitUsage
	}
	run := func() error { return policybench.Run(e.stdout, *firstSeed, *seeds) }
	if *compareQueues {
		run = func() error { return queuebench.Run(e.stdout, *seeds) }
	}
	if err := run(); err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch policybench: %v\n", err)
		return exitFailed
	}
	return exitOK
}

package operator

import (
	"fmt"

	"parsleyhatch/policybench"
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
	if code, done := parseSettings(fs, e); done {
		return code
	}
	if *seeds < 1 {
		fmt.Fprintf(e.stderr, "parsleyhatch policybench: setting seeds: %d is below 1\n", *seeds)
		return exitUsage
	}
	if err := policybench.Run(e.stdout, *first, *seeds); err != nil {
		fmt.Fprintf(e.stderr, "parsleyhatch policybench: %v\n", err)
		return exitFailed
	}
	return exitOK
}

package operator

import (
	"parsleyhatch/loadbench"
)

var loadbenchCommand = command{
	name:    "loadbench",
	summary: "replay patterns of load on simulated engines, with the product's decisions and with baselines",
	run:     runLoadbench,
}

func runLoadbench(e env) int {
	fs := newFlags("loadbench")
	seeds := fs.Int("seeds", 5, "number of seeds")
	first := fs.Uint64("first-seed", 1, "first seed")
	large := fs.Bool("large", false, "replay on 75 VMs before 90 engines instead of 9 before 18; takes minutes")
	if code, done := parseSettings(fs, e); done {
		return code
	}
	if *seeds < 1 {
		return fail(e, "loadbench", exitUsage, "setting seeds: %d is below 1", *seeds)
	}
	if err := loadbench.Run(e.stdout, *first, *seeds, *large); err != nil {
		return fail(e, "loadbench", exitFailed, "%v", err)
	}
	return exitOK
}

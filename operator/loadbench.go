package operator

import (
	"parsleyhatch/loadbench"
)

var loadbenchCommand = command{
	name:    "loadbench",
	summary: "replay load patterns on simulated engines and compare the gateway's decisions with baselines",
	run:     runLoadbench,
}

func runLoadbench(e env) int {
	fs := newFlagSet("loadbench")
	seeds := fs.Int("seeds", 5, "number of seeds")
	firstSeed := fs.Uint64("first-seed", 1, "first seed")
	large := fs.Bool("large", false, "simulate 75 VMs with 90 engines instead of 9 VMs with 18 engines; takes minutes")
	if code, done := parseFlags(fs, e); done {
		return code
	}
	if *seeds < 1 {
		return failf(e, "loadbench", exitUsage, "setting seeds: %d is below 1", *seeds)
	}
	if err := loadbench.Run(e.stdout, *firstSeed, *seeds, *large); err != nil {
		return failf(e, "loadbench", exitFailed, "%v", err)
	}
	return exitOK
}

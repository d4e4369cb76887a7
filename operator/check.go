package operator

import (
	"encoding/json"
	"fmt"

	"parsleyhatch/config"
)

var checkCommand = command{
	name:    "check",
	summary: "validate configuration files and print every problem",
	run:     runCheck,
}

// checkResult is the JSON form of a check.
type checkResult struct {
	Valid    bool          `json:"valid"`
	Problems []fileProblem `json:"problems"`
	// Warnings are found only in a valid configuration.
	Warnings []fileProblem `json:"warnings"`
}

func runCheck(e env) int {
	fs := newFlags("check")
	asJSON := fs.Bool("json", false, "print JSON")
	files, code, done := parseArguments(fs, e, "FILE...")
	if done {
		return code
	}
	if len(files) == 0 {
		return fail(e, "check", exitUsage, "no file given; usage: parsleyhatch check [-json] FILE...")
	}
	result := check(files)
	if *asJSON {
		_ = json.NewEncoder(e.stdout).Encode(result)
	} else {
		printCheck(e, result, len(files))
	}
	if !result.Valid {
		return exitFailed
	}
	return exitOK
}

func check(names []string) checkResult {
	result := checkResult{Problems: []fileProblem{}, Warnings: []fileProblem{}}
	files, problems := readConfigs(names)
	if len(problems) > 0 {
		result.Problems = problems
		return result
	}
	snapshot, faults := config.NewSnapshot(files.merged)
	if len(faults) > 0 {
		result.Problems = files.locateAll(faults)
		return result
	}
	result.Valid, result.Warnings = true, files.locateAll(snapshot.Warnings())
	return result
}

func printCheck(e env, result checkResult, files int) {
	for _, p := range result.Problems {
		fmt.Fprintln(e.stdout, p.text(files))
	}
	for _, p := range result.Warnings {
		fmt.Fprintln(e.stdout, "warning: "+p.text(files))
	}
	if result.Valid {
		fmt.Fprintf(e.stdout, "valid, %d warnings\n", len(result.Warnings))
	}
}

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

// checkResult is the JSON output of the check subcommand.
type checkResult struct {
	Valid    bool          `json:"valid"`
	Problems []fileProblem `json:"problems"`
	// Warnings is empty unless the configuration is valid.
	Warnings []fileProblem `json:"warnings"`
}

func runCheck(e env) int {
	fs := newFlagSet("check")
	asJSON := fs.Bool("json", false, "print JSON")
	files, code, done := parseArguments(fs, e, "FILE...")
	if done {
		return code
	}
	if len(files) == 0 {
		return failf(e, "check", exitUsage, "no file given; usage: parsleyhatch check [-json] FILE...")
	}
	result := checkFiles(files)
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

func checkFiles(names []string) checkResult {
	result := checkResult{Problems: []fileProblem{}, Warnings: []fileProblem{}}
	files, problems := readConfigFiles(names)
	if len(problems) > 0 {
		result.Problems = problems
		return result
	}
	snapshot, configProblems := config.NewSnapshot(files.merged)
	if len(configProblems) > 0 {
		result.Problems = files.locateAll(configProblems)
		return result
	}
	result.Valid, result.Warnings = true, files.locateAll(snapshot.Warnings())
	return result
}

func printCheck(e env, result checkResult, fileCount int) {
	for _, p := range result.Problems {
		fmt.Fprintln(e.stdout, p.format(fileCount))
	}
	for _, p := range result.Warnings {
		fmt.Fprintln(e.stdout, "warning: "+p.format(fileCount))
	}
	if result.Valid {
		fmt.Fprintf(e.stdout, "valid, %d warnings\n", len(result.Warnings))
	}
}

package operator

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"

	"parsleyhatch/config"
)

// parseArguments parses the flags and operands of a subcommand, in any order. operandUsage is the form of the
// operands in the help text. done is true if the subcommand is to end with the exit code.
func parseArguments(fs *flag.FlagSet, e env, operandUsage string) (operands []string, code int, done bool) {
	if code, done = parseFlagsWithUsage(fs, e, operandUsage); done {
		return nil, code, true
	}
	for fs.NArg() > 0 {
		operands = append(operands, fs.Arg(0))
		err := fs.Parse(fs.Args()[1:])
		if errors.Is(err, flag.ErrHelp) {
			return nil, exitOK, true
		}
		if err != nil {
			return nil, exitUsage, true
		}
	}
	return operands, exitOK, false
}

// failf prints an error of a subcommand and returns the exit code.
func failf(e env, name string, code int, format string, args ...any) int {
	fmt.Fprintf(e.stderr, "parsleyhatch %s: %s\n", name, fmt.Sprintf(format, args...))
	return code
}

// fileProblem is a configuration problem and the file in which it was found.
type fileProblem struct {
	File    string `json:"file"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// configFiles is a configuration read from one or more files. names and parts have the same order.
type configFiles struct {
	names  []string
	parts  []*config.File
	merged *config.File
}

// readConfigFiles reads and merges the files. It returns one problem for each file that cannot be read or parsed.
func readConfigFiles(names []string) (configFiles, []fileProblem) {
	c := configFiles{names: names, merged: &config.File{}}
	var problems []fileProblem
	for _, name := range names {
		part, err := parseConfigFile(name)
		if err != nil {
			problems = append(problems, fileProblem{File: name, Message: err.Error()})
			continue
		}
		c.parts = append(c.parts, part)
		c.merged.Merge(part)
	}
	return c, problems
}

func parseConfigFile(name string) (*config.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return config.Parse(data)
}

// sectionPathPattern matches a path that starts with a section and an index, such as "vms[2].name".
var sectionPathPattern = regexp.MustCompile(`^(\w+)\[(\d+)\](.*)$`)

// locate maps a problem in the merged configuration to the file and the path within that file.
func (c configFiles) locate(p config.Problem) fileProblem {
	match := sectionPathPattern.FindStringSubmatch(p.Path)
	if match == nil {
		return fileProblem{File: strings.Join(c.names, ","), Path: p.Path, Message: p.Message}
	}
	index, _ := strconv.Atoi(match[2])
	for i, part := range c.parts {
		size := sectionSize(part, match[1])
		if index < size {
			return fileProblem{File: c.names[i], Path: fmt.Sprintf("%s[%d]%s", match[1], index, match[3]), Message: p.Message}
		}
		index -= size
	}
	return fileProblem{Path: p.Path, Message: p.Message}
}

func sectionSize(f *config.File, section string) int {
	switch section {
	case "regions":
		return len(f.Regions)
	case "links":
		return len(f.Links)
	case "vms":
		return len(f.VMs)
	case "placements":
		return len(f.Placements)
	case "routes":
		return len(f.Routes)
	case "workspaces":
		return len(f.Workspaces)
	case "keys":
		return len(f.Keys)
	}
	return len(f.Upstreams)
}

func (c configFiles) locateAll(problems []config.Problem) []fileProblem {
	list := make([]fileProblem, 0, len(problems))
	for _, p := range problems {
		list = append(list, c.locate(p))
	}
	return list
}

// format returns "path: message". The file name precedes it if there are several files, and replaces an empty
// path except for problems of a single file.
func (p fileProblem) format(fileCount int) string {
	switch {
	case p.Path == "" && fileCount == 1:
		return p.Message
	case p.Path == "":
		return p.File + ": " + p.Message
	case fileCount > 1:
		return p.File + ": " + p.Path + ": " + p.Message
	}
	return p.Path + ": " + p.Message
}

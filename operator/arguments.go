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

// parseArguments is parseSettings for subcommands with operands, which may stand between flags. usage
// names the operands for the help text.
func parseArguments(fs *flag.FlagSet, e env, usage string) (operands []string, code int, done bool) {
	if code, done = parseUsage(fs, e, usage); done {
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

// fail prints an error of a subcommand and returns the code.
func fail(e env, name string, code int, format string, args ...any) int {
	fmt.Fprintf(e.stderr, "parsleyhatch %s: %s\n", name, fmt.Sprintf(format, args...))
	return code
}

// fileProblem is a problem with the file that holds it.
type fileProblem struct {
	File    string `json:"file"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// configFiles is a configuration that was read from one or more files.
type configFiles struct {
	names  []string
	parts  []*config.File
	merged *config.File
}

// readConfigs reads the files and merges them. It returns all files that cannot be read or parsed.
func readConfigs(names []string) (configFiles, []fileProblem) {
	c := configFiles{names: names, merged: &config.File{}}
	var problems []fileProblem
	for _, name := range names {
		part, err := readPart(name)
		if err != nil {
			problems = append(problems, fileProblem{File: name, Message: err.Error()})
			continue
		}
		c.parts = append(c.parts, part)
		c.merged.Merge(part)
	}
	return c, problems
}

func readPart(name string) (*config.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return config.Parse(data)
}

var sectionIndex = regexp.MustCompile(`^(\w+)\[(\d+)\](.*)$`)

// locate turns a path in the merged configuration into the file and the path in that file.
func (c configFiles) locate(p config.Problem) fileProblem {
	match := sectionIndex.FindStringSubmatch(p.Path)
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

// text returns "path: message", with the file first if there are several or there is no path.
func (p fileProblem) text(files int) string {
	switch {
	case p.Path == "" && files == 1:
		return p.Message
	case p.Path == "":
		return p.File + ": " + p.Message
	case files > 1:
		return p.File + ": " + p.Path + ": " + p.Message
	}
	return p.Path + ": " + p.Message
}

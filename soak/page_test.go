package soak

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// faultPage is the page that lists the faults.
const faultPage = "../docs/soak.md"

// Guards against a fault that docs/soak.md does not list, and against one that it lists although it is gone.
func TestPageListsFaults(t *testing.T) {
	page, err := os.ReadFile(faultPage)
	if err != nil {
		t.Fatal(err)
	}
	listed, quoted := map[string]bool{}, regexp.MustCompile("`([^`]+)`")
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		for _, match := range quoted.FindAllStringSubmatch(cells[2], -1) {
			listed[match[1]] = true
		}
	}
	declared := declaredFaults(t)
	for _, kind := range declared {
		if !listed[kind] {
			t.Errorf("%s does not list %q", faultPage, kind)
		}
	}
	for kind := range listed {
		if !slices.Contains(declared, kind) {
			t.Errorf("%s lists %q, which is no fault", faultPage, kind)
		}
	}
}

// declaredFaults returns all constants of type faultKind.
func declaredFaults(t *testing.T) []string {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var kinds []string
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "faultKind" && len(spec.Values) == 1 {
				kind, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
				if err != nil {
					t.Fatal(err)
				}
				kinds = append(kinds, kind)
			}
			return true
		})
	}
	if len(kinds) == 0 {
		t.Fatal("no constants of type faultKind")
	}
	return kinds
}

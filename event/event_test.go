package event_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"parsleyhatch/event"
)

// brokenBase is the lowest number of a broken invariant.
const brokenBase = 9000

// Guards against docs/events.md and the code naming different events. "go test ./event -update"
// writes the page.
func TestEventsPage(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "events", page())
}

func page() []byte {
	var b bytes.Buffer
	b.WriteString("# Log events\n\n")
	b.WriteString("Each log line has an `event` number, which is never reused. This page is generated from the\n")
	b.WriteString("code by `go test ./event -update`; do not edit it. [Alarms](operators/alarms.md) says more on the\n")
	b.WriteString("events of level WARN and ERROR.\n\n")
	b.WriteString("| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, e := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Message, e.Action)
	}
	return b.Bytes()
}

// Guards against a broken invariant that alarms, which match numbers from 9000, do not see, and
// against an ordinary event that they take for one.
func TestBrokenInvariantNumbers(t *testing.T) {
	for _, e := range event.Catalogue() {
		named := strings.HasPrefix(e.Message, "invariant broken: ")
		if named != (e.ID >= brokenBase) {
			t.Errorf("event %d %q: broken invariants, and only these, have numbers from %d", e.ID, e.Message, brokenBase)
		}
	}
}

// Guards against an event that tells an operator nothing, or a message that breaks the page's table.
func TestTexts(t *testing.T) {
	for _, e := range event.Catalogue() {
		if e.Message == "" || e.Action == "" || strings.ContainsAny(e.Message+e.Action, "|\n") {
			t.Errorf("event %d has message %q and action %q", e.ID, e.Message, e.Action)
		}
	}
}

// Guards against an alarm without advice: each event of level WARN or ERROR is on the page of alarms.
// Broken invariants share one section.
func TestAlarmsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/alarms.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range event.Catalogue() {
		if e.Level < slog.LevelWarn || e.ID >= brokenBase {
			continue
		}
		if !bytes.Contains(page, fmt.Appendf(nil, "| %d |", e.ID)) {
			t.Errorf("event %d %q is not in docs/operators/alarms.md", e.ID, e.Message)
		}
	}
}

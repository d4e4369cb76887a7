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

// firstInvariantID is the lowest event number of broken invariants.
const firstInvariantID = 9000

// Guards against docs/events.md differing from the registered events. "go test ./event -update"
// regenerates the page.
func TestEventsPage(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "events", renderPage())
}

func renderPage() []byte {
	var b bytes.Buffer
	b.WriteString("# Log events\n\n")
	b.WriteString("Each log line has an `event` number, which is never reused. This page is generated from the\n")
	b.WriteString("code by `go test ./event -update`; do not edit it. [Alarms](operators/alarms.md) describes the\n")
	b.WriteString("events of level WARN and ERROR.\n\n")
	b.WriteString("| event | level | message | action |\n|---|---|---|---|\n")
	for _, e := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Message, e.Action)
	}
	return b.Bytes()
}

// Guards against broken invariants that alarms miss, and other events that alarms treat as broken
// invariants. Alarms match event numbers from 9000.
func TestBrokenInvariantNumbers(t *testing.T) {
	for _, e := range event.Catalogue() {
		isInvariant := strings.HasPrefix(e.Message, "invariant broken: ")
		if isInvariant != (e.ID >= firstInvariantID) {
			t.Errorf("event %d %q: broken invariants, and only these, have numbers from %d", e.ID, e.Message, firstInvariantID)
		}
	}
}

// Guards against an event without a message or action, and against texts that break the table of the page.
func TestEventTexts(t *testing.T) {
	for _, e := range event.Catalogue() {
		if e.Message == "" || e.Action == "" || strings.ContainsAny(e.Message+e.Action, "|\n") {
			t.Errorf("event %d has message %q and action %q", e.ID, e.Message, e.Action)
		}
	}
}

// Guards against events of level WARN or ERROR that are missing on the page of alarms. Broken invariants
// share one section there.
func TestAlarmsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/alarms.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range event.Catalogue() {
		if e.Level < slog.LevelWarn || e.ID >= firstInvariantID {
			continue
		}
		if !bytes.Contains(page, fmt.Appendf(nil, "| %d |", e.ID)) {
			t.Errorf("event %d %q is not in docs/operators/alarms.md", e.ID, e.Message)
		}
	}
}

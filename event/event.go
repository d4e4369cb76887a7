// Package event defines the numbered log events of the system and their catalogue.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sort"
)

// Event is a type of log line.
type Event struct {
	// ID is unique and never reused; docs/events.md lists it.
	ID int
	// Level is the severity at which the event is logged.
	Level slog.Level
	// Message is the constant text of the line.
	Message string
	// Action is the advice to an operator, or "none".
	Action string
}

var catalogue = map[int]Event{}

// New registers an event. It panics if the number is already registered, which is a programming error.
func New(id int, level slog.Level, message, action string) Event {
	if _, ok := catalogue[id]; ok {
		panic(fmt.Sprintf("event %d is registered twice", id))
	}
	e := Event{ID: id, Level: level, Message: message, Action: action}
	catalogue[id] = e
	return e
}

// Log writes the event with its number and the given attributes.
func (e Event) Log(l *slog.Logger, args ...any) {
	ctx := context.Background()
	if l == nil || !l.Enabled(ctx, e.Level) {
		return
	}
	l.Log(ctx, e.Level, e.Message, append([]any{"event", e.ID}, args...)...)
}

// BrokenInvariant is the value with which FailInvariant panics.
type BrokenInvariant string

// Error returns the event and its attributes.
func (b BrokenInvariant) Error() string { return string(b) }

// FailInvariant logs a broken invariant and panics.
func FailInvariant(l *slog.Logger, e Event, args ...any) {
	e.Log(l, args...)
	panic(BrokenInvariant(fmt.Sprintf("event %d: %s: %v", e.ID, e.Message, args)))
}

// Recovered logs the value of a recovered panic with its stack and returns it as an error. It panics again with a broken
// invariant, which must stop the process.
func Recovered(l *slog.Logger, e Event, value any, args ...any) error {
	if broken, ok := value.(BrokenInvariant); ok {
		panic(broken)
	}
	e.Log(l, append(args, "panic", fmt.Sprint(value), "stack", string(debug.Stack()))...)
	return fmt.Errorf("%s: %v", e.Message, value)
}

// Catalogue returns all registered events sorted by number.
func Catalogue() []Event {
	list := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

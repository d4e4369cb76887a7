// Package event defines the numbered log events of the system and their catalogue.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
)

// Event is one kind of log line.
type Event struct {
	// ID is unique and never reused; docs/events.md lists it.
	ID int
	// Level is the severity at which the event is logged.
	Level slog.Level
	// Message is the constant text of the line.
	Message string
	// Action tells an operator what to do, or "none".
	Action string
}

var catalogue = map[int]Event{}

// New registers an event. A number used twice is a programming error and panics at start.
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

// Broken reports a broken invariant and stops the process by a panic.
func Broken(l *slog.Logger, e Event, args ...any) {
	e.Log(l, args...)
	panic(fmt.Sprintf("event %d: %s: %v", e.ID, e.Message, args))
}

// Catalogue returns all registered events in the order of their numbers.
func Catalogue() []Event {
	list := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

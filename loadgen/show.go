package loadgen

import (
	"context"
	"fmt"
	"io"
	"time"
)

// shownTextBytes is the number of bytes of a response text that PrintSamples prints.
const shownTextBytes = 28

// PrintSamples sends n requests one after the other and prints the outcome, the region and the beginning of each
// response.
func PrintSamples(ctx context.Context, settings Settings, n int, w io.Writer) error {
	if err := settings.prepare(); err != nil {
		return err
	}
	settings.Seed++ // A run with the same settings must not repeat these requests and their idempotency keys.
	g := &runner{settings: settings, client: newClient(&settings), inFlight: make(chan struct{}, 1)}
	defer g.client.close()
	requests := schedule(&g.settings)
	for _, r := range requests[:min(n, len(requests))] {
		g.inFlight <- struct{}{}
		g.wg.Add(1)
		g.runRequest(ctx, r, time.Now())
		fmt.Fprintln(w, g.results[len(g.results)-1].summary())
	}
	return nil
}

func (res result) summary() string {
	r := res.request
	line := fmt.Sprintf("%-9s %-9s -> %-7s", r.workspace.Name, r.requestType.Name, res.outcome)
	if res.err != nil {
		return line + " " + res.err.Error()
	}
	line += fmt.Sprintf(" in %-12s first byte %4d ms, all %5d ms", res.region, res.firstByte.Milliseconds(), res.total.Milliseconds())
	if r.requestType.Kind == KindChat {
		line += fmt.Sprintf(", %3d tokens: %.*s...", res.tokens, shownTextBytes, r.expected)
	}
	return line
}

package loadgen

import (
	"context"
	"fmt"
	"io"
	"time"
)

// shownBytes is the length of an answer's beginning that Show prints.
const shownBytes = 28

// Show sends the first n requests of a run one after the other, and prints what was answered and
// in which region.
func Show(ctx context.Context, settings Settings, n int, w io.Writer) error {
	if err := settings.prepare(); err != nil {
		return err
	}
	settings.Seed++ // The run itself must not repeat these requests.
	g := &runner{settings: settings, client: newClient(&settings), slots: make(chan struct{}, 1)}
	defer g.client.close()
	requests := schedule(&g.settings)
	for _, r := range requests[:min(n, len(requests))] {
		g.slots <- struct{}{}
		g.wait.Add(1)
		g.runRequest(ctx, r, time.Now())
		fmt.Fprintln(w, g.results[len(g.results)-1].line())
	}
	return nil
}

func (res result) line() string {
	r := res.request
	text := fmt.Sprintf("%-9s %-9s -> %-7s", r.workspace.Name, r.work.Name, res.outcome)
	if res.err != nil {
		return text + " " + res.err.Error()
	}
	text += fmt.Sprintf(" in %-12s first byte %4d ms, all %5d ms", res.region, res.firstByte.Milliseconds(), res.total.Milliseconds())
	if r.work.Kind == KindChat {
		text += fmt.Sprintf(", %3d tokens: %.*s...", res.tokens, shownBytes, r.want)
	}
	return text
}

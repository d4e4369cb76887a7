package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"parsleyhatch/standin/rawanswer"
)

// rowCounts are the runs of streams that played a row of the table of raw answers, and the forms of disorder of the streams that ended
// with one of them.
type rowCounts struct {
	runs  int
	order OrderForms
}

// answerRows counts the runs of streams by row. A complete answer that broke off nevertheless is that of an upstream that was killed. The
// caller holds mu.
func (h *history) answerRows() map[string]rowCounts {
	rows := map[string]rowCounts{}
	for id, executions := range h.executions {
		if !h.requests[id].kind.isStream() {
			continue
		}
		for i, e := range executions {
			row := e.Row
			if e.BrokeOff && strings.HasSuffix(row, rawanswer.EndComplete.String()) {
				row += ", killed"
			}
			c := rows[row]
			c.runs++
			if i == len(executions)-1 {
				c.order.add(h.orderFormsOf(id))
			}
			rows[row] = c
		}
	}
	return rows
}

// writeRows writes the counts of each row.
func writeRows(w io.Writer, rows map[string]rowCounts) {
	for _, row := range slices.Sorted(maps.Keys(rows)) {
		_, _ = fmt.Fprintf(w, "answers %s: %d runs, streams out of order: %s\n", row, rows[row].runs, rows[row].order)
	}
}

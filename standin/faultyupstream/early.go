package faultyupstream

import (
	"context"
	"io"
	"net/http"

	"parsleyhatch/platform"
	"parsleyhatch/standin/faultlink"
	"parsleyhatch/standin/workload"
)

// loseAnswer ends the connection of a request that has run if the upstream loses its answer.
func (u *Upstream) loseAnswer(ctx context.Context, id string) {
	behaviour := u.does()
	if behaviour != ClosesAfterRun && behaviour != ResetsAfterRun || !workload.IsOneOf(id, "lost", 2) {
		return
	}
	if c, ok := ctx.Value(lateConnKey{}).(*lateConn); ok && behaviour == ResetsAfterRun {
		faultlink.ResetOnClose(c.Conn)
	}
	panic(http.ErrAbortHandler)
}

// refuseEarly refuses a request before it has read its body, and reads the body then. The connection stays open.
func (u *Upstream) refuseEarly(w http.ResponseWriter, r *http.Request, id string) {
	controller := http.NewResponseController(w)
	if controller.EnableFullDuplex() != nil {
		return // The VM has closed the connection.
	}
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderNotExecuted, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	if controller.Flush() != nil {
		return
	}
	if body, err := io.ReadAll(r.Body); err == nil {
		u.record.LateBody(id, u.ID, u.isBodyOf(r, id, body), len(body))
	}
}

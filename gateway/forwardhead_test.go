package gateway

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Guards against an answer of another VM that reaches the caller although its head is missing or broken: net/http sends a 200 for an answer without one.
func TestBrokenAnswerOfVMIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		chunks []vmwire.Chunk
		lost   bool
	}{
		"sound":           {[]vmwire.Chunk{{Status: 200, Header: map[string]string{"Content-Type": "text/plain"}, Data: []byte("a")}, {Data: []byte("b")}}, false},
		"status 0":        {[]vmwire.Chunk{{Data: []byte("a")}}, true},
		"interim status":  {[]vmwire.Chunk{{Status: 103, Data: []byte("a")}}, true},
		"status 1000":     {[]vmwire.Chunk{{Status: 1000, Data: []byte("a")}}, true},
		"blank in a name": {[]vmwire.Chunk{{Status: 200, Header: map[string]string{"X Field": "1"}, Data: []byte("a")}}, true},
		"no answer":       {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := sessionWithVM(t, func(st *vm.Stream) {
				for i := range c.chunks {
					_ = st.SendChunk(context.Background(), &c.chunks[i]) // Fails once the answer is rejected.
				}
				_ = st.SendEnd(context.Background(), &vmwire.End{Ran: string(DidRun)})
			})
			passed := 0
			p := &progress{sink: func(context.Context, *vmwire.Chunk) error {
				passed++
				return nil
			}}
			g := &Gateway{Now: time.Now, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
			r := &Request{ID: "r", Snapshot: &config.Snapshot{}, Route: &config.Route{}, Workspace: &config.Workspace{}, Deadline: time.Now().Add(time.Minute)}
			out := g.forwardOver(t.Context(), r, s, p)
			if lost := out.Code == PeerLost && out.Ran == Unknown && passed == 0; lost != c.lost || !c.lost && passed != len(c.chunks) {
				t.Errorf("outcome %+v after %d chunks", out, passed)
			}
		})
	}
}

// sessionWithVM returns a session with another VM that answers requests with a function.
func sessionWithVM(t *testing.T, answer func(st *vm.Stream)) *vm.Session {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	other := vm.NewInsecureEndpoint(vm.Identity{Slot: "other", Incarnation: 1}, log)
	other.OnStream = func(st *vm.Stream, _ vmwire.Open) { answer(st) }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = other.Serve(l) }()
	s, err := vm.NewInsecureEndpoint(vm.Identity{Slot: "self", Incarnation: 2}, log).Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close(nil) })
	return s
}

package edge

import (
	"context"
	"net/http"
	"testing"

	"parsleyhatch/platform"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// Guards against answers of another VM, which may run an older or a newer build, that callers get although their head is missing or broken: net/http
// sends a 200 for an answer that is written without a head, and none for a status that it does not know.
func TestBrokenAnswerOfVMReachesCaller(t *testing.T) {
	stamped := map[string]string{platform.HeaderServerStamp: "stamp"}
	data, answered := vmwire.Chunk{Data: []byte("answer")}, vmwire.End{Code: string(Answered), Ran: HasRun.String(), Status: http.StatusOK}
	for name, c := range map[string]struct {
		chunks []vmwire.Chunk
		end    vmwire.End
		want   int
	}{
		"sound":                 {[]vmwire.Chunk{{Status: 200, Header: stamped, End: 6}, data}, answered, http.StatusOK},
		"status 0":              {[]vmwire.Chunk{{Header: stamped, End: 6}, data}, answered, http.StatusBadGateway},
		"status 99":             {[]vmwire.Chunk{{Status: 99, Header: stamped, End: 6}, data}, answered, http.StatusBadGateway},
		"negative status":       {[]vmwire.Chunk{{Status: -200, Header: stamped, End: 6}, data}, answered, http.StatusBadGateway},
		"interim status":        {[]vmwire.Chunk{{Status: 103, Header: stamped, End: 6}, data}, answered, http.StatusBadGateway},
		"status 1000":           {[]vmwire.Chunk{{Status: 1000, Header: stamped, End: 6}, data}, answered, http.StatusBadGateway},
		"blank in a name":       {[]vmwire.Chunk{{Status: 200, Header: map[string]string{"X Field": "1"}, End: 6}, data}, answered, http.StatusBadGateway},
		"line end in a name":    {[]vmwire.Chunk{{Status: 200, Header: map[string]string{"X\r\nField": "1"}, End: 6}, data}, answered, http.StatusBadGateway},
		"body without a head":   {[]vmwire.Chunk{data}, answered, http.StatusBadGateway},
		"neither head nor body": {nil, answered, http.StatusBadGateway},
		"unknown failure":       {nil, vmwire.End{Code: "fromNewerBuild", Ran: MayHaveRun.String()}, http.StatusBadGateway},
		"unknown refusal":       {nil, vmwire.End{Code: "fromNewerBuild", Ran: NotRun.String()}, http.StatusServiceUnavailable},
		"unknown state":         {nil, vmwire.End{Code: string(Overloaded), Ran: "fromNewerBuild"}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestCluster(t, "north", "south")
			w.publishConfig(1, routeJSON("a", "unsafe", "plain", `,"home_regions":["south"]`))
			v := w.startVM("vm1", "north", true)
			w.registerUpstream("far", "plain", "south", "127.0.0.1:1")
			v.joinAs(t, "south", func(st *vm.Stream, _ vmwire.Open) {
				for i := range c.chunks {
					_ = st.SendChunk(context.Background(), &c.chunks[i]) // Fails once the VM has rejected the answer.
				}
				_ = st.SendEnd(context.Background(), &c.end)
			})
			w.waitFor("the upstream is known", func() bool { return v.knowsUpstreams("plain", 1) })
			status, body, err := v.read(t, "/a/", nil)
			if status != c.want || err != nil || status == http.StatusOK && body != "answer" {
				t.Errorf("answer %d %q, error %v, want %d", status, body, err, c.want)
			}
		})
	}
}

package proof

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"parsleyhatch/config"
	"parsleyhatch/standin"
	"parsleyhatch/vm"
	"parsleyhatch/vmwire"
)

// marker is in every prompt of the tests of bounds; no log line may contain it.
const marker = "MARKEROFREQUESTDATA"

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// boundsFleet is a fleet with engines in norte only, a home-bound service and an open route.
type boundsFleet struct {
	*fleet
	log     *logBuffer
	service *standin.Service
}

func startBoundsFleet(t *testing.T) *boundsFleet {
	t.Helper()
	b := &boundsFleet{log: &logBuffer{}, service: standin.NewService(standin.ServiceSettings{Credential: credential})}
	if err := b.service.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.service.Close)
	b.fleet = startFleet(t, fleetOptions{
		regions: []string{"norte", "centro"}, vmsPerRegion: 1, engines: 1, logTo: b.log,
		engine: standin.EngineSettings{MaxBatch: 64, CacheTokens: 1 << 20},
		edit: func(file *config.File) {
			keepEngines("norte")(file)
			file.Upstreams = append(file.Upstreams, config.Upstream{
				Name: "registry", Kind: config.KindService, Address: b.service.Address(), Region: "norte",
				FailureDomain: "norte-fd1", Labels: map[string]string{"service": "registry"}, MaxBatch: 8,
			})
			file.Routes = append(file.Routes,
				config.Route{Name: "lookup", Kind: config.KindService, Selector: "service=registry", HomeBound: true, Idempotent: true, Class: config.ClassInteractive, DeadlineMillis: 30000, CallTokens: 1},
				config.Route{Name: "public", Kind: config.KindModel, Model: "aberto", Selector: "model=redator", Open: true, Workspace: "gamma", Idempotent: true, Class: config.ClassInteractive, DeadlineMillis: 30000, MaxTokens: 50},
			)
			file.Workspaces = append(file.Workspaces, config.Workspace{Name: "gamma", Home: "norte", Rate: 1 << 20, Burst: 1 << 20, Weight: 1})
			file.Keys = append(file.Keys, config.Key{ID: "old", SHA256: hashOf("secret-old"), Workspace: "alpha", Withdrawn: true})
		},
	})
	return b
}

// Guards against data that leaves its region, forwarded requests that a VM must not run, and callers
// that exceed the bounds. The checks of logs and credentials come last, after all traffic.
func TestBounds(t *testing.T) {
	t.Parallel()
	b := startBoundsFleet(t)
	t.Run("wrongRegionBeforeBody", b.testWrongRegion)
	t.Run("craftedOpen", b.testCraftedOpen)
	t.Run("isolation", b.testIsolation)
	t.Run("callers", b.testCallers)
	t.Run("peers", b.testPeers)
	b.checkSecrets(t)
}

// raw sends bytes to a VM's caller port and reads one answer. The connection stays open meanwhile.
func (b *boundsFleet) raw(t *testing.T, slot, text string) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp", b.callerAddress(slot))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%s: no answer: %v", slot, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func header(method, path, key string, more ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: vm", "Authorization: Bearer " + key}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

func (b *boundsFleet) testWrongRegion(t *testing.T) {
	requests := map[string]string{
		"chat":    header("POST", "/v1/chat/completions", keyOf("alpha"), "X-Route: homechat", "Content-Length: 1000"),
		"service": header("POST", "/v1/services/lookup/name", keyOf("alpha"), "Content-Length: 1000"),
	}
	for name, text := range requests {
		// The body never comes: an answer shows that the VM did not wait for it.
		status, body := b.raw(t, "centro-1", text)
		if status != http.StatusMisdirectedRequest || !strings.Contains(body, `"wrongRegion"`) || !strings.Contains(body, `"notRun"`) {
			t.Errorf("%s: status %d, %s", name, status, body)
		}
		if !strings.Contains(body, b.callerAddress("norte-1")) {
			t.Errorf("%s: the refusal does not name the VM to use: %s", name, body)
		}
	}
	a, err := b.chat(chatOptions{vm: "centro-1", key: keyOf("alpha"), model: "balcao", prompt: marker, maxTokens: 5})
	if err != nil || a.code != "wrongRegion" || a.ran != "notRun" {
		t.Errorf("route named by the body: code %q ran %q error %v", a.code, a.ran, err)
	}
}

// forwardRaw opens a stream with a VM as another VM would, and returns how it ended.
func (b *boundsFleet) forwardRaw(t *testing.T, slot string, open vmwire.Open) *vmwire.End {
	t.Helper()
	endpoint, err := vm.NewEndpoint(vm.Identity{Slot: "intruder", Incarnation: 1, Region: "norte"}, []byte(fleetKey), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	s, err := endpoint.Dial(ctx, b.peerAddress(slot))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close(nil)
	body := []byte(`{"model":"redator","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"` + marker + `"}]}`)
	if open.BodyBytes == 0 {
		open.BodyBytes = int64(len(body))
	}
	st, err := s.OpenStream(ctx, &open)
	if err != nil {
		t.Fatal(err)
	}
	_ = st.Send(ctx, body)
	for {
		_, end, err := st.Recv(ctx)
		if err != nil {
			t.Fatalf("%s: %v", open.RequestID, err)
		}
		if end != nil {
			return end
		}
	}
}

func (b *boundsFleet) peerAddress(slot string) string {
	for i := range b.file.VMs {
		if b.file.VMs[i].Name == slot {
			return b.file.VMs[i].PeerAddress
		}
	}
	return ""
}

func (b *boundsFleet) testCraftedOpen(t *testing.T) {
	v := b.nodes["norte-1"].version()
	valid := vmwire.Open{
		OriginSlot: "intruder", OriginRegion: "norte", ConfigNumber: v.Number, ConfigDigest: v.Digest, Route: "chat",
		Workspace: "alpha", KeyID: "alpha", Hops: 1, MaxTokens: 3, PromptTokens: 20, RemainingMillis: 3000,
	}
	cases := []struct {
		name, slot, code string
		edit             func(*vmwire.Open)
	}{
		{"valid", "norte-1", "", func(*vmwire.Open) {}},
		{"wrongRegion", "centro-1", "wrongRegion", func(o *vmwire.Open) { o.Route = "homechat" }},
		{"secondHop", "norte-1", "invalidRequest", func(o *vmwire.Open) { o.Hops = 2 }},
		{"noHop", "norte-1", "invalidRequest", func(o *vmwire.Open) { o.Hops = 0 }},
		{"noLocalUpstream", "centro-1", "noUpstream", func(*vmwire.Open) {}},
		{"withdrawnKey", "norte-1", "keyWithdrawn", func(o *vmwire.Open) { o.KeyID = "old" }},
		{"keyOfAnother", "norte-1", "keyWithdrawn", func(o *vmwire.Open) { o.KeyID = "beta" }},
		{"noKey", "norte-1", "unauthorized", func(o *vmwire.Open) { o.KeyID = "" }},
		{"openRouteOfAnother", "norte-1", "unauthorized", func(o *vmwire.Open) { o.KeyID, o.Route = "", "public" }},
		{"largeBody", "norte-1", "invalidRequest", func(o *vmwire.Open) { o.BodyBytes = 5 << 20 }},
		{"negativeBody", "norte-1", "invalidRequest", func(o *vmwire.Open) { o.BodyBytes = -1 }},
		{"laterConfig", "norte-1", "staleConfig", func(o *vmwire.Open) { o.ConfigNumber++ }},
	}
	for _, c := range cases {
		open := valid
		open.RequestID = "crafted-" + c.name
		c.edit(&open)
		end := b.forwardRaw(t, c.slot, open)
		if end.Code != c.code || (c.code != "" && end.Ran != "notRun") {
			t.Errorf("%s: code %q ran %q (%s), want %q", c.name, end.Code, end.Ran, end.Message, c.code)
		}
		if ran := b.engines["norte-engine-1"].Ran()[open.RequestID] > 0; ran != (c.code == "") {
			t.Errorf("%s: ran %v", c.name, ran)
		}
	}
}

// prefixes lists the prefix keys that the engine has cached.
func (b *boundsFleet) prefixes(t *testing.T) []string {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+b.engines["norte-engine-1"].Address()+"/v1/cacheevents?after=0", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+credential)
	resp, err := callerClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var page standin.CacheEvents
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		t.Fatal(err)
	}
	var list []string
	for _, e := range page.Events {
		if !slices.Contains(list, e.Prefix) {
			list = append(list, e.Prefix)
		}
	}
	return list
}

// testIsolation sends one prompt from three workspaces, through one VM and through two.
func (b *boundsFleet) testIsolation(t *testing.T) {
	before := len(b.prefixes(t))
	prompt := marker + strings.Repeat(" shared start", 100)
	for range 2 {
		for _, slot := range []string{"norte-1", "centro-1"} {
			for _, c := range []struct{ key, model string }{{keyOf("alpha"), "redator"}, {keyOf("beta"), "redator"}, {"", "aberto"}} {
				a, err := b.chat(chatOptions{vm: slot, key: c.key, model: c.model, prompt: prompt, maxTokens: 3})
				if err != nil || !a.done {
					t.Errorf("%s at %s: code %q, error %v", c.model, slot, a.code, err)
				}
			}
		}
	}
	if n := len(b.prefixes(t)) - before; n != 3 {
		t.Errorf("%d prefix keys for one prompt of three workspaces, want 3", n)
	}
	a, err := b.chat(chatOptions{vm: "norte-1", model: "redator", prompt: marker, maxTokens: 3})
	if err != nil || a.code != "unauthorized" || a.ran != "notRun" {
		t.Errorf("route that is not open, without a key: code %q, error %v", a.code, err)
	}
}

func (b *boundsFleet) testCallers(t *testing.T) {
	chat := func(more ...string) string { return header("POST", "/v1/chat/completions", keyOf("alpha"), more...) }
	large := fmt.Sprintf("%x\r\n%s\r\n", 5<<20, strings.Repeat("x", 5<<20))
	cases := []struct {
		name, text, code string
		status           int
	}{
		{"oversize", chat("Content-Length: 5000000"), "tooLarge", 413},
		{"oversizeChunked", chat("Transfer-Encoding: chunked") + large, "tooLarge", 413},
		{"malformed", chat("Content-Length: 25") + `{"model":"` + marker[:15], "invalidRequest", 400},
		{"unknownModel", chat("Content-Length: 94") + fmt.Sprintf("%-94s", `{"model":"`+marker+`","messages":[{"role":"user","content":"`+marker+`"}]}`), "notFound", 404},
		{"badOffset", chat("Last-Event-ID: "+marker, "Content-Length: 75") + fmt.Sprintf("%-75s", `{"model":"redator","messages":[{"role":"user","content":"hello"}]}`), "invalidRequest", 400},
		{"largeHeader", chat("X-Large: " + strings.Repeat("x", 64<<10)), "", 431},
		{"keyInPath", header("GET", "/v1/services/lookup/"+keyOf("alpha")+"?key="+keyOf("alpha"), keyOf("beta")), "", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, body := b.raw(t, "norte-1", c.text)
			if status != c.status || (c.code != "" && !strings.Contains(body, `"`+c.code+`"`)) {
				t.Errorf("status %d, %.300s; want %d and code %s", status, body, c.status, c.code)
			}
		})
	}
	b.checkSlow(t, chat("Content-Length: 1000")+"{")
	if n := b.nodes["norte-1"].gateway.Status().OpenStreams; n != 0 {
		t.Errorf("%d open requests after all callers have gone", n)
	}
}

// checkSlow opens many connections that send nothing, half a header or half a body. The VM must end
// each of them by itself and serve others meanwhile.
func (b *boundsFleet) checkSlow(t *testing.T, halfBody string) {
	t.Helper()
	var conns []net.Conn
	for i := range 150 {
		conn, err := net.Dial("tcp", b.callerAddress("norte-1"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		_, _ = io.WriteString(conn, []string{"", "POST /v1/chat/comp", halfBody}[i%3])
	}
	for range 10 {
		a, err := b.chat(chatOptions{vm: "norte-1", key: keyOf("beta"), model: "redator", prompt: marker, maxTokens: 3})
		if err != nil || !a.done {
			t.Errorf("with slow callers: code %q, error %v", a.code, err)
		}
	}
	if n := b.nodes["norte-1"].gateway.Status().OpenStreams; n != 0 {
		t.Errorf("slow callers hold %d open requests", n)
	}
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
		if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("connection %d of kind %d is still open", i, i%3)
		}
	}
}

// testPeers connects to the port for VMs without the fleet key.
func (b *boundsFleet) testPeers(t *testing.T) {
	address := b.peerAddress("norte-1")
	stranger, err := vm.NewEndpoint(vm.Identity{Slot: "centro-1", Incarnation: 9}, []byte("another fleet key than theirs"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if s, err := stranger.Dial(context.Background(), address); err == nil {
		s.Close(nil)
		t.Error("a peer without the fleet key got a session")
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write(bytes.Repeat([]byte{0xff}, 1<<10))
	_ = conn.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Error("a connection of garbage is still open")
	}
	if !strings.Contains(b.log.String(), "event=1203") {
		t.Error("the refusal of the peer is not in the log")
	}
}

// checkSecrets checks what upstreams and logs have seen of all requests so far.
func (b *boundsFleet) checkSecrets(t *testing.T) {
	t.Helper()
	seen := b.engines["norte-engine-1"].AuthorizationsSeen()
	for auth, n := range b.service.AuthorizationsSeen() {
		seen[auth] += n
	}
	if len(seen) != 1 || seen["Bearer "+credential] == 0 {
		t.Errorf("upstreams saw the authorizations %v", seen)
	}
	text := b.log.String()
	if !strings.Contains(text, "event=1301") {
		t.Error("the log has no line of a completed request: the test shows nothing")
	}
	for _, secret := range []string{marker, marker[:15], "secret-alpha", "secret-beta", credential, fleetKey, hashOf("secret-alpha")} {
		if i := strings.Index(text, secret); i >= 0 {
			t.Errorf("log contains %q: %.300s", secret, text[max(0, i-150):])
		}
	}
}

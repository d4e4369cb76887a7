package soak

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"parsleyhatch/platform"
)

// double takes the place of a VM, before one upstream. It passes requests on well but for one fault.
type double struct {
	ledger   *ledger
	upstream *upstreamServer
	server   *httptest.Server
	// change makes the fault: it sees the request before it is passed on and may answer it. It reports whether it
	// has.
	change func(d *double, w http.ResponseWriter, r *http.Request) bool
	// header changes what goes to the upstream.
	header func(h http.Header)
	// body changes the answer.
	body func(text string) string
}

func newDouble(t *testing.T) *double {
	t.Helper()
	d := &double{ledger: newLedger()}
	u, err := newUpstream("u1", d.ledger)
	if err != nil {
		t.Fatal(err)
	}
	d.upstream = u
	d.server = httptest.NewServer(d)
	d.ledger.workspaces["key"] = "workspace"
	d.ledger.regions["vm"], d.ledger.regions["u1"] = "north", "north"
	t.Cleanup(func() {
		d.server.Close()
		u.close()
	})
	return d
}

// ServeHTTP passes a request on.
func (d *double) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.change != nil && d.change(d, w, r) {
		return
	}
	resp, err := d.pass(r, bodyOf(r.Header.Get(platform.HeaderRequestID)))
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	if d.body != nil {
		text = []byte(d.body(string(text)))
	}
	w.Header().Set(platform.HeaderServerStamp, resp.Header.Get(platform.HeaderServerStamp))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(text)
}

func (d *double) pass(r *http.Request, body string) (*http.Response, error) {
	out, err := http.NewRequest(r.Method, "http://"+d.upstream.address()+r.URL.RequestURI(), strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	out.Header.Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	out.Header.Set(platform.HeaderWorkspace, "workspace")
	if d.header != nil {
		d.header(out.Header)
	}
	return http.DefaultClient.Do(out)
}

// call sends one request to the double.
func (d *double) call(k kind, id string) {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	call(client, d.ledger, d.server.Listener.Addr().String(), attempt{
		id: id, kind: k, key: "key", vm: "vm", sentAt: time.Now(), deadline: 300 * time.Millisecond,
	})
}

// drop removes the n-th event of a stream.
func drop(text string, n int) string {
	parts := strings.SplitAfter(text, "\n\n")
	return strings.Join(append(parts[:n:n], parts[n+1:]...), "")
}

var testBounds = bounds{
	revoke: 50 * time.Millisecond, drain: 50 * time.Millisecond, contact: time.Millisecond,
	answerSlack: 100 * time.Millisecond, recovered: 0.95,
}

// Guards against a checker that misses a broken promise: for each one, a VM that breaks it must be reported, and
// for nothing else.
func TestBrokenDoublesAreReported(t *testing.T) {
	for _, c := range []struct {
		promise string
		kind    kind
		prepare func(d *double)
	}{
		{"unsafe runs once", unsafe, func(d *double) {
			d.change = func(d *double, _ http.ResponseWriter, r *http.Request) bool {
				if resp, err := d.pass(r, bodyOf(r.Header.Get(platform.HeaderRequestID))); err == nil {
					_ = resp.Body.Close()
				}
				return false
			}
		}},
		{"refused has not run", unsafe, func(d *double) {
			d.change = func(d *double, w http.ResponseWriter, r *http.Request) bool {
				if resp, err := d.pass(r, bodyOf(r.Header.Get(platform.HeaderRequestID))); err == nil {
					_ = resp.Body.Close()
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}},
		{"answers are whole and an upstream's", safe, func(d *double) {
			d.body = func(text string) string { return text[:len(text)-1] }
		}},
		{"answers are whole and an upstream's", safe, func(d *double) {
			d.change = func(_ *double, w http.ResponseWriter, _ *http.Request) bool {
				_, _ = io.WriteString(w, "made up")
				return true
			}
		}},
		{"streams have no gap and no repeat", stream, func(d *double) {
			d.body = func(text string) string { return drop(text, 3) }
		}},
		{"streams have no gap and no repeat", stream, func(d *double) {
			d.body = func(text string) string { return drop(text, streamEvents-1) }
		}},
		{"upstreams get what callers sent", safe, func(d *double) {
			d.header = func(h http.Header) { h.Set(platform.HeaderAPIKey, "key") }
		}},
		{"upstreams get what callers sent", safe, func(d *double) {
			d.header = func(h http.Header) { h.Set(platform.HeaderWorkspace, "other") }
		}},
		{"upstreams get what callers sent", safe, func(d *double) {
			d.change = func(_ *double, _ http.ResponseWriter, r *http.Request) bool {
				r.URL.RawQuery += "&more=1"
				return false
			}
		}},
		{"withdrawn keys stop working", safe, func(d *double) {
			d.ledger.withdrawn["key"] = time.Now().Add(-time.Second)
		}},
		{"leaving upstreams get nothing new", safe, func(d *double) {
			d.ledger.draining["u1"] = time.Now().Add(-time.Second)
		}},
		{"each request gets an answer in time", safe, func(d *double) {
			d.change = func(*double, http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
		}},
		{"each request gets an answer in time", safe, func(d *double) {
			d.change = func(*double, http.ResponseWriter, *http.Request) bool {
				time.Sleep(600 * time.Millisecond)
				return false
			}
		}},
		{"service returns after faults", safe, func(d *double) {
			d.ledger.disturb("other")()
			time.Sleep(10 * time.Millisecond)
			d.change = func(_ *double, w http.ResponseWriter, _ *http.Request) bool {
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
		}},
	} {
		t.Run(c.promise, func(t *testing.T) {
			d := newDouble(t)
			c.prepare(d)
			d.call(c.kind, "id-1")
			found := d.ledger.check(testBounds)
			if len(found) != 1 || found[0].promise != c.promise {
				t.Errorf("reported %v, want one violation of %q", found, c.promise)
			}
		})
	}
}

// Guards against a checker that reports what is allowed.
func TestGoodDoubleIsNotReported(t *testing.T) {
	d := newDouble(t)
	d.ledger.draining["u2"] = time.Now().Add(-time.Second)
	d.ledger.withdrawn["other"] = time.Now().Add(-time.Second)
	for i, k := range []kind{safe, unsafe, stream} {
		d.call(k, fmt.Sprint("id-", i))
	}
	for _, v := range d.ledger.check(testBounds) {
		t.Error(v)
	}
}

// Guards against promises without a double that breaks them.
func TestEachPromiseHasADouble(t *testing.T) {
	if len(promises) != 9 {
		t.Errorf("%d promises; add a double for each to TestBrokenDoublesAreReported", len(promises))
	}
}

// Guards against an excuse that covers more than the disturbed VM.
func TestDisturbanceExcusesItsVMOnly(t *testing.T) {
	d := newDouble(t)
	d.change = func(*double, http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
	end := d.ledger.disturb("vm2")
	d.call(safe, "id-1")
	end()
	if found := d.ledger.check(testBounds); len(found) == 0 {
		t.Error("a fault of another VM excuses a lost answer")
	}
	d = newDouble(t)
	d.change = func(*double, http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
	end = d.ledger.disturb("vm")
	d.call(safe, "id-1")
	end()
	for _, v := range d.ledger.check(testBounds) {
		t.Error(v)
	}
}

package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"parsleyhatch/callerconn"
	"parsleyhatch/config"
	"parsleyhatch/gateway"
	"parsleyhatch/vmwire"
)

// servicePathPrefix is the path prefix of service calls; the name of the route follows it.
const servicePathPrefix = "/v1/services/"

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 256

// forwardedHeaders are the only request headers that are forwarded to a service. The Authorization header, which
// holds the caller's key, is not forwarded.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// service serves /v1/services/{route}/{path}.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	req, out := s.parseServiceRequest(w, r)
	if out.Code != gateway.OK {
		a := admission{snapshot: s.Gateway.Snapshot()}
		if a.mayHaveRecord(r) && out.Ran == gateway.NotRun {
			out.Ran = gateway.Unknown // An earlier request with the same idempotency key may have run.
		}
		writeError(w, requestID(req), out)
		return
	}
	control := http.NewResponseController(w)
	started := false
	out = s.Gateway.Serve(r.Context(), req, func(_ context.Context, c *vmwire.Chunk) error {
		if !started {
			started = true
			copyHeader(w.Header(), c.Header)
			w.Header().Set("X-Request-Id", req.ID)
			w.WriteHeader(int(c.Status))
		}
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := w.Write(c.Data)
		return err
	})
	switch {
	case out.Code == gateway.OK:
	case !started:
		writeError(w, req.ID, out)
	default:
		callerconn.Abort(w, r)
	}
}

func (s *Server) parseServiceRequest(w http.ResponseWriter, r *http.Request) (*gateway.Request, gateway.Outcome) {
	a, out := s.admit(r)
	if out.Code != gateway.OK {
		return nil, out
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePathPrefix), "/")
	route := a.snapshot.Routes[name]
	if route == nil || route.Kind != config.KindService {
		return nil, refusal(gateway.NotFound, "unknown service route "+strconv.Quote(name), 0)
	}
	workspace, out := a.workspace(route)
	if out.Code != gateway.OK {
		return nil, out
	}
	if out := s.checkHomeRegion(a, route, workspace); out.Code != gateway.OK {
		return nil, out
	}
	key := r.Header.Get("Idempotency-Key")
	if out := checkIdempotencyKey(route, key); out.Code != gateway.OK {
		return nil, out
	}
	body, out := readBody(w, r)
	if out.Code != gateway.OK {
		return nil, out
	}
	req := s.newRequest(a, route, workspace)
	req.Body = body
	req.Method = r.Method
	req.Path = "/" + path
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.Header = map[string]string{}
	for _, h := range forwardedHeaders {
		if v := r.Header.Get(h); v != "" {
			req.Header[h] = v
		}
	}
	req.IdempotencyKey = key
	return req, gateway.Outcome{}
}

func checkIdempotencyKey(route *config.Route, key string) gateway.Outcome {
	if key == "" && !route.Idempotent {
		return refusal(gateway.IdempotencyMissing, "calls of route "+route.Name+" need an Idempotency-Key", 0)
	}
	return checkKeyFormat(key)
}

// checkKeyFormat rejects a key that is too long or contains characters other than printable ASCII. All VMs
// reject such a key.
func checkKeyFormat(key string) gateway.Outcome {
	if len(key) > maxIdempotencyKeyBytes {
		return refusal(gateway.InvalidRequest, "Idempotency-Key above "+strconv.Itoa(maxIdempotencyKeyBytes)+" bytes", 0)
	}
	for _, c := range []byte(key) {
		if c < 0x21 || c > 0x7e {
			return refusal(gateway.InvalidRequest, "Idempotency-Key has a character that is not printable", 0)
		}
	}
	return gateway.Outcome{}
}

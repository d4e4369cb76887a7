package httpresponse

import (
	"cmp"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport checks the heads of the responses that another transport reads, and closes the connections of those that fail. It does not see interim
// responses: net/http drops them, and does not bound them any more once a hook reads them.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip sends a request and returns its response. It returns the errors of the other transport and of CheckHead, and ErrVersion. Its body
// returns those of Read.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	closeConn := func() {
		if conn != nil {
			_ = conn.Close() // What follows may belong to no request.
		}
	}
	if err := cmp.Or(checkVersion(resp), CheckHead(resp.StatusCode, resp.Header)); err != nil {
		closeConn()
		_ = resp.Body.Close()
		return nil, err
	}
	checkTrailer(resp, closeConn)
	return resp, nil
}

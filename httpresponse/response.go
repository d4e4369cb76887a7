// Package httpresponse reads HTTP/1.1 responses. It rejects heads that break the protocol although net/http accepts them.
package httpresponse

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// minStatus and maxStatus bound the status of a response (RFC 9110, section 15).
const minStatus, maxStatus = 100, 599

// ErrStatus means that a response has a status that is none, or that switches to another protocol: no request here asks for one.
var ErrStatus = errors.New("invalid status")

// ErrFieldName means that the name of a field is no token. The parser of net/http accepts blanks in names, and does not see that such a field was to
// say where the body ends.
var ErrFieldName = errors.New("invalid field name")

// Read reads the head of a response to a request with a method. It returns ErrVersion, and the errors of http.ReadResponse and CheckHead. The body
// of the response returns ErrFieldName in place of io.EOF if its trailer has an invalid name.
func Read(r *bufio.Reader, method string) (*http.Response, error) {
	if err := checkEncoding10(r); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := checkVersion(resp); err != nil {
		return nil, err
	}
	if err := CheckHead(resp.StatusCode, resp.Header); err != nil {
		return nil, err
	}
	checkTrailer(resp, func() {})
	return resp, nil
}

// CheckFinalHead is CheckHead for a response that must not be an interim one.
func CheckFinalHead[V any](status int, fields map[string]V) error {
	if status < http.StatusOK {
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return CheckHead(status, fields)
}

// CheckHead returns ErrStatus if the status of a response is invalid, and ErrFieldName if the name of a field is.
func CheckHead[V any](status int, fields map[string]V) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return checkNames(fields)
}

func checkNames[V any](fields map[string]V) error {
	for name := range fields {
		if !isToken(name) {
			return fmt.Errorf("%w: %.32q", ErrFieldName, name)
		}
	}
	return nil
}

// isToken reports whether a name is a token (RFC 9110, section 5.6.2).
func isToken(name string) bool {
	for _, c := range []byte(name) {
		isLetter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		if !isLetter && !('0' <= c && c <= '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return name != ""
}

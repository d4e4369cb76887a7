package httpresponse

import (
	"errors"
	"io"
	"net/http"
)

// trailerChecker is the body of a response whose trailer is checked at its end.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
	// onInvalid is called when the trailer has an invalid name.
	onInvalid func()
}

// checkTrailer makes the body of a response check its trailer. Only a body in chunks has one.
func checkTrailer(resp *http.Response, onInvalid func()) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{resp.Body, resp, onInvalid}
	}
}

// Read reads the body. It returns ErrFieldName at the end if the name of a field of the trailer is invalid.
func (c *trailerChecker) Read(b []byte) (int, error) {
	n, err := c.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) {
		if nameErr := checkNames(c.response.Trailer); nameErr != nil {
			c.onInvalid()
			return n, nameErr
		}
	}
	return n, err
}

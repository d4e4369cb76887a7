package httpresponse

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"parsleyhatch/standin/rawanswer"
)

// Guards against a broken head that is taken for one.
func TestBrokenHeadsAreRejected(t *testing.T) {
	for _, h := range slices.Concat(rawanswer.BrokenHeads, rawanswer.BrokenTrailers, rawanswer.HiddenBrokenHeads) {
		r := bufio.NewReader(strings.NewReader(h.Bytes("", "body")))
		resp, err := Read(r, http.MethodGet)
		for err == nil && resp.StatusCode < http.StatusOK {
			resp, err = Read(r, http.MethodGet)
		}
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err == nil {
			t.Errorf("%s: accepted", h.Name)
		}
	}
}

// Guards against checks that reject sound responses.
func TestSoundHeadsAreAccepted(t *testing.T) {
	for name, text := range map[string]string{
		"interim":                  "HTTP/1.1 103 Early Hints\r\n\r\n",
		"unknown status of 2xx":    "HTTP/1.1 299 \r\n\r\n",
		"unknown status of 3xx":    "HTTP/1.1 399 \r\n\r\n",
		"unknown status of 4xx":    "HTTP/1.1 499 \r\n\r\n",
		"unknown status of 5xx":    "HTTP/1.1 599 \r\n\r\n",
		"no reason":                "HTTP/1.1 200\r\n\r\n",
		"blanks in a value":        "HTTP/1.1 200 OK\r\nX-Field:  a b\tc \r\n\r\n",
		"folded value":             "HTTP/1.1 200 OK\r\nX-Field: a\r\n b: c\r\n\r\n",
		"version 1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"version 1.0, no fields":   "HTTP/1.0 200 OK\r\n\r\ntransfer-encoding: chunked\r\n",
		"version 1.0, long head":   "HTTP/1.0 200 OK\r\nX-Field: " + strings.Repeat("x", 8<<10) + "\r\n\r\nx",
		"version 1.2":              "HTTP/1.2 200 OK\r\nContent-Length: 1\r\n\r\nx",
		"all characters of a name": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
		"trailer":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n1\r\nx\r\n0\r\nX-Sum: a b\r\n\r\n",
	} {
		resp, err := Read(bufio.NewReader(strings.NewReader(text)), http.MethodGet)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Errorf("%s: body: %v", name, err)
		}
	}
}

// Guards against checks that only know what a parser lets through.
func TestUnparsedHeadIsRejected(t *testing.T) {
	for _, status := range []int{-1, 0, 99, 101, 600, 1000} {
		if err := CheckHead(status, http.Header{}); !errors.Is(err, ErrStatus) {
			t.Errorf("status %d: %v", status, err)
		}
	}
	for _, name := range []string{"", " ", "X Field", "X\tField", "X:", "X\r\nField", "X\x7f", "X-F\xe9ld"} {
		if err := CheckHead(http.StatusOK, http.Header{"X-Field": {"1"}, name: {"1"}}); !errors.Is(err, ErrFieldName) {
			t.Errorf("name %q: %v", name, err)
		}
	}
}

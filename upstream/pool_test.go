package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// rawServer answers connections with a function, and returns its address.
func rawServer(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request with its body, and returns its id.
func readRequest(r *bufio.Reader) (string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req.Header.Get(HeaderRequestID), err
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func outgoing(address, id string) *Outgoing {
	return &Outgoing{Address: address, ID: id, Method: "POST", Target: "/", Host: "h", Header: http.Header{HeaderRequestID: {id}}, Body: []byte("x")}
}

// exchange makes a call and returns the whole body.
func exchange(t *testing.T, p *Pool, o *Outgoing) (string, error) {
	t.Helper()
	a, err := p.Do(context.Background(), o)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestConnectionsAreKept(t *testing.T) {
	address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(c, answer(id, "ok"))
		}
	})
	p := NewPool(time.Now)
	for i := range 5 {
		if body, err := exchange(t, p, outgoing(address, fmt.Sprint(i))); err != nil || body != "ok" {
			t.Fatalf("answer %q, error %v", body, err)
		}
	}
	if s := p.Stats(); s.Dialed != 1 || s.Reused != 4 {
		t.Errorf("stats %+v", s)
	}
}

// Guards against an answer that reaches the caller of another request: a late second answer arrives where
// the next one is expected.
func TestForeignAnswersAreSkipped(t *testing.T) {
	address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		fmt.Fprint(c, answer("another", "wrong")+answer(id, "right"))
	})
	if body, err := exchange(t, NewPool(time.Now), outgoing(address, "1")); err != nil || body != "right" {
		t.Errorf("answer %q, error %v", body, err)
	}
}

// Guards against a kept connection on which more bytes than the answer arrived.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			id, err := readRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(c, answer(id, "ok")+"HTTP/1.1 200 OK\r\n")
		}
	})
	p := NewPool(time.Now)
	for i := range 3 {
		if body, err := exchange(t, p, outgoing(address, fmt.Sprint(i))); err != nil || body != "ok" {
			t.Fatalf("answer %q, error %v", body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if s := p.Stats(); s.Dialed != 3 {
		t.Errorf("stats %+v", s)
	}
}

// Guards against a request on a connection that the upstream has closed: whether it ran is then unknown.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if id, err := readRequest(r); err == nil {
			fmt.Fprint(c, answer(id, "ok"))
		}
	})
	p := NewPool(time.Now)
	for i := range 3 {
		if _, err := exchange(t, p, outgoing(address, fmt.Sprint(i))); err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestFailureKinds(t *testing.T) {
	garbage := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			fmt.Fprint(c, "no answer at all\r\n\r\n")
		}
	})
	foreign := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := readRequest(r); err == nil {
			fmt.Fprint(c, strings.Repeat(answer("another", "wrong"), 5))
		}
	})
	for _, c := range []struct {
		name, address string
		want          FailureKind
	}{
		{"refused connection", "127.0.0.1:1", NotSent},
		{"garbage", garbage, Broken},
		{"answers to others", foreign, Mismatched},
	} {
		_, err := exchange(t, NewPool(time.Now), outgoing(c.address, "1"))
		var f *Failure
		if !errors.As(err, &f) || f.Kind != c.want {
			t.Errorf("%s: %v, want kind %d", c.name, err, c.want)
		}
	}
}

// Guards against an answer that was cut and looks whole.
func TestCutAnswersAreErrors(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 10\r\n\r\nshort",
		"chunked": "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
	} {
		address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := readRequest(r); err == nil {
				fmt.Fprint(c, text)
			}
		})
		if body, err := exchange(t, NewPool(time.Now), outgoing(address, "1")); err == nil {
			t.Errorf("%s: answer %q without an error", name, body)
		}
	}
}

// Guards against a bound on connections that is not kept.
func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		id, err := readRequest(r)
		if err != nil {
			return
		}
		<-release
		fmt.Fprint(c, answer(id, "ok"))
	})
	p := NewPool(time.Now)
	first := outgoing(address, "1")
	first.Connections = 1
	done := make(chan error, 1)
	go func() {
		_, err := exchange(t, p, first)
		done <- err
	}()
	for p.Stats().Dialed == 0 {
		time.Sleep(time.Millisecond)
	}
	second := outgoing(address, "2")
	second.Connections = 1
	_, err := exchange(t, p, second)
	var f *Failure
	if !errors.As(err, &f) || f.Kind != NotSent || !PoolFull(f.Err) {
		t.Errorf("second request: %v", err)
	}
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a long request that blocks because the upstream answers before it has read it.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	address := rawServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(c, answer("1", "early"))
			time.Sleep(200 * time.Millisecond)
		}
	})
	o := outgoing(address, "1")
	o.Body = make([]byte, 8<<20)
	if body, err := exchange(t, NewPool(time.Now), o); err != nil || body != "early" {
		t.Errorf("answer %q, error %v", body, err)
	}
}

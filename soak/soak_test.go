package soak

import (
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// Guards against plans that differ for the same seed, and against kinds of faults that never occur.
func TestPlan(t *testing.T) {
	if a, b := plan(3, time.Minute), plan(3, time.Minute); !slices.Equal(a, b) {
		t.Error("two plans of one seed differ")
	}
	seen := map[faultKind]bool{}
	for seed := range uint64(20) {
		for _, f := range plan(seed, time.Minute) {
			seen[f.kind] = true
			if f.at+f.length > time.Minute-quietAfter {
				t.Errorf("seed %d: %s lasts into the quiet time", seed, f.kind)
			}
		}
	}
	for _, k := range faultKinds {
		if !seen[k] {
			t.Errorf("no plan has %q", k)
		}
	}
}

// Guards against a link whose faults do nothing, or go on after their end.
func TestProxyFaults(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy(echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	try := func() (time.Duration, error) {
		c, err := net.Dial("tcp", p.address())
		if err != nil {
			return 0, err
		}
		defer func() { _ = c.Close() }()
		begin := time.Now()
		_ = c.SetDeadline(begin.Add(400 * time.Millisecond))
		if _, err := c.Write([]byte("x")); err != nil {
			return 0, err
		}
		_, err = c.Read(make([]byte, 1))
		return time.Since(begin), err
	}
	for _, c := range []struct {
		fault  int32
		passes bool
		least  time.Duration
	}{
		{passes, true, 0}, {delays, true, 2 * linkDelay}, {silences, false, 0}, {silencesAnswers, false, 0}, {passes, true, 0},
	} {
		p.set(c.fault)
		took, err := try()
		if (err == nil) != c.passes || took < c.least {
			t.Errorf("fault %d: %v after %v", c.fault, err, took)
		}
	}
	c, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	time.Sleep(50 * time.Millisecond)
	p.set(resets)
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) || strings.Contains(err.Error(), "timeout") {
		t.Errorf("after a reset: %v, want the connection to end", err)
	}
}

package selector

import "testing"

// Guards against a requirement that matches the wrong labels, which would route requests to the wrong
// upstreams.
func TestMatches(t *testing.T) {
	labels := map[string]string{"model": "redator", "tier": "a"}
	cases := []struct {
		selector string
		want     bool
	}{
		{"", true},
		{"model=redator", true},
		{"model==redator,tier in (a, b)", true},
		{"model!=redator", false},
		{"zone!=x", true},
		{"tier notin (a)", false},
		{"tier,!canary", true},
		{"!tier", false},
	}
	for _, c := range cases {
		sel, err := Parse(c.selector)
		if err != nil {
			t.Fatalf("Parse(%q): %v", c.selector, err)
		}
		if got := sel.Matches(labels); got != c.want {
			t.Errorf("%q matches = %v, want %v", c.selector, got, c.want)
		}
	}
}

// Guards against a malformed selector that is accepted and then matches all upstreams or none.
func TestParseErrors(t *testing.T) {
	for _, text := range []string{"a=", "=b", "a in b", "a in (", "a in ()", "a,,b", "a b", "a%=b", "in (x)"} {
		if _, err := Parse(text); err == nil {
			t.Errorf("Parse(%q) succeeded", text)
		}
	}
}

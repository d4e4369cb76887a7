package edge

import (
	"strings"
	"testing"
)

// Guards against a gap in the stream of a caller that resumes it itself, because the upstream leaves out events: the caller's last event
// does not say which number comes next, but the other streams do.
func TestGapReachesCallerThatResumes(t *testing.T) {
	w := newScriptedCluster(t)
	for _, route := range []string{"a", "b"} {
		for range 25 {
			if body, err := w.read(t, route, "", nil); body != pieces(1, lastScripted) || err != nil {
				t.Fatalf("answer %q, error %v", body, err)
			}
		}
	}
	for name, attempts := range map[string][]string{
		"late":                 {"6 7 8 ."},
		"repeats, then a gap":  {"2 3 5 6 7 8 ."},
		"two upstreams, late":  {"5 6 7 8 .", "8 ."},
		"sound":                {"4 5 6 7 8 ."},
		"sound after a repeat": {"3 4 5 6 7 8 ."},
	} {
		for _, route := range []string{"a", "b"} {
			t.Run(name+" on route "+route, func(t *testing.T) {
				t.Parallel()
				if body, err := w.read(t, route, "3", attempts); body != pieces(4, lastScripted) || err != nil {
					t.Errorf("answer %q, error %v", body, err)
				}
			})
		}
	}
}

// Guards against a gap in the first streams that a VM passes on, or in the first events of one, when no step of their ids is known yet.
func TestGapReachesCallerOfFirstStream(t *testing.T) {
	for name, c := range map[string]struct {
		lastEvent string
		attempts  []string
		first     int
	}{
		"after the first event":        {"", []string{"1 !10", "4 5 6 7 8 .", "2 3 4 5 6 7 8 ."}, 1},
		"after the second event":       {"", []string{"1 2 |", "5 6 7 8 ."}, 1},
		"the caller resumes":           {"3", []string{"6 7 8 ."}, 4},
		"the caller resumes, two gaps": {"3", []string{"6 7 8 .", "8 ."}, 4},
	} {
		for _, route := range []string{"a", "b"} {
			t.Run(name+" on route "+route, func(t *testing.T) {
				t.Parallel()
				w := newScriptedCluster(t)
				if body, err := w.read(t, route, c.lastEvent, c.attempts); body != pieces(c.first, lastScripted) || err != nil {
					t.Errorf("answer %q, error %v", body, err)
				}
			})
		}
	}
}

// Guards against ids with larger steps that are taken for gaps until enough streams have shown them: a second upstream that goes on at the same
// event shows that there is none.
func TestWideStepOfFirstStreamIsNoGap(t *testing.T) {
	for name, c := range map[string]struct {
		lastEvent string
		attempts  []string
		want      []int
	}{
		"after the first event": {"", []string{"2 !10", "4 6 |", "4 6 8 ."}, []int{2, 4, 6, 8}},
		"the caller resumes":    {"2", []string{"4 6 8 .", "4 6 8 ."}, []int{4, 6, 8}},
	} {
		for _, route := range []string{"a", "b"} {
			t.Run(name+" on route "+route, func(t *testing.T) {
				t.Parallel()
				var want strings.Builder
				for _, n := range c.want {
					want.WriteString(pieces(n, n))
				}
				w := newScriptedCluster(t)
				if body, err := w.read(t, route, c.lastEvent, c.attempts); body != want.String() || err != nil {
					t.Errorf("answer %q, error %v", body, err)
				}
			})
		}
	}
}

// Guards against a stream that looks complete because the upstream at which it resumes sends nothing, although the one before had sent
// a part of the next event.
func TestNothingFollowsPartOfEvent(t *testing.T) {
	w := newScriptedCluster(t)
	for name, attempts := range map[string][]string{
		"breaks off":     {"1 2 3 !10", "."},
		"twice":          {"1 2 3 !10", ".", "."},
		"then goes on":   {"1 2 3 !10", "4 5 6 7 !10", "."},
		"between events": {"1 2 3 4 5 6 7 8 |", "."},
	} {
		for _, route := range []string{"a", "b"} {
			t.Run(name+" on route "+route, func(t *testing.T) {
				t.Parallel()
				if body, err := w.read(t, route, "", attempts); body != pieces(1, lastScripted) || err != nil {
					t.Errorf("answer %q, error %v", body, err)
				}
			})
		}
	}
}

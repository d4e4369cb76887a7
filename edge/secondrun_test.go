package edge

import "testing"

// Guards against streams joined of two runs, because an upstream begins again, or before the last event of the caller, and what the caller
// has is dropped by its number.
func TestSecondRunIsJoined(t *testing.T) {
	w := newScriptedCluster(t)
	for name, c := range map[string]struct {
		lastEvent string
		attempts  []string
		first     int
	}{
		"begins again":                          {"", []string{"1 2 3 !10", "*1 *2 *3 *4 *5 *6 *7 *8 ."}, 1},
		"one event too early":                   {"", []string{"1 2 3 |", "*3 *4 *5 *6 *7 *8 ."}, 1},
		"without the last event":                {"", []string{"1 2 3 |", "*1 *2 *4 *5 *6 *7 *8 ."}, 1},
		"after a silence":                       {"", []string{"1 2 3 ~ |", "*3 *4 *5 *6 *7 *8 ."}, 1},
		"ends before the last event":            {"", []string{"1 2 3 4 5 !10", "*1 *2 *3 ."}, 1},
		"ends early with the same text":         {"", []string{"1 2 3 4 5 !10", "1 2 3 ."}, 1},
		"all but the last attempt":              {"", []string{"1 2 |", "*1 *2 *3 |", "*2 *3 *4 *5 *6 *7 *8 ."}, 1},
		"the caller resumes":                    {"3", []string{"*1 *2 *3 *4 *5 *6 *7 *8 ."}, 4},
		"the caller resumes, one event early":   {"3", []string{"*3 *4 *5 *6 *7 *8 ."}, 4},
		"the caller resumes, then a second run": {"3", []string{"4 5 |", "*4 *5 *6 *7 *8 ."}, 4},
	} {
		for _, route := range []string{"a", "b"} {
			t.Run(name+" on route "+route, func(t *testing.T) {
				t.Parallel()
				body, err := w.read(t, route, c.lastEvent, c.attempts)
				if want := pieces(c.first, lastScripted); body != want || err != nil {
					t.Errorf("answer %q, error %v", body, err)
				}
			})
		}
	}
}

package sequence

import (
	"testing"
	"time"
)

// Guards against a step that is expected of streams although too few show it, others had another one, or those that had it are long ago.
func TestExpectedStep(t *testing.T) {
	now := time.Unix(1000, 0)
	const lifetime = time.Minute
	enough := func(s *Steps, step int64) {
		for range minStreams {
			s.Record(now, Kind{Service: "a"}, step)
		}
	}
	for name, c := range map[string]struct {
		record func(s *Steps)
		after  time.Duration
		want   Expectation
	}{
		"none":                       {func(*Steps) {}, 0, Expectation{}},
		"too few":                    {func(s *Steps) { s.Record(now, Kind{Service: "a"}, 1) }, 0, Expectation{Step: 1}},
		"enough":                     {func(s *Steps) { enough(s, 3) }, 0, Expectation{Step: 3, Certain: true}},
		"long ago":                   {func(s *Steps) { enough(s, 1) }, lifetime + 1, Expectation{}},
		"another step":               {func(s *Steps) { enough(s, 1); s.Record(now, Kind{Service: "a"}, 2); enough(s, 1) }, 0, Expectation{Irregular: true}},
		"an irregular stream":        {func(s *Steps) { enough(s, 1); s.RecordIrregular(now, Kind{Service: "a"}); enough(s, 1) }, 0, Expectation{Irregular: true}},
		"an irregular stream before": {func(s *Steps) { s.RecordIrregular(now.Add(-lifetime-1), Kind{Service: "a"}); enough(s, 1) }, 0, Expectation{Step: 1, Certain: true}},
		"of another version":         {func(s *Steps) { enough(s, 1); s.RecordIrregular(now, Kind{Service: "a", Version: "2"}) }, 0, Expectation{Step: 1, Certain: true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSteps(lifetime)
			c.record(s)
			if got := s.Expected(now.Add(c.after), Kind{Service: "a"}); got != c.want {
				t.Errorf("%+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against streams that confirm the step that they were expected to have.
func TestExpectedStreamsDoNotCount(t *testing.T) {
	now, kind := time.Unix(1000, 0), Kind{Service: "a"}
	all := NewSteps(time.Minute)
	for range 2 * minStreams {
		s := New("3")
		s.Expect(Expectation{Step: 1, Certain: true})
		source := s.NewSource("u1", false)
		source.Check(eventOf("4"))
		s.Report(now, all, kind)
	}
	if got := all.Expected(now, kind); got != (Expectation{}) {
		t.Errorf("%+v is expected", got)
	}
}

// Guards against gaps that reach the callers of all streams of a kind once two faulty upstreams have agreed on one.
func TestAgreedGapIsNoStepOfKind(t *testing.T) {
	now, kind := time.Now(), Kind{Service: "a"}
	all, s := NewSteps(time.Minute), New("3")
	first, second := s.NewSource("u1", false), s.NewSource("u2", false)
	first.Check(eventOf("6"))
	for _, id := range []string{"6", "7", "8"} {
		second.Check(eventOf(id))
	}
	s.Report(now, all, kind)
	if got, want := all.Expected(now, kind), (Expectation{Step: 1}); got != want {
		t.Errorf("%+v is expected, want %+v", got, want)
	}
}

package pace

import (
	"slices"
	"time"
)

const (
	// DefaultGap is the time between two events of a stream before the first answers of a service.
	DefaultGap = 40 * time.Millisecond
	// DefaultSpeed is the number of prompt tokens that are read in a millisecond before the first answers of a service.
	DefaultSpeed = 60.0

	// minGap, maxGap, minSpeed and maxSpeed bound measured and reported figures, so that a wrong one neither takes an upstream out of
	// use nor sends it all requests.
	minGap   = time.Millisecond
	maxGap   = 2 * time.Second
	minSpeed = 1.0
	maxSpeed = 1000.0

	// gapHalfLife is short, because the time between events follows the load of an upstream within a few steps.
	gapHalfLife = 300 * time.Millisecond
	// speedHalfLife is long, because the speed of reading is a property of the machine and has few samples.
	speedHalfLife = 10 * time.Second
	// serviceHalfLife is the half-life of the figures of a service, which are used for upstreams without samples.
	serviceHalfLife = time.Minute
	// gapPriorWeight and speedPriorWeight are the weights of the service's figures beside an upstream's own samples. The samples of the speed
	// differ by a factor of ten, since most prompts wait for others that this VM does not know of.
	gapPriorWeight   = 0.5
	speedPriorWeight = 4.0
	// serviceSpeedPriorWeight is the weight of DefaultSpeed in the mean speed of a service.
	serviceSpeedPriorWeight = 1.0
	// maxReportedWeight bounds the weight of a report of another VM.
	maxReportedWeight = 50.0

	// minSpeedTokens is the smallest number of tokens from which a speed is computed: with a shorter prompt, the steps of the engine take
	// longer than the reading.
	minSpeedTokens = 2000
	// maxSpeedGrowth is the multiple of the known speed above which a sample is ignored: the prompt was cached by another VM's request, and
	// would make the upstream seem many times faster.
	maxSpeedGrowth = 4.0
	// maxLagTokens is the largest number of tokens of a prompt whose first event shows the lag: the reading of a longer one hides it.
	maxLagTokens = 2000

	// DefaultLag is the lag (see Figures) before the first answers of a service. maxLag bounds it.
	DefaultLag = 40 * time.Millisecond
	maxLag     = time.Second
	// lagGapShare is the part of the growth of the gap under load by which the lag grows, too. It is less than one, since an event of a stream
	// takes several steps of an engine and the first event fewer.
	lagGapShare = 0.25
	// lagPriorWeight is the weight of DefaultLag beside the samples of the lag.
	lagPriorWeight = 1.0

	// biasHalfLife is the half-life of the bias, the ratio of measured to expected times to the first event. minBias and maxBias bound it.
	biasHalfLife = 2 * time.Second
	minBias      = 0.5
	maxBias      = 2.0
	// biasPriorMillis is the weight of the prior, a ratio of 1, beside the measured ratios, whose weights are their expected times in
	// milliseconds.
	biasPriorMillis = 500.0
	// maxBiasSample bounds a single ratio, so that one stalled request does not count for many.
	maxBiasSample = 4.0

	// idleGapQuantile is the quantile of the gaps of a service that counts as its gap without load, and idleGapStep the relative step by which
	// its estimate moves with each sample.
	idleGapQuantile = 0.2
	idleGapStep     = 0.02
	// speedQuantile is the quantile of the measured speeds of a service that counts as the speed without other prompts, which make most samples
	// too low. It is taken of the latest maxSpeedSamples samples and, before there are as many, of speedPriorSamples of DefaultSpeed.
	speedQuantile     = 0.75
	maxSpeedSamples   = 64
	speedPriorSamples = 4
)

// Figures is an estimate of how fast an upstream works.
type Figures struct {
	// Lag is the time to the first event of a prompt without tokens to read, up to 1 s.
	Lag time.Duration
	// Gap is the time between two events of a stream, from 1 ms to 2 s.
	Gap time.Duration
	// IdleGap is the gap without load, estimated for the service.
	IdleGap time.Duration
	// Speed is the number of prompt tokens read in a millisecond, from 1 to 1,000.
	Speed float64
}

// Report holds the measurements of one VM at an upstream, for other VMs.
type Report struct {
	// Gap and Speed are means, zero if there are no samples. GapWeight and SpeedWeight are the weights of their samples.
	Gap         time.Duration
	GapWeight   float64
	Speed       float64
	SpeedWeight float64
}

// Service holds the figures of all upstreams of a service together.
type Service struct {
	// speed is the mean of the measured speeds, with which an upstream's own mean is compared.
	speed, lag Mean
	// speeds are the latest samples for idleSpeed, the estimate of the speed without other prompts, in tokens per millisecond, which is zero
	// before the first sample.
	speeds    []float64
	idleSpeed float64
	// bias is the ratio of measured to expected times to the first event, by rank, since less urgent requests wait for later ones
	// that the estimate does not know.
	bias map[int]*Mean
	// idleGap is the estimate of the gap without load, in nanoseconds, zero before the first sample.
	idleGap float64
}

// IdleGap returns the time between two events of a stream without other load.
func (s *Service) IdleGap() time.Duration {
	if s.idleGap == 0 {
		return DefaultGap
	}
	return time.Duration(s.idleGap)
}

// Speed returns the speed of the service's upstreams, in prompt tokens per millisecond.
func (s *Service) Speed() float64 {
	if s.idleSpeed == 0 {
		return DefaultSpeed
	}
	return s.idleSpeed
}

// meanSpeed returns the mean of the measured speeds.
func (s *Service) meanSpeed(now time.Time) float64 {
	value, weight := s.speed.At(now, serviceHalfLife)
	return withPrior(value, weight, DefaultSpeed, serviceSpeedPriorWeight)
}

// recordSpeed records a measured speed of an upstream, divided by that of the upstream relative to the service.
func (s *Service) recordSpeed(speed float64) {
	for len(s.speeds) < speedPriorSamples {
		s.speeds = append(s.speeds, DefaultSpeed)
	}
	s.speeds = append(s.speeds, speed)
	if len(s.speeds) > maxSpeedSamples {
		s.speeds = slices.Delete(s.speeds, 0, 1)
	}
	sorted := slices.Sorted(slices.Values(s.speeds))
	s.idleSpeed = min(max(sorted[int(speedQuantile*float64(len(sorted)-1))], minSpeed), maxSpeed)
}

// lagOf returns the time to the first event of an empty prompt where events have the given gap.
func (s *Service) lagOf(now time.Time, gap time.Duration) time.Duration {
	value, weight := s.lag.At(now, serviceHalfLife)
	lag := withPrior(value, weight, float64(DefaultLag), lagPriorWeight)
	return min(time.Duration(lag+lagGapShare*max(0, float64(gap-s.IdleGap()))), maxLag)
}

// IdleLag returns the time to the first event of an empty prompt without other load.
func (s *Service) IdleLag(now time.Time) time.Duration { return s.lagOf(now, s.IdleGap()) }

// Bias returns the ratio of measured to expected times to the first event in the last seconds for requests of a rank, from 0.5 to 2.
func (s *Service) Bias(now time.Time, rank int) float64 {
	m := s.bias[rank]
	if m == nil {
		return 1
	}
	value, weight := m.At(now, biasHalfLife)
	return min(max(withPrior(value, weight, 1, biasPriorMillis), minBias), maxBias)
}

// RecordBias records the measured and the expected time to a first event of a request of a rank, the latter without the bias.
func (s *Service) RecordBias(now time.Time, rank int, measured, expected time.Duration) {
	if expected <= 0 {
		return
	}
	m := s.bias[rank]
	if m == nil {
		m = &Mean{}
		if s.bias == nil {
			s.bias = map[int]*Mean{}
		}
		s.bias[rank] = m
	}
	// Weighted by the expected times, the bias is the ratio of the sums of both, so that short waits that are exceeded by far do not determine
	// it.
	m.Add(now, biasHalfLife, min(float64(measured)/float64(expected), maxBiasSample), millis(expected))
}

// recordGap moves the estimate of the gap without load by a step, so that it converges to the quantile
// idleGapQuantile of the samples.
func (s *Service) recordGap(gap time.Duration) {
	x := float64(gap)
	switch {
	case s.idleGap == 0:
		s.idleGap = min(x, float64(DefaultGap))
	case x < s.idleGap:
		s.idleGap *= 1 - idleGapStep*(1-idleGapQuantile)
	default:
		s.idleGap *= 1 + idleGapStep*idleGapQuantile
	}
}

// Upstream holds the measurements of this VM at one upstream.
type Upstream struct {
	gap, speed Mean
	load       statedLoad
}

// RecordGap records the mean time between a number of consecutive events of a stream.
func (u *Upstream) RecordGap(now time.Time, s *Service, gap time.Duration, events int) {
	gap = min(max(gap, minGap), maxGap)
	u.gap.Add(now, gapHalfLife, float64(gap), float64(events))
	s.recordGap(gap)
}

// RecordFirst records the time from sending a request to its first event. tokens is the number of tokens of its prompt that the upstream
// had to read, and others the number of those of other requests that it may have read in the meantime. Only a request without others shows
// the speed and the lag.
func (u *Upstream) RecordFirst(now time.Time, s *Service, elapsed time.Duration, tokens, others int64) {
	if others > 0 || elapsed <= 0 {
		return
	}
	f := u.Figures(now, s, Report{})
	if lag := elapsed - time.Duration(float64(tokens)/f.Speed*float64(time.Millisecond)); tokens <= maxLagTokens && lag > 0 {
		s.lag.Add(now, serviceHalfLife, float64(min(lag, maxLag)), 1)
	}
	if reading := elapsed - f.Lag; tokens >= minSpeedTokens && reading > 0 {
		speed := min(max(float64(tokens)/millis(reading), minSpeed), maxSpeed)
		if speed > maxSpeedGrowth*f.Speed {
			return
		}
		s.recordSpeed(speed / relativeSpeed(now, s, u.Report(now)))
		u.speed.Add(now, speedHalfLife, speed, 1)
		s.speed.Add(now, serviceHalfLife, speed, 1)
	}
}

// Report returns what this VM has measured, for other VMs.
func (u *Upstream) Report(now time.Time) Report {
	gap, gapWeight := u.gap.At(now, gapHalfLife)
	speed, speedWeight := u.speed.At(now, speedHalfLife)
	return Report{Gap: time.Duration(gap), GapWeight: gapWeight, Speed: speed, SpeedWeight: speedWeight}
}

// Figures returns how fast the upstream works, from the samples of this VM, what other VMs reported, and the figures of the service.
func (u *Upstream) Figures(now time.Time, s *Service, others Report) Figures {
	own := u.Report(now)
	own.merge(others)
	gap := withPrior(float64(own.Gap), own.GapWeight, float64(s.IdleGap()), gapPriorWeight)
	speed := s.Speed() * relativeSpeed(now, s, own)
	bounded := min(max(time.Duration(gap), minGap), maxGap)
	return Figures{
		Lag:     s.lagOf(now, bounded),
		Gap:     bounded,
		IdleGap: s.IdleGap(),
		Speed:   min(max(speed/u.load.slowdown(now), minSpeed), maxSpeed),
	}
}

// relativeSpeed returns the speed of an upstream relative to the mean of its service. Waits that are not known make the measured speeds of all
// upstreams too low by about the same factor.
func relativeSpeed(now time.Time, s *Service, r Report) float64 {
	mean := s.meanSpeed(now)
	return withPrior(r.Speed, r.SpeedWeight, mean, speedPriorWeight) / mean
}

// minReportedWeight is the smallest weight of a mean that is reported.
const minReportedWeight = 0.5

// WithoutNegligible returns the report without means whose samples have a negligible weight.
func (r Report) WithoutNegligible() Report {
	if r.GapWeight < minReportedWeight {
		r.Gap, r.GapWeight = 0, 0
	}
	if r.SpeedWeight < minReportedWeight {
		r.Speed, r.SpeedWeight = 0, 0
	}
	return r
}

// Merge adds the report of another VM that has the given age. Values out of bounds are ignored.
func (r *Report) Merge(other Report, age time.Duration) {
	other.GapWeight *= decayOver(age, gapHalfLife)
	other.SpeedWeight *= decayOver(age, speedHalfLife)
	r.merge(other)
}

func (r *Report) merge(other Report) {
	if weight := min(other.GapWeight, maxReportedWeight); weight > 0 && other.Gap >= minGap && other.Gap <= maxGap {
		r.Gap = time.Duration(withPrior(float64(r.Gap), r.GapWeight, float64(other.Gap), weight))
		r.GapWeight += weight
	}
	if weight := min(other.SpeedWeight, maxReportedWeight); weight > 0 && other.Speed >= minSpeed && other.Speed <= maxSpeed {
		r.Speed = withPrior(r.Speed, r.SpeedWeight, other.Speed, weight)
		r.SpeedWeight += weight
	}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

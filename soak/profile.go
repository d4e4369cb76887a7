package soak

import (
	"time"

	"parsleyhatch/standin/workload"
)

// Profile selects the load and the faults of a run.
type Profile string

// Profiles of a run.
const (
	// ProfileLight is a light load with random faults.
	ProfileLight Profile = "light"
	// ProfileHeavy is a heavy load with the faults of ProfileLight, failures of many upstreams at once, faulty links between
	// VMs, and upstreams that send late second responses and events out of order.
	ProfileHeavy Profile = "heavy"
	// ProfileStops is a heavy load with planned work only: VMs that are stopped and started in turn, and reloads.
	ProfileStops Profile = "stops"
	// ProfileRetries is a high rate of short requests while one region has no upstreams and those of the other one fail part of
	// them, so that most requests pass two VMs and the ratio of the retry budget decides.
	ProfileRetries Profile = "retries"
	// ProfileSignals is a load that upstreams with few slots barely carry, with the faults of ProfileLight and upstreams that say
	// what they bear.
	ProfileSignals Profile = "signals"
	// ProfileRaw is a load of upstreams in processes of their own, which are killed and which cut answers of all framings, with
	// faults of VMs and links.
	ProfileRaw Profile = "raw"
	// ProfileUnmarked is ProfileRaw with streams that are cut so that nothing marks it: they have neither a length nor chunks, and
	// end with FIN between two events although their upstream lives.
	ProfileUnmarked Profile = "unmarked"
	// ProfileCallers is a load of streams that their callers resume until they are complete, on a route that is split between two
	// services, while the split, the software versions and the links of callers change.
	ProfileCallers Profile = "callers"
	// ProfileTroubles is a load of all kinds of requests on two services, with all faults that upstreams within the soak's process can
	// play, mixed and in series.
	ProfileTroubles Profile = "troubles"
	// ProfileOverload is a load that upstreams of different speed carry, until one workspace sends ten times its usual load. Refused
	// callers repeat at once.
	ProfileOverload Profile = "overload"
)

// Profiles are all profiles.
var Profiles = []Profile{ProfileLight, ProfileHeavy, ProfileStops, ProfileRetries, ProfileSignals, ProfileRaw, ProfileUnmarked, ProfileCallers, ProfileTroubles, ProfileOverload}

// load describes what callers send and how upstreams respond while no fault acts.
type load struct {
	// host is the host of all requests, and routes what each kind of requests has of its own, none if all have the values below.
	host   string
	routes []routeLoad
	// callers is the number of concurrent callers, and interval the pause between two requests of one caller.
	callers  int
	interval time.Duration
	// deadline is the deadline of a request and the timeout of its route.
	deadline time.Duration
	// prompt is the size of the prompt.
	prompt prompt
	// Shape is the form of all requests whose route states none.
	workload.Shape
	// slots is the number of requests that an upstream runs at once, zero if it runs all that it gets.
	slots int
	// raw says that upstreams are processes that write their answers to TCP connections themselves.
	raw bool
	// split means that the route of streams is split between two services, and that all callers resume their streams.
	split bool
	// mixed means that every other caller sends requests of all kinds although the route of streams is split.
	mixed bool
	// spareVMs is the number of VMs of each region that are added during the run.
	spareVMs int
	// surgeCallers is the number of additional callers that send for the hot workspace while there is one.
	surgeCallers int
	// uneven means that the first upstream is slower than the others.
	uneven bool
	// holdsCloses means that the ends of connections to upstreams don't pass a link that is cut.
	holdsCloses bool
}

// resumes reports whether a caller resumes its streams until they are complete.
func (l *load) resumes(caller int) bool { return l.split && !(l.mixed && caller%2 == 1) }

// heavyDeadline leaves time for slow bodies.
const heavyDeadline = 8 * time.Second

// loadOf returns the load of a profile.
func loadOf(p Profile) load {
	heavy := load{
		callers: 48, interval: 20 * time.Millisecond, deadline: heavyDeadline,
		Shape: workload.Shape{Events: 48, EventsPerWrite: 6, LongEvery: 12, SlowEvery: 40, WorkEvery: 30},
	}
	switch p {
	case ProfileHeavy:
		return heavy
	case ProfileStops:
		heavy.SlowEvery, heavy.WorkEvery = 8, 8
		return heavy
	}
	light := load{callers: 8, interval: 15 * time.Millisecond, deadline: 3 * time.Second, Shape: workload.Shape{Events: 8, EventsPerWrite: 1}}
	switch p {
	case ProfileRetries:
		light.callers, light.interval, light.EventsPerWrite = 48, 5*time.Millisecond, light.Events
	case ProfileCallers:
		light.callers, light.deadline, light.Events, light.split = 32, 4*time.Second, 48, true
	case ProfileTroubles:
		light.callers, light.interval, light.deadline, light.Events, light.EventsPerWrite = 40, 30*time.Millisecond, heavyDeadline, 60, 2
		light.LongEvery, light.SlowEvery, light.slots = 12, 24, 16
		light.split, light.mixed, light.spareVMs, light.holdsCloses = true, true, 1, true
	case ProfileOverload:
		// Each of the two workspaces has four of the eight callers, and one has ten times as many with the additional ones. The prompts are so long that VMs
		// expect to miss the objective before upstreams refuse.
		light.interval, light.deadline, light.Work, light.slots = 100*time.Millisecond, 4*time.Second, 100*time.Millisecond, 4
		light.surgeCallers, light.uneven, light.prompt = 36, true, prompt{OwnTokens: 12_000, AnswerTokens: 8}
	case ProfileSignals:
		light.callers, light.interval, light.WorkEvery, light.slots = 40, 250*time.Millisecond, 10, 4
	case ProfileRaw, ProfileUnmarked:
		light.callers, light.deadline, light.Events, light.LongEvery, light.raw = 32, 5*time.Second, 12, 24, true
	}
	return light
}

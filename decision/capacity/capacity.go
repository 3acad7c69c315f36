// Package capacity decides how many statements an endpoint should run at the same time, from the
// service times and refusals that its home observes. A Limiter is not safe for concurrent use; the
// caller holds a lock.
package capacity

import "time"

const (
	// epochLength is the period within which service times are compared with each other. Times
	// of different periods are not: an endpoint that becomes slow for another reason has both
	// more statements in progress and longer times from then on, although the one does not cause
	// the other.
	epochLength = 400 * time.Millisecond
	// windowEpochs is the number of periods whose comparisons are combined, 3.2 s.
	windowEpochs = 8
	// maxKinds bounds the memory of a track; statements of further kinds are not measured.
	maxKinds = 24
	// minTimeWeight is the weight of a sample in the moving average of a kind's service time. It
	// is the time since the last sample as a part of timeWeightPeriod if that is more, up to
	// maxTimeWeight, so that the average follows an endpoint with few statements, too. A single
	// sample of the largest accepted length still changes it by less than a factor of 2.
	minTimeWeight    = 0.05
	maxTimeWeight    = 0.2
	timeWeightPeriod = 5 * time.Second
	// minTimeSamples is the number of samples from which a moving average is known. The first ones
	// count equally.
	minTimeSamples = 20
	// maxServiceTimeFactor caps a sample at a multiple of the moving average, so that one very
	// long statement does not change it much.
	maxServiceTimeFactor = 4
)

// Kind identifies statements whose service times are comparable.
type Kind struct {
	Write    bool
	Priority int
	// Form distinguishes statements that the home sends in different ways, such as a commit and
	// a single statement.
	Form int
}

// Outcome is how a statement at the endpoint ended.
type Outcome int

// The outcomes.
const (
	// Ignored is an outcome that says nothing about the capacity: the endpoint refused the
	// statement for a reason other than its load.
	Ignored Outcome = iota
	// Served means that the endpoint ran the statement.
	Served
	// Busy means that the endpoint rejected the statement because of its load.
	Busy
	// NoResponse means that no reply arrived in time. The service time is then a lower bound.
	NoResponse
)

// Sample is one statement that has ended at the endpoint.
type Sample struct {
	Kind Kind
	// InFlight is the number of statements that the home was running at the endpoint when this
	// one was sent, including it.
	InFlight int
	// ServiceTime is the time from sending the statement to the reply.
	ServiceTime time.Duration
	Outcome     Outcome
}

// Config configures a Limiter.
type Config struct {
	// Slots is the number of statements that the endpoint reports to run at the same time.
	Slots int
	// Margin is how far the limit may exceed Slots.
	Margin int
}

// Limits are the numbers of statements that the home may run at the endpoint at the same time if
// all of them are reads, or writes.
type Limits struct {
	Reads  int
	Writes int
}

// Limiter learns the concurrency limits of one endpoint.
type Limiter struct {
	reads        track
	writes       track
	serviceTimes map[Kind]meanTime
}

// meanTime is a moving average of service times.
type meanTime struct {
	mean  time.Duration
	count int
	// at is the time of the last sample.
	at time.Time
}

// New returns a Limiter whose limits are at the upper bound.
func New(config Config) *Limiter {
	config.Slots = max(config.Slots, 1)
	config.Margin = max(config.Margin, 0)
	return &Limiter{
		reads:        newTrack(config),
		writes:       newTrack(config),
		serviceTimes: map[Kind]meanTime{},
	}
}

// Add records a sample.
func (l *Limiter) Add(now time.Time, sample Sample) {
	if sample.Outcome == Ignored {
		return
	}
	if sample.Outcome == Served {
		l.addServiceTime(now, sample)
	}
	if sample.Kind.Write {
		l.writes.add(now, sample)
		return
	}
	l.reads.add(now, sample)
}

// Limits returns the current limits. They change with time also without samples.
func (l *Limiter) Limits(now time.Time) Limits {
	return Limits{
		Reads:  l.reads.currentLimit(now),
		Writes: l.writes.currentLimit(now),
	}
}

// ServiceTime returns the moving average of the service time of a kind; 0 if it is not known.
func (l *Limiter) ServiceTime(kind Kind) time.Duration {
	if m := l.serviceTimes[kind]; m.count >= minTimeSamples {
		return m.mean
	}
	return 0
}

func (l *Limiter) addServiceTime(now time.Time, sample Sample) {
	last, ok := l.serviceTimes[sample.Kind]
	switch {
	case ok:
		weight := min(max(now.Sub(last.at).Seconds()/timeWeightPeriod.Seconds(), minTimeWeight), maxTimeWeight)
		weight = max(weight, 1/float64(last.count+1))
		capped := min(sample.ServiceTime, maxServiceTimeFactor*last.mean)
		last.mean += time.Duration(weight * float64(capped-last.mean))
	case len(l.serviceTimes) < 2*maxKinds:
		last.mean = sample.ServiceTime
	default:
		return
	}
	last.count++
	last.at = now
	l.serviceTimes[sample.Kind] = last
}

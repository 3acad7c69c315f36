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
	// serviceTimeWeight is the weight of a sample in the moving average of a kind's service time.
	serviceTimeWeight = 0.05
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
	serviceTimes map[Kind]time.Duration
}

// New returns a Limiter whose limits are at the upper bound.
func New(config Config) *Limiter {
	config.Slots = max(config.Slots, 1)
	config.Margin = max(config.Margin, 0)
	return &Limiter{
		reads:        newTrack(config),
		writes:       newTrack(config),
		serviceTimes: map[Kind]time.Duration{},
	}
}

// Add records a sample.
func (l *Limiter) Add(now time.Time, sample Sample) {
	if sample.Outcome == Ignored {
		return
	}
	if sample.Outcome == Served {
		l.addServiceTime(sample)
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
	return l.serviceTimes[kind]
}

func (l *Limiter) addServiceTime(sample Sample) {
	mean, ok := l.serviceTimes[sample.Kind]
	if !ok {
		if len(l.serviceTimes) < 2*maxKinds {
			l.serviceTimes[sample.Kind] = sample.ServiceTime
		}
		return
	}
	capped := min(sample.ServiceTime, maxServiceTimeFactor*mean)
	l.serviceTimes[sample.Kind] = mean + time.Duration(serviceTimeWeight*float64(capped-mean))
}

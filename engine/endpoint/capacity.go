package endpoint

import (
	"errors"
	"time"

	"amaranthdock.dev/decision/capacity"
	"amaranthdock.dev/engine/peer"
)

// limitLogInterval is the least time between two log lines on the limits of an endpoint, which
// are raised in steps of less than a second.
const limitLogInterval = 5 * time.Second

// slotWaitWeight is the weight of a statement in the mean wait for a slot. At 100 statements per
// second, the mean covers the last 0.2 s.
const slotWaitWeight = 0.05

// learnedLimits are the concurrency limits of an endpoint that this home has learned.
type learnedLimits struct {
	limiter *capacity.Limiter
	current capacity.Limits
	logged  capacity.Limits
	// loggedAt is when logged was written to the log.
	loggedAt time.Time
	slotWait time.Duration
}

func newLearnedLimits(slots int) learnedLimits {
	upper := capacity.Limits{
		Reads:  slots + slotMargin,
		Writes: slots + slotMargin,
	}
	return learnedLimits{
		limiter: capacity.New(capacity.Config{
			Slots:  slots,
			Margin: slotMargin,
		}),
		current: upper,
		logged:  upper,
	}
}

// countsAsWrite reports whether a request is subject to the limit of writes.
func countsAsWrite(request *peer.RunRequest) bool {
	return request.Write || request.Step == peer.StepCommit
}

// kindOf returns the kind of statements whose service times are comparable with that of a request.
func kindOf(request *peer.RunRequest) capacity.Kind {
	form := 2 * int(request.Step)
	if request.Fenced {
		form++
	}
	return capacity.Kind{
		Write:    countsAsWrite(request),
		Priority: request.Priority,
		Form:     form,
	}
}

// serviceSample is the measurement of a statement that was sent to the endpoint.
type serviceSample struct {
	client   *endpointClient
	kind     capacity.Kind
	inFlight int
	began    time.Time
	timeout  time.Duration
}

// beginSample begins the measurement of a statement. Its connection is already set up, so that the
// time does not include that of a new connection.
func (e *endpointClient) beginSample(request *peer.RunRequest, timeout time.Duration) serviceSample {
	e.mu.Lock()
	defer e.mu.Unlock()
	return serviceSample{
		client:   e,
		kind:     kindOf(request),
		inFlight: e.queue.Running(),
		began:    e.config.Timer.Now(),
		timeout:  timeout,
	}
}

// end records the replies to the statement, or the error in place of them.
func (s serviceSample) end(replies []Reply, err error) {
	e := s.client
	now := e.config.Timer.Now()
	elapsed := now.Sub(s.began)
	outcome := sampleOutcome(replies, err, elapsed >= s.timeout)
	if outcome == capacity.Busy {
		e.config.Metrics.busyReplies.Inc(1)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits.limiter.Add(now, capacity.Sample{
		Kind:        s.kind,
		InFlight:    s.inFlight,
		ServiceTime: elapsed,
		Outcome:     outcome,
	})
}

// sampleOutcome returns what the replies say about the endpoint's capacity. The time until a lost
// connection or a failure is not a service time.
func sampleOutcome(replies []Reply, err error, timedOut bool) capacity.Outcome {
	if err != nil {
		if timedOut && !errors.Is(err, errEndedHere) {
			return capacity.NoResponse
		}
		return capacity.Ignored
	}
	for _, r := range replies {
		if r.Err == nil {
			continue
		}
		switch r.Err.Code {
		case Busy:
			return capacity.Busy
		case ExecutionTimeout:
			return capacity.NoResponse
		default:
			return capacity.Ignored
		}
	}
	return capacity.Served
}

// recordWait records how long a statement has waited for a slot.
func (e *endpointClient) recordWait(waited time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limits.slotWait += time.Duration(slotWaitWeight * float64(waited-e.limits.slotWait))
}

// updateLimits applies the learned limits to the queue. The lock must be held.
func (e *endpointClient) updateLimits() {
	now := e.config.Timer.Now()
	l := &e.limits
	limits := l.limiter.Limits(now)
	if limits != l.current {
		if limits.Reads < l.current.Reads || limits.Writes < l.current.Writes {
			e.config.Metrics.limitsLowered.Inc(1)
		} else {
			e.config.Metrics.limitsRaised.Inc(1)
		}
		l.current = limits
		e.queue.SetLimits(limits.Reads, limits.Writes)
	}
	if limits != l.logged && now.Sub(l.loggedAt) >= limitLogInterval {
		l.logged = limits
		l.loggedAt = now
		e.config.Log.Info("The concurrency limit of an endpoint changed.", "endpoint", e.target.Key.ID, "database", e.target.Database,
			"reads", limits.Reads, "writes", limits.Writes, "slots", e.target.Slots)
	}
}

// reportCapacity adds the learned limit of reads to a report, and the service time of a read like the
// one of the request. Reads with a proof of the primary's role take longer and are not compared.
func (e *endpointClient) reportCapacity(request *peer.RunRequest, report *peer.EndpointReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Capacity = min(e.limits.current.Reads, e.target.Slots)
	if report.Capacity < e.target.Slots {
		report.SlotWait = e.limits.slotWait
	}
	if request.Step == peer.StepSingle && !request.Write && !request.Fenced {
		report.ServiceTime = e.limits.limiter.ServiceTime(kindOf(request))
	}
}

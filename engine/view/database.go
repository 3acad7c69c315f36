package view

import (
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/catalog"
)

const (
	// statementTimeWeight is the weight of a new sample in the moving average of the
	// time of a statement.
	statementTimeWeight = 0.1
	// initialStatementTime is the estimated time of a statement before the first sample.
	initialStatementTime = 30 * time.Millisecond
	// unreachableRetryDelay is how long reads avoid an endpoint that no home could reach.
	unreachableRetryDelay = 500 * time.Millisecond
)

// database is the state of one database.
type database struct {
	samples   staleness.Samples
	endpoints map[catalog.EndpointKey]*endpointState
	// highestProvedTerm is the highest term in which an endpoint proved that it was the
	// primary.
	highestProvedTerm uint64
	// announcedPrimary is the primary that the leader has announced. It is valid until
	// announcedUntil.
	announcedPrimary string
	announcedUntil   time.Time
	// promotionPendingUntil is when the wait for a requested promotion ends.
	promotionPendingUntil time.Time
	// promotionOutstandingUntil is when the wait for the leader's announcement of the primary ends, in a
	// database with synchronous replicas.
	promotionOutstandingUntil time.Time
}

// endpointState is the state of one endpoint, derived from the statements that this VM
// sent to it.
type endpointState struct {
	// inFlight is the number of this VM's unfinished statements at the endpoint.
	inFlight int
	// meanStatementTime is the moving average of the time of a statement.
	meanStatementTime time.Duration
	// queueWait is the wait for a slot that the home expected at queueWaitAt.
	queueWait   time.Duration
	queueWaitAt time.Time
	// position is the highest log position that the endpoint is known to hold.
	position logpos.Position
	// missingPosition is a log position that the endpoint did not hold at
	// missingPositionAt; zero for none.
	missingPosition   logpos.Position
	missingPositionAt time.Time
	// unreachableUntil is the time until which reads avoid the endpoint.
	unreachableUntil time.Time
	// avoidUntil is the time until which reads that may run elsewhere avoid the endpoint, because
	// it fails a part of its statements.
	avoidUntil time.Time
	// demoted is set when the endpoint rejects a statement because it is not the primary.
	// It is cleared when the endpoint's report changes to primary, or when the endpoint
	// proves that it is the primary.
	demoted bool
	// provedTerm is the highest term in which the endpoint proved that it was the
	// primary; 0 for none.
	provedTerm uint64
	// drainingSince is the time, as a reading of SinceBoot, at which this VM learned that the
	// endpoint is draining; 0 if it is not.
	drainingSince time.Duration
	reported      reportedCapacity
	// coldUntil is the reading of SinceBoot at which the cold period of the endpoint ends; 0 if
	// there was none.
	coldUntil time.Duration
	// budgetSpentUntil is the time until which the endpoint takes no statements because it is
	// cold, as its home has reported.
	budgetSpentUntil time.Time
	// lostHome is the first home of the endpoint, if it was not available at lostHomeAt, a
	// reading of SinceBoot. Only isHomeLost uses them.
	lostHome   string
	lostHomeAt time.Duration
}

// database returns the state of a database. The caller holds the lock.
func (v *View) database(name string) *database {
	d, ok := v.databases[name]
	if !ok {
		d = &database{endpoints: map[catalog.EndpointKey]*endpointState{}}
		v.databases[name] = d
	}
	return d
}

// endpoint returns the state of an endpoint. The caller holds the lock.
func (d *database) endpoint(key catalog.EndpointKey) *endpointState {
	e, ok := d.endpoints[key]
	if !ok {
		e = &endpointState{meanStatementTime: initialStatementTime}
		d.endpoints[key] = e
	}
	return e
}

// recordReport handles a new report of an endpoint. A change of the role to primary ends
// a demotion. A repeated report of that role does not, because it may be older than the
// rejection that caused the demotion. A change from primary to another role is a demotion: the
// endpoint may have proved a term to this VM that ended since.
func (d *database) recordReport(previous, current catalog.Endpoint, now time.Duration) {
	if previous.Key != current.Key {
		delete(d.endpoints, previous.Key)
	}
	if current.Role == catalog.RolePrimary && (previous.Key != current.Key || previous.Role != catalog.RolePrimary) {
		d.endpoint(current.Key).demoted = false
	}
	if current.Role != catalog.RolePrimary && previous.Key == current.Key && previous.Role == catalog.RolePrimary {
		d.endpoint(current.Key).demoted = true
	}
	d.endpoint(current.Key).recordColdness(previous, current, now)
	switch state := d.endpoint(current.Key); {
	case !current.Draining:
		state.drainingSince = 0
	case state.drainingSince == 0:
		state.drainingSince = max(now, 1)
	}
}

// drainNoticeMargin is how long before the drain limit an endpoint gets no new statements: the
// limit counts from the endpoint's report, of which a VM learns later, and statements wait in
// a queue.
const drainNoticeMargin = 3 * time.Second

// MayStartWork reports whether an endpoint may get new statements. A primary that is draining
// may until it has been replaced, but not beyond the drain limit.
func (v *View) MayStartWork(e catalog.Endpoint) bool {
	if v.config.DrainLimit == 0 {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	since := v.database(e.Database).endpoint(e.Key).drainingSince
	limit := max(v.config.DrainLimit-drainNoticeMargin, v.config.DrainLimit/2)
	return since == 0 || v.config.Timer.SinceBoot()-since < limit
}

// Members returns the reported endpoints of a database.
func (v *View) Members(name string) []catalog.Endpoint {
	var members []catalog.Endpoint
	for _, e := range v.endpoints.Load().ByID {
		if e.Database == name {
			members = append(members, e)
		}
	}
	return members
}

// Candidates returns the endpoints that may run reads of a database: all of them except
// for those that are excluded, are draining or evacuated, or were unreachable a moment ago.
func (v *View) Candidates(name string, excluded map[string]bool) []placement.Candidate {
	primary, hasPrimary := v.Primary(name)
	reported := v.endpoints.Load().ByID
	now := v.config.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.database(name)
	var candidates []placement.Candidate
	var capacities []reportedCapacity
	for _, e := range reported {
		if e.Database != name || e.Draining || excluded[e.Key.ID] || v.Access(e) != evacuation.Open {
			continue
		}
		state := d.endpoint(e.Key)
		if now.Before(state.unreachableUntil) {
			continue
		}
		candidates = append(candidates, placement.Candidate{
			ID:                 e.Key.ID,
			DataCentre:         e.DataCentre,
			Region:             v.Region(e.DataCentre),
			Primary:            hasPrimary && e.Key == primary.Key,
			Slots:              e.Slots,
			Penalty:            state.budgetPenalty(now) + state.ejectionPenalty(now),
			InFlight:           state.inFlight,
			ServiceTime:        state.meanStatementTime,
			ReportedWait:       state.queueWait,
			ReportAge:          now.Sub(state.queueWaitAt),
			Position:           state.position,
			MissingPosition:    state.missingPosition,
			MissingPositionAge: now.Sub(state.missingPositionAt),
		})
		capacities = append(capacities, state.reported)
	}
	addReported(now, candidates, capacities)
	return candidates
}

// RequiredPosition returns the lowest log position whose data is at most maxAge old;
// false if there is no sample that recent.
func (v *View) RequiredPosition(name string, maxAge time.Duration) (logpos.Position, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.database(name).samples.RequiredPosition(v.config.Timer.SinceBoot(), maxAge)
}

// SampleAge returns the age of the latest position sample; false if there is none.
func (v *View) SampleAge(name string) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.database(name).samples.NewestAge(v.config.Timer.SinceBoot())
}

// AddSample adds a position sample: a position that covers every commit that was
// acknowledged before at, a reading of SinceBoot.
func (v *View) AddSample(name string, at time.Duration, position logpos.Position) {
	if position.IsZero() {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.database(name).samples.Add(staleness.Sample{
		At:       at,
		Position: position,
	})
}

// BeginStatement counts a statement as in flight at an endpoint.
func (v *View) BeginStatement(e catalog.Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.database(e.Database).endpoint(e.Key).inFlight++
}

// StatementOutcome is the outcome of a statement at an endpoint.
type StatementOutcome struct {
	// Duration is the time that the statement took; 0 if there was no response.
	Duration time.Duration
	// QueueWait is the wait for a slot that the home expects.
	QueueWait time.Duration
	// BudgetWait is how long the endpoint takes no statements because it is cold.
	BudgetWait time.Duration
	// Position is the endpoint's log position; zero if it is unknown.
	Position logpos.Position
	// ProvedPrimary is set if the endpoint proved that it is the primary.
	ProvedPrimary bool
	// NotPrimary is set if the endpoint rejected the statement because it is not the
	// primary.
	NotPrimary bool
	// MissingPosition is the required position if the endpoint's log had not reached it;
	// zero otherwise.
	MissingPosition logpos.Position
	// Unreachable is set if no home could reach the endpoint.
	Unreachable bool
	// Ejected is set if the home avoids the endpoint because it fails a part of its statements.
	Ejected bool
}

// EndStatement records the outcome of a statement that was counted with BeginStatement.
func (v *View) EndStatement(e catalog.Endpoint, outcome StatementOutcome) {
	now := v.config.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.database(e.Database)
	state := d.endpoint(e.Key)
	state.inFlight--
	if outcome.Duration > 0 {
		state.meanStatementTime += time.Duration(statementTimeWeight * float64(outcome.Duration-state.meanStatementTime))
	}
	state.queueWait = outcome.QueueWait
	state.queueWaitAt = now
	state.recordBudgetWait(now, outcome.BudgetWait)
	state.position = logpos.Max(state.position, outcome.Position)
	if !outcome.MissingPosition.IsZero() {
		state.missingPosition = outcome.MissingPosition
		state.missingPositionAt = now
	}
	if outcome.Unreachable {
		state.unreachableUntil = now.Add(unreachableRetryDelay)
	}
	if outcome.Ejected {
		state.avoidUntil = now.Add(ejectedRetryDelay)
	}
	if outcome.ProvedPrimary {
		v.recordProvedPrimary(d, e, state, outcome.Position.Term)
	}
	if outcome.NotPrimary {
		v.recordNotPrimary(d, e, state)
	}
}

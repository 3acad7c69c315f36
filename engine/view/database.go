package view

import (
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/decision/staleness"
	"amaranthdock.dev/engine/catalog"
)

const (
	// serviceGain is the weight of a new time in the mean time of a statement.
	serviceGain = 0.1
	// initialService of a statement, before the first measurement.
	initialService = 30 * time.Millisecond
	// unreachablePause after no home reached an endpoint, before reads try it again.
	unreachablePause = 500 * time.Millisecond
	// hintLife is how long the leader's word names the primary without a report of
	// the endpoint, which takes a beat and a poll.
	hintLife = 4 * time.Second
	// pendingLife is how long a database has no primary after an order, unless one
	// proves itself; the leader tells earlier if it lives.
	pendingLife = 1800 * time.Millisecond
)

// database is what is believed of one database.
type database struct {
	samples   staleness.Samples
	endpoints map[catalog.EndpointKey]*endpointState
	// term of the newest primary that proved itself.
	term uint64
	// hint is the endpoint that leads by the leader's word, until hintUntil.
	hint      string
	hintUntil time.Time
	// pendingUntil is when the wait for an ordered promotion is given up.
	pendingUntil time.Time
}

// endpointState is what is believed of one endpoint.
type endpointState struct {
	inFlight       int
	service        time.Duration
	wait           time.Duration
	waitAt         time.Time
	position       logpos.Position
	lacked         logpos.Position
	lackedAt       time.Time
	unreachedUntil time.Time
	// demoted is set once the endpoint refused as it is no primary, until it reports
	// that role anew or proves it.
	demoted bool
	// proved is the newest term in which the endpoint led.
	proved uint64
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

func (d *database) endpoint(key catalog.EndpointKey) *endpointState {
	e, ok := d.endpoints[key]
	if !ok {
		e = &endpointState{service: initialService}
		d.endpoints[key] = e
	}
	return e
}

// report takes an endpoint's own report. A change of its role to primary is news; a
// repeated report of it may be older than the refusal that demoted it.
func (d *database) report(before, now catalog.Endpoint) {
	if before.Key != now.Key {
		delete(d.endpoints, before.Key)
	}
	if now.Role == catalog.RolePrimary && (before.Key != now.Key || before.Role != catalog.RolePrimary) {
		d.endpoint(now.Key).demoted = false
	}
}

// Primary returns the endpoint that is believed to lead a database.
func (v *View) Primary(name string) (catalog.Endpoint, bool) {
	reported := v.endpoints.Load().ByID
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.database(name)
	if hinted, ok := reported[d.hint]; ok && hinted.Database == name && v.config.Timer.Now().Before(d.hintUntil) {
		return hinted, true
	}
	if v.config.Timer.Now().Before(d.pendingUntil) {
		return catalog.Endpoint{}, false
	}
	var best catalog.Endpoint
	var bestState *endpointState
	for _, e := range reported {
		if e.Database != name {
			continue
		}
		state := d.endpoint(e.Key)
		leads := e.Role == catalog.RolePrimary || (state.proved != 0 && state.proved == d.term)
		if !leads || state.demoted {
			continue
		}
		if bestState == nil || state.proved > bestState.proved || (state.proved == bestState.proved && e.Key.ID < best.Key.ID) {
			best, bestState = e, state
		}
	}
	return best, bestState != nil
}

// IsPrimaryMissing tells whether the configuration names a database without a primary that this
// VM knows of, and none is being promoted by the leader's word.
func (v *View) IsPrimaryMissing() bool {
	c := v.configuration.Load()
	if c == nil {
		return false
	}
	now := v.config.Timer.Now()
	for name := range c.Databases {
		v.mu.Lock()
		pending := now.Before(v.database(name).pendingUntil)
		v.mu.Unlock()
		if _, ok := v.Primary(name); !ok && !pending {
			return true
		}
	}
	return false
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

// Candidates returns the endpoints at which reads of a database may run, except for
// those that are draining, passed over, or could not be reached a moment ago.
func (v *View) Candidates(name string, except map[string]bool) []placement.Candidate {
	primary, hasPrimary := v.Primary(name)
	reported := v.endpoints.Load().ByID
	now := v.config.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.database(name)
	var candidates []placement.Candidate
	for _, e := range reported {
		if e.Database != name || e.Draining || except[e.Key.ID] {
			continue
		}
		state := d.endpoint(e.Key)
		if now.Before(state.unreachedUntil) {
			continue
		}
		candidates = append(candidates, placement.Candidate{
			ID:                 e.Key.ID,
			DataCentre:         e.DataCentre,
			Region:             v.Region(e.DataCentre),
			Primary:            hasPrimary && e.Key == primary.Key,
			Slots:              e.Slots,
			InFlight:           state.inFlight,
			ServiceTime:        state.service,
			ReportedWait:       state.wait,
			ReportAge:          now.Sub(state.waitAt),
			Position:           state.position,
			MissingPosition:    state.lacked,
			MissingPositionAge: now.Sub(state.lackedAt),
		})
	}
	return candidates
}

// RequiredPosition returns the lowest position that is fresh enough for an age; false if no
// sample is young enough.
func (v *View) RequiredPosition(name string, age time.Duration) (logpos.Position, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.database(name).samples.RequiredPosition(v.config.Timer.SinceBoot(), age)
}

// SampleAge returns the age of the newest sample; false if there is none.
func (v *View) SampleAge(name string) (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.database(name).samples.NewestAge(v.config.Timer.SinceBoot())
}

// AddSample takes a position that covers each commit acknowledged before the reading.
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

// BeginStatement counts a statement at an endpoint.
func (v *View) BeginStatement(e catalog.Endpoint) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.database(e.Database).endpoint(e.Key).inFlight++
}

// StatementOutcome of a statement at an endpoint, for Answered.
type StatementOutcome struct {
	// Duration is the time of the statement; 0 if it was not answered.
	Duration time.Duration
	// QueueWait for a slot that the home expects.
	QueueWait time.Duration
	// Position of the endpoint's log; zero if it is not known.
	Position logpos.Position
	// ProvedPrimary tells that the endpoint led its database.
	ProvedPrimary bool
	// NotPrimary tells that it refused to lead.
	NotPrimary bool
	// MissingPosition is a position that its log did not hold; zero if there was none.
	MissingPosition logpos.Position
	// Unreachable tells that no home reached it.
	Unreachable bool
}

// EndStatement takes what the answer to a statement says of its endpoint.
func (v *View) EndStatement(e catalog.Endpoint, o StatementOutcome) {
	now := v.config.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.database(e.Database)
	state := d.endpoint(e.Key)
	state.inFlight--
	if o.Duration > 0 {
		state.service += time.Duration(serviceGain * float64(o.Duration-state.service))
	}
	state.wait = o.QueueWait
	state.waitAt = now
	state.position = logpos.Max(state.position, o.Position)
	if !o.MissingPosition.IsZero() {
		state.lacked = o.MissingPosition
		state.lackedAt = now
	}
	if o.Unreachable {
		state.unreachedUntil = now.Add(unreachablePause)
	}
	if o.ProvedPrimary {
		v.proved(d, e, state, o.Position.Term)
	}
	if o.NotPrimary {
		v.demote(d, e, state)
	}
}

func (v *View) proved(d *database, e catalog.Endpoint, state *endpointState, term uint64) {
	if term <= state.proved && !state.demoted {
		return
	}
	if term >= d.term {
		d.term = term
		state.demoted = false
		if d.hint == e.Key.ID {
			d.hint = ""
		}
		d.pendingUntil = time.Time{}
		v.config.Log.Info("An endpoint proved that it leads.", "endpoint", e.Key.ID, "database", e.Database, "term", term)
		v.announce()
	}
	state.proved = max(state.proved, term)
}

func (v *View) demote(d *database, e catalog.Endpoint, state *endpointState) {
	if d.hint == e.Key.ID || state.demoted {
		return
	}
	state.demoted = true
	v.config.Log.Info("An endpoint refused as it does not lead.", "endpoint", e.Key.ID, "database", e.Database, "term", state.proved)
	v.announce()
}

// RecordPromotion takes the leader's word that an endpoint was ordered to lead, or that it
// does. Until then the database has no primary, so that statements wait for the new
// one and do not try both.
func (v *View) RecordPromotion(databaseName, endpoint string, leads bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.database(databaseName)
	now := v.config.Timer.Now()
	if leads {
		d.hint = endpoint
		d.hintUntil = now.Add(hintLife)
		d.pendingUntil = time.Time{}
	} else {
		d.hint = ""
		d.pendingUntil = now.Add(pendingLife)
	}
	v.config.Log.Info("The primary of a database changes.", "database", databaseName, "endpoint", endpoint, "leads", leads)
	v.announce()
}

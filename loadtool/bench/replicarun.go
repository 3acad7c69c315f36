package bench

import (
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/routing"
)

// viewTTL is how long a receiving VM uses the data ages and queue waits of a cached view.
const viewTTL = time.Second

// replicaRun simulates the sessions, the receiving VMs and the members of a database.
type replicaRun struct {
	*eventLoop
	readCase
	choice            readChoice
	random            *rand.Rand
	members           []*databaseMember
	declaredEndpoints []routing.DeclaredEndpoint
	views             map[string]cachedView
	results           readResults
}

type cachedView struct {
	view      routing.DatabaseView
	updatedAt time.Time
}

// session is a client session; tokenIndex is the newest log index that it has seen.
type session struct {
	vms        []routing.VM
	tokenIndex uint64
}

// readRequest is a read in progress.
type readRequest struct {
	entry      routing.VM
	freshness  routing.FreshnessRequirement
	excluded   map[string]bool
	receivedAt time.Time
	// servable is set if a replica in the region can serve the read in time, and
	// servableAtOnce if a member in the region can serve it without waiting.
	servable, servableAtOnce bool
	// counted is false during the warm-up.
	counted bool
	done    func(index uint64)
}

func newReplicaRun(config Config, c readCase, choice readChoice) *replicaRun {
	r := &replicaRun{
		eventLoop: newEventLoop(),
		readCase:  c,
		choice:    choice,
		random:    newRandom(config.Seed, 7),
		members: []*databaseMember{
			newDatabaseMember("primary", olfusa),
			newDatabaseMember("near", thjorsa),
			newDatabaseMember("far", hvitarosar),
		},
		views:   map[string]cachedView{},
		results: readResults{latencies: newLatencyHistogram()},
	}
	for _, m := range r.members {
		r.declaredEndpoints = append(r.declaredEndpoints, m.endpoint)
	}
	return r
}

func (r *replicaRun) simulate(config Config) {
	end := r.now.Add(config.Duration)
	for i, m := range r.members {
		r.after(time.Duration(i)*time.Millisecond, func() { r.pollStatus(m, end.Add(requestTimeout)) })
		r.after(time.Duration(i)*time.Millisecond, func() { r.samplePrimary(m, end.Add(requestTimeout)) })
	}
	vms := entryVMs()
	for i := range sessionCount {
		// Five of seven sessions are in the primary's region.
		s := &session{vms: vms[:5]}
		if i%7 >= 5 {
			s.vms = vms[5:]
		}
		r.scheduleRequest(s, newRandom(config.Seed, uint64(100+i)), thinkTime, end)
	}
	r.runAll()
}

// scheduleRequest schedules the next request of a session after a random pause. A read
// follows each write after a short pause.
func (r *replicaRun) scheduleRequest(s *session, random *rand.Rand, pause time.Duration, end time.Time) {
	r.after(time.Duration(random.ExpFloat64()*float64(pause)), func() {
		if r.now.After(end) {
			return
		}
		entry := s.vms[random.IntN(len(s.vms))]
		serviceTime := max(time.Duration(random.ExpFloat64()*float64(meanServiceTime)), time.Microsecond)
		next := func(pause time.Duration) func(uint64) {
			return func(index uint64) {
				s.tokenIndex = max(s.tokenIndex, index)
				r.scheduleRequest(s, random, pause, end)
			}
		}
		if pause == thinkTime && random.Float64() < writeShare {
			r.write(entry, serviceTime, next(readAfterWriteTime))
			return
		}
		r.read(s, entry, serviceTime, next(thinkTime))
	})
}

// write commits at the primary and is acknowledged once a replica has applied it.
func (r *replicaRun) write(entry routing.VM, serviceTime time.Duration, done func(uint64)) {
	primary := r.members[0]
	oneWay := latencyBetween(locationOf(entry), primary.location())
	r.after(oneWay, func() {
		r.submit(primary, func() time.Duration { return serviceTime }, func() {
			index := r.commit()
			durable := r.now.Add(time.Hour)
			for _, m := range r.members[1:] {
				confirmed := m.applyTimes[index-1].Add(latencyBetween(m.location(), primary.location()))
				if confirmed.Before(durable) {
					durable = confirmed
				}
			}
			r.after(durable.Sub(r.now)+oneWay, func() { done(index) })
		}, func() { r.after(oneWay, func() { done(0) }) })
	})
}

// commit appends an entry to the log and sets the times at which the replicas apply it.
func (r *replicaRun) commit() uint64 {
	primary := r.members[0]
	primary.applyTimes = append(primary.applyTimes, r.now)
	for _, m := range r.members[1:] {
		lagFactor := 0.8 + 0.4*r.random.Float64()
		arrives := r.now.Add(latencyBetween(m.location(), primary.location()) + time.Duration(lagFactor*float64(r.lag)))
		if count := len(m.applyTimes); count > 0 && arrives.Before(m.applyTimes[count-1]) {
			arrives = m.applyTimes[count-1]
		}
		m.applyTimes = append(m.applyTimes, arrives)
	}
	return uint64(len(primary.applyTimes))
}

func (r *replicaRun) read(s *session, entry routing.VM, serviceTime time.Duration, done func(uint64)) {
	request := &readRequest{
		entry:      entry,
		excluded:   map[string]bool{},
		receivedAt: r.now,
	}
	if r.maxAge > 0 {
		request.freshness.MaxAge, request.freshness.HasMaxAge = r.maxAge, true
	} else if s.tokenIndex > 0 {
		request.freshness.RequiredPosition, request.freshness.HasRequiredPosition = positionAt(s.tokenIndex), true
	}
	request.done = done
	request.counted = r.now.Sub(time.Unix(0, 0)) > warmUpTime
	if !request.counted {
		r.route(request, serviceTime)
		return
	}
	r.results.reads++
	r.classify(request)
	if request.servable {
		r.results.servable++
	}
	r.route(request, serviceTime)
}

// classify decides from the members' actual states which of them could serve the read.
func (r *replicaRun) classify(request *readRequest) {
	if request.entry.Region == r.members[0].endpoint.Region {
		request.servableAtOnce = true
	}
	if !request.freshness.AllowsReplica() {
		return
	}
	for _, m := range r.members[1:] {
		if m.endpoint.Region != request.entry.Region {
			continue
		}
		arrival := r.now.Add(latencyBetween(locationOf(request.entry), m.location()))
		if r.maxAge > 0 {
			fresh := r.dataAge(m, arrival) <= r.maxAge
			request.servableAtOnce, request.servable = request.servableAtOnce || fresh, request.servable || fresh
			continue
		}
		applied := m.applyTimes[request.freshness.RequiredPosition.Index-1]
		roundTrip := 2 * latencyBetween(m.location(), r.members[0].location())
		request.servableAtOnce = request.servableAtOnce || !applied.After(arrival)
		request.servable = request.servable || !applied.After(arrival.Add(roundTrip))
	}
}

// dataAge returns how long the member's data has been out of date.
func (r *replicaRun) dataAge(m *databaseMember, now time.Time) time.Duration {
	index := m.appliedIndex(now)
	if index >= uint64(len(r.members[0].applyTimes)) {
		return 0
	}
	return max(now.Sub(r.members[0].applyTimes[index]), 0)
}

func (r *replicaRun) route(request *readRequest, serviceTime time.Duration) {
	i := r.choice.route(r, request)
	m := r.members[i]
	r.after(latencyBetween(locationOf(request.entry), m.location()), func() { r.serve(request, i, serviceTime) })
}

func (r *replicaRun) serveInput(request *readRequest, i int) routing.ServeInput {
	m := r.members[i]
	catchUp, known := r.choice.catchUp(r, m, request.freshness.RequiredPosition.Index)
	return routing.ServeInput{
		CatchUp:              catchUp,
		CatchUpKnown:         known,
		View:                 r.databaseView(m),
		Endpoint:             m.endpoint,
		Primary:              r.members[0].endpoint,
		FreshnessRequirement: request.freshness,
		PrimaryConfirmed:     true,
		UntilDeadline:        requestTimeout - r.now.Sub(request.receivedAt),
	}
}

// serve makes the home VM's decision about a read, as proxy/endpoint does.
func (r *replicaRun) serve(request *readRequest, i int, serviceTime time.Duration) {
	switch d := routing.ServeRead(r.serveInput(request, i)).(type) {
	case routing.ServeNow:
		r.enqueue(request, i, serviceTime)
	case routing.WaitForPosition:
		m := r.members[i]
		m.waiters = append(m.waiters, &waiter{
			index:    d.Position.Index,
			deadline: r.now.Add(d.Limit),
			done: func(reached bool) {
				if !reached {
					r.redirect(request, i, serviceTime)
					return
				}
				r.enqueue(request, i, serviceTime)
			},
		})
	default:
		r.redirect(request, i, serviceTime)
	}
}

func (r *replicaRun) enqueue(request *readRequest, i int, serviceTime time.Duration) {
	m := r.members[i]
	var (
		index     uint64
		input     routing.ServeInput
		startedAt time.Time
	)
	start := func() time.Duration {
		input = r.serveInput(request, i)
		if _, ok := routing.ServeRead(input).(routing.ServeNow); !ok {
			r.redirect(request, i, serviceTime)
			return 0
		}
		index, startedAt = m.appliedIndex(r.now), r.now
		return serviceTime
	}
	end := func() {
		member, _ := input.View.Member(m.endpoint.ID)
		if i > 0 && r.maxAge > 0 && member.Age+r.now.Sub(startedAt) > r.maxAge {
			r.redirect(request, i, serviceTime)
			return
		}
		r.recordRead(request, i, index, startedAt)
		r.respond(request, i, index)
	}
	r.submit(m, start, end, func() {
		if request.counted {
			r.results.refused++
		}
		r.respond(request, i, 0)
	})
}

func (r *replicaRun) redirect(request *readRequest, i int, serviceTime time.Duration) {
	if request.counted {
		r.results.redirected++
	}
	view := r.databaseView(r.members[i])
	r.after(latencyBetween(locationOf(request.entry), r.members[i].location()), func() {
		r.updateView(request.entry.Name, view)
		request.excluded[r.members[i].endpoint.ID] = true
		r.route(request, serviceTime)
	})
}

func (r *replicaRun) recordRead(request *readRequest, i int, index uint64, startedAt time.Time) {
	s := &r.results
	if !request.counted {
		return
	}
	if i > 0 {
		s.byReplica++
		if request.servable {
			s.servedServable++
		}
		if request.freshness.HasMaxAge && r.dataAge(r.members[i], startedAt)+r.now.Sub(startedAt) > r.maxAge {
			s.stale++
		}
	}
	if request.freshness.HasRequiredPosition && !positionAt(index).Covers(request.freshness.RequiredPosition) {
		s.stale++
	}
	if request.servableAtOnce && r.members[i].endpoint.Region != request.entry.Region {
		s.needlessCrossings++
	}
}

func (r *replicaRun) respond(request *readRequest, i int, index uint64) {
	m := r.members[i]
	view := r.databaseView(m)
	// The token covers what the read saw, as far as a replica has applied it.
	replicated := max(r.members[1].appliedIndex(r.now), r.members[2].appliedIndex(r.now))
	seen := min(index, replicated)
	r.after(latencyBetween(locationOf(request.entry), m.location()), func() {
		r.updateView(request.entry.Name, view)
		if index > 0 && request.counted {
			// Latencies are below the histogram's limit of one hour.
			_ = r.results.latencies.RecordValue(int64(r.now.Sub(request.receivedAt) / time.Microsecond))
		}
		request.done(seen)
	})
}

func (r *replicaRun) updateView(vm string, view routing.DatabaseView) {
	r.views[vm] = cachedView{
		view:      view,
		updatedAt: r.now,
	}
}

// entryView returns the view that a receiving VM has cached, as in proxy/caller.
func (r *replicaRun) entryView(vm string) routing.DatabaseView {
	cached, ok := r.views[vm]
	if !ok {
		cached.view = r.databaseView(r.members[0])
		cached.updatedAt = r.now
		r.views[vm] = cached
	}
	view := cached.view
	if r.now.Sub(cached.updatedAt) < viewTTL {
		return view
	}
	view.Members = append([]routing.MemberView{}, view.Members...)
	for i := range view.Members {
		view.Members[i].AgeKnown = false
		view.Members[i].QueueWait = 0
	}
	return view
}

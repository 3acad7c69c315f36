package bench

import (
	"sort"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/promotion"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/scheduling"
)

const (
	// statusInterval and sampleInterval are the intervals at which the proxy reads the
	// status of an endpoint and samples the primary's position.
	statusInterval = 5 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
	// catchUpDivisor is the inverse of the weight of a new value in the moving average of
	// the catch-up time, as in the proxy.
	catchUpDivisor = 4
)

// databaseMember is an endpoint of a database whose home VM is in the same data centre.
type databaseMember struct {
	endpoint routing.DeclaredEndpoint
	queue    *scheduling.Queue
	// applyTimes holds the time at which the member applies each log entry, including
	// times in the future.
	applyTimes []time.Time
	startFuncs map[uint64]func() time.Duration
	endFuncs   map[uint64]func()
	lastID     uint64

	// knownIndex and the fields below are what the home VM knows.
	knownIndex     uint64
	primarySamples *promotion.DataAgeTracker
	primaryHistory *promotion.DataAgeTracker
	meanCatchUp    time.Duration
	catchUpKnown   bool
	waiters        []*waiter
}

// waiter is a read that waits until the member has applied a position.
type waiter struct {
	index    uint64
	deadline time.Time
	done     func(reached bool)
}

func newDatabaseMember(name string, at location) *databaseMember {
	return &databaseMember{
		endpoint: routing.DeclaredEndpoint{
			ID:         name,
			DataCentre: at.dataCentre,
			Region:     at.region,
		},
		queue: scheduling.New(scheduling.Config{
			Slots:   slots,
			MaxWait: maxQueueWait,
		}),
		startFuncs:     map[uint64]func() time.Duration{},
		endFuncs:       map[uint64]func(){},
		primarySamples: promotion.NewDataAgeTracker(sampleInterval / 2),
		primaryHistory: promotion.NewDataAgeTracker(statusInterval),
	}
}

func (m *databaseMember) location() location {
	return location{
		dataCentre: m.endpoint.DataCentre,
		region:     m.endpoint.Region,
	}
}

// appliedIndex returns the index of the last entry that the member has applied.
func (m *databaseMember) appliedIndex(now time.Time) uint64 {
	return uint64(sort.Search(len(m.applyTimes), func(i int) bool { return m.applyTimes[i].After(now) }))
}

// positionAt returns the position of a log entry. The benchmark has a single term.
func positionAt(index uint64) logpos.Position {
	return logpos.Position{
		Term:  1,
		Index: index,
	}
}

// pollStatus simulates the status stream from a member to its home VM.
func (r *replicaRun) pollStatus(m *databaseMember, end time.Time) {
	primary := r.members[0]
	r.recordStatus(m, positionAt(primary.appliedIndex(r.now.Add(-latencyBetween(m.location(), primary.location())))))
	waiting := m.waiters[:0]
	var ready []*waiter
	for _, w := range m.waiters {
		if w.index <= m.knownIndex || !r.now.Before(w.deadline) {
			ready = append(ready, w)
			continue
		}
		waiting = append(waiting, w)
	}
	m.waiters = waiting
	for _, w := range ready {
		w.done(w.index <= m.knownIndex)
	}
	if r.now.Before(end) {
		r.after(statusInterval, func() { r.pollStatus(m, end) })
	}
}

// recordStatus records the primary's position as the home VM sees it, and how long the
// member took to reach its current position.
func (r *replicaRun) recordStatus(m *databaseMember, primary logpos.Position) {
	m.primaryHistory.Add(r.now, primary)
	index := m.appliedIndex(r.now)
	if index == m.knownIndex {
		return
	}
	m.knownIndex = index
	delay, ok := m.primaryHistory.Age(r.now, positionAt(index))
	if !ok {
		return
	}
	if !m.catchUpKnown {
		m.meanCatchUp, m.catchUpKnown = delay, true
	}
	m.meanCatchUp += (delay - m.meanCatchUp) / catchUpDivisor
}

// samplePrimary samples the primary's position over the network.
func (r *replicaRun) samplePrimary(m *databaseMember, end time.Time) {
	sent := r.now
	oneWay := latencyBetween(m.location(), r.members[0].location())
	r.after(oneWay, func() {
		position := positionAt(r.members[0].appliedIndex(r.now))
		r.after(oneWay, func() { m.primarySamples.Add(sent, position) })
	})
	if r.now.Before(end) {
		r.after(sampleInterval, func() { r.samplePrimary(m, end) })
	}
}

// databaseView returns what a home VM knows about all members.
func (r *replicaRun) databaseView(home *databaseMember) routing.DatabaseView {
	view := routing.DatabaseView{
		Database: "flock1",
		Term:     1,
		Primary:  r.members[0].endpoint.ID,
	}
	for i, m := range r.members {
		memberView := routing.MemberView{
			Endpoint:     m.endpoint.ID,
			Role:         routing.RoleReplica,
			Reachable:    true,
			LastPosition: positionAt(m.appliedIndex(r.now.Add(-latencyBetween(home.location(), m.location()) - statusInterval/2))),
		}
		if i == 0 {
			memberView.Role = routing.RolePrimary
		}
		if m == home {
			memberView.LastPosition = positionAt(m.knownIndex)
			memberView.QueueWait = m.queue.ExpectedWait(r.now, "reads")
		}
		memberView.Age, memberView.AgeKnown = home.primarySamples.Age(r.now, memberView.LastPosition)
		view.Members = append(view.Members, memberView)
	}
	return view
}

// submit queues a statement at the member. The start function returns the service time,
// or 0 if the statement is not to run; then end is not called.
func (r *replicaRun) submit(m *databaseMember, start func() time.Duration, end, refuse func()) {
	m.lastID++
	item := scheduling.Item{
		ID:        m.lastID,
		Subject:   "reads",
		Weight:    1,
		ArrivedAt: r.now,
		Deadline:  r.now.Add(requestTimeout),
	}
	if _, ok := m.queue.Enqueue(r.now, item).(scheduling.Refused); ok {
		refuse()
		return
	}
	m.startFuncs[item.ID], m.endFuncs[item.ID] = start, end
	r.startStatements(m)
}

func (r *replicaRun) startStatements(m *databaseMember) {
	for {
		d, ok := m.queue.Next(r.now).(scheduling.Run)
		if !ok {
			return
		}
		id := d.Item.ID
		end := m.endFuncs[id]
		serviceTime := m.startFuncs[id]()
		delete(m.startFuncs, id)
		delete(m.endFuncs, id)
		r.after(serviceTime, func() {
			m.queue.Complete(r.now, id)
			if serviceTime > 0 {
				end()
			}
			r.startStatements(m)
		})
	}
}

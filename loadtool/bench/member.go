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
	// statusInterval and sampleInterval are those of the proxy's watch of a
	// database.
	statusInterval = 5 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
	// catchUpShare is the weight of a new value in the proxy's mean.
	catchUpShare = 4
)

// replicaMember is a database member with its home in the same data centre.
type replicaMember struct {
	site  routing.DeclaredEndpoint
	queue *scheduling.Queue
	// applied holds the instants at which the entries of the log arrive, also
	// those still to come.
	applied []time.Time
	tasks   map[uint64]func() time.Duration
	ends    map[uint64]func()
	next    uint64

	// seen and the rest are what the home knows.
	seen         uint64
	samples      *promotion.DataAgeTracker
	trail        *promotion.DataAgeTracker
	catchUp      time.Duration
	catchUpKnown bool
	waiters      []*waiter
}

// waiter is a read that waits for a position.
type waiter struct {
	index uint64
	until time.Time
	done  func(reached bool)
}

func newReplicaMember(name string, s site) *replicaMember {
	return &replicaMember{
		site: routing.DeclaredEndpoint{
			ID:         name,
			DataCentre: s.dataCentre,
			Region:     s.region,
		},
		queue: scheduling.New(scheduling.Config{
			Slots:   slots,
			MaxWait: maxWait,
		}),
		tasks:   map[uint64]func() time.Duration{},
		ends:    map[uint64]func(){},
		samples: promotion.NewDataAgeTracker(sampleInterval / 2),
		trail:   promotion.NewDataAgeTracker(statusInterval),
	}
}

func (m *replicaMember) at() site {
	return site{
		dataCentre: m.site.DataCentre,
		region:     m.site.Region,
	}
}

// index returns the last entry that the member holds at an instant.
func (m *replicaMember) index(now time.Time) uint64 {
	return uint64(sort.Search(len(m.applied), func(i int) bool { return m.applied[i].After(now) }))
}

// at returns the position of an entry in the only term of the benchmark.
func at(index uint64) logpos.Position {
	return logpos.Position{
		Term:  1,
		Index: index,
	}
}

// tick is the status stream of the member's home.
func (r *replicaRun) tick(m *replicaMember, end time.Time) {
	primary := r.members[0]
	r.trail(m, at(primary.index(r.now.Add(-hop(m.at(), primary.at())))))
	kept := m.waiters[:0]
	var ready []*waiter
	for _, w := range m.waiters {
		if w.index <= m.seen || !r.now.Before(w.until) {
			ready = append(ready, w)
			continue
		}
		kept = append(kept, w)
	}
	m.waiters = kept
	for _, w := range ready {
		w.done(w.index <= m.seen)
	}
	if r.now.Before(end) {
		r.after(statusInterval, func() { r.tick(m, end) })
	}
}

// trail notes the primary's position as it is seen at the home, and the time
// that the member took to reach its own.
func (r *replicaRun) trail(m *replicaMember, primary logpos.Position) {
	m.trail.Add(r.now, primary)
	now := m.index(r.now)
	if now == m.seen {
		return
	}
	m.seen = now
	took, ok := m.trail.Age(r.now, at(now))
	if !ok {
		return
	}
	if !m.catchUpKnown {
		m.catchUp, m.catchUpKnown = took, true
	}
	m.catchUp += (took - m.catchUp) / catchUpShare
}

// sample asks the primary for its position.
func (r *replicaRun) sample(m *replicaMember, end time.Time) {
	sent := r.now
	oneWay := hop(m.at(), r.members[0].at())
	r.after(oneWay, func() {
		position := at(r.members[0].index(r.now))
		r.after(oneWay, func() { m.samples.Add(sent, position) })
	})
	if r.now.Before(end) {
		r.after(sampleInterval, func() { r.sample(m, end) })
	}
}

// view is what the home of a member knows of all of them.
func (r *replicaRun) view(home *replicaMember) routing.DatabaseView {
	view := routing.DatabaseView{
		Database: "flock1",
		Term:     1,
		Primary:  r.members[0].site.ID,
	}
	for i, m := range r.members {
		known := routing.MemberView{
			Endpoint:  m.site.ID,
			Role:      routing.RoleReplica,
			Reachable: true,
			Last:      at(m.index(r.now.Add(-hop(home.at(), m.at()) - statusInterval/2))),
		}
		if i == 0 {
			known.Role = routing.RolePrimary
		}
		if m == home {
			known.Last = at(m.seen)
			known.QueueWait = m.queue.ExpectedWait(r.now, "reads")
		}
		known.Age, known.AgeKnown = home.samples.Age(r.now, known.Last)
		view.Members = append(view.Members, known)
	}
	return view
}

// submit queues a statement at the member. Its start returns the service time, or
// 0 if the statement ends without service.
func (r *replicaRun) submit(m *replicaMember, start func() time.Duration, end, refuse func()) {
	m.next++
	item := scheduling.Item{
		ID:       m.next,
		Subject:  "reads",
		Weight:   1,
		Arrived:  r.now,
		Deadline: r.now.Add(deadline),
	}
	if _, ok := m.queue.Enqueue(r.now, item).(scheduling.Refused); ok {
		refuse()
		return
	}
	m.tasks[item.ID], m.ends[item.ID] = start, end
	r.fill(m)
}

func (r *replicaRun) fill(m *replicaMember) {
	for {
		d, ok := m.queue.Next(r.now).(scheduling.Run)
		if !ok {
			return
		}
		id := d.Item.ID
		end := m.ends[id]
		service := m.tasks[id]()
		delete(m.tasks, id)
		delete(m.ends, id)
		r.after(service, func() {
			m.queue.Complete(r.now, id)
			if service > 0 {
				end()
			}
			r.fill(m)
		})
	}
}

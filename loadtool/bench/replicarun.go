package bench

import (
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/routing"
)

// viewLifetime of an entry's view, after which it has no ages and waits.
const viewLifetime = time.Second

// replicaRun simulates the sessions, the entries and the members of a database.
type replicaRun struct {
	*events
	readCase
	choice  readChoice
	random  *rand.Rand
	members []*replicaMember
	sites   []routing.DeclaredEndpoint
	views   map[string]entryView
	results readResults
}

type entryView struct {
	view    routing.DatabaseView
	learned time.Time
}

// reader is a session; token is the position that it has seen.
type reader struct {
	vms   []routing.VM
	token uint64
}

// try is a read on its way.
type try struct {
	entry     routing.VM
	freshness routing.FreshnessRequirement
	excluded  map[string]bool
	begin     time.Time
	// servable tells that a replica of the region can serve it in time, and fit
	// that a member of the region can serve it without waiting.
	servable, fit bool
	// counted is false during the warm-up.
	counted bool
	finish  func(index uint64)
}

func newReplicaRun(config Config, c readCase, choice readChoice) *replicaRun {
	r := &replicaRun{
		events:   newEvents(),
		readCase: c,
		choice:   choice,
		random:   newRandom(config.Seed, 7),
		members: []*replicaMember{
			newReplicaMember("primary", olfusa),
			newReplicaMember("near", thjorsa),
			newReplicaMember("far", hvitarosar),
		},
		views:   map[string]entryView{},
		results: readResults{latencies: newLatencies()},
	}
	for _, m := range r.members {
		r.sites = append(r.sites, m.site)
	}
	return r
}

func (r *replicaRun) simulate(config Config) {
	end := r.now.Add(config.Duration)
	for i, m := range r.members {
		r.after(time.Duration(i)*time.Millisecond, func() { r.tick(m, end.Add(deadline)) })
		r.after(time.Duration(i)*time.Millisecond, func() { r.sample(m, end.Add(deadline)) })
	}
	vms := fleet()
	for i := range readers {
		// Five of seven sessions are in the region of the primary.
		s := &reader{vms: vms[:5]}
		if i%7 >= 5 {
			s.vms = vms[5:]
		}
		r.think(s, newRandom(config.Seed, uint64(100+i)), thinkTime, end)
	}
	r.runAll()
}

// think lets a session pause and send its next request; a read follows at once
// after a write.
func (r *replicaRun) think(s *reader, random *rand.Rand, pause time.Duration, end time.Time) {
	r.after(time.Duration(random.ExpFloat64()*float64(pause)), func() {
		if r.now.After(end) {
			return
		}
		entry := s.vms[random.IntN(len(s.vms))]
		service := max(time.Duration(random.ExpFloat64()*float64(meanService)), time.Microsecond)
		next := func(pause time.Duration) func(uint64) {
			return func(index uint64) {
				s.token = max(s.token, index)
				r.think(s, random, pause, end)
			}
		}
		if pause == thinkTime && random.Float64() < writeShare {
			r.write(entry, service, next(followTime))
			return
		}
		r.read(s, entry, service, next(thinkTime))
	})
}

// write commits at the primary and is acknowledged when a replica holds it.
func (r *replicaRun) write(entry routing.VM, service time.Duration, next func(uint64)) {
	primary := r.members[0]
	oneWay := hop(siteOf(entry), primary.at())
	r.after(oneWay, func() {
		r.submit(primary, func() time.Duration { return service }, func() {
			index := r.commit()
			durable := r.now.Add(time.Hour)
			for _, m := range r.members[1:] {
				seen := m.applied[index-1].Add(hop(m.at(), primary.at()))
				if seen.Before(durable) {
					durable = seen
				}
			}
			r.after(durable.Sub(r.now)+oneWay, func() { next(index) })
		}, func() { r.after(oneWay, func() { next(0) }) })
	})
}

// commit adds an entry to the log and fixes when the replicas apply it.
func (r *replicaRun) commit() uint64 {
	primary := r.members[0]
	primary.applied = append(primary.applied, r.now)
	for _, m := range r.members[1:] {
		spread := 0.8 + 0.4*r.random.Float64()
		arrives := r.now.Add(hop(m.at(), primary.at()) + time.Duration(spread*float64(r.lag)))
		if count := len(m.applied); count > 0 && arrives.Before(m.applied[count-1]) {
			arrives = m.applied[count-1]
		}
		m.applied = append(m.applied, arrives)
	}
	return uint64(len(primary.applied))
}

func (r *replicaRun) read(s *reader, entry routing.VM, service time.Duration, next func(uint64)) {
	t := &try{
		entry:    entry,
		excluded: map[string]bool{},
		begin:    r.now,
	}
	if r.maxAge > 0 {
		t.freshness.MaxAge, t.freshness.HasMaxAge = r.maxAge, true
	} else if s.token > 0 {
		t.freshness.RequiredPosition, t.freshness.HasRequiredPosition = at(s.token), true
	}
	t.finish = next
	t.counted = r.now.Sub(time.Unix(0, 0)) > warmUp
	if !t.counted {
		r.send(t, service)
		return
	}
	r.results.reads++
	r.judge(t)
	if t.servable {
		r.results.couldServe++
	}
	r.send(t, service)
}

// judge tells from the members' true states what could serve the read.
func (r *replicaRun) judge(t *try) {
	if t.entry.Region == r.members[0].site.Region {
		t.fit = true
	}
	if !t.freshness.AllowsReplica() {
		return
	}
	for _, m := range r.members[1:] {
		if m.site.Region != t.entry.Region {
			continue
		}
		arrival := r.now.Add(hop(siteOf(t.entry), m.at()))
		if r.maxAge > 0 {
			fit := r.age(m, arrival) <= r.maxAge
			t.fit, t.servable = t.fit || fit, t.servable || fit
			continue
		}
		reached := m.applied[t.freshness.RequiredPosition.Index-1]
		trip := 2 * hop(m.at(), r.members[0].at())
		t.fit = t.fit || !reached.After(arrival)
		t.servable = t.servable || !reached.After(arrival.Add(trip))
	}
}

// age returns how long ago the member's data was the primary's.
func (r *replicaRun) age(m *replicaMember, now time.Time) time.Duration {
	held := m.index(now)
	if held >= uint64(len(r.members[0].applied)) {
		return 0
	}
	return max(now.Sub(r.members[0].applied[held]), 0)
}

func (r *replicaRun) send(t *try, service time.Duration) {
	i := r.choice.route(r, t)
	m := r.members[i]
	r.after(hop(siteOf(t.entry), m.at()), func() { r.serve(t, i, service) })
}

func (r *replicaRun) input(t *try, i int) routing.ServeInput {
	m := r.members[i]
	catchUp, known := r.choice.catchUp(r, m, t.freshness.RequiredPosition.Index)
	return routing.ServeInput{
		CatchUp:              catchUp,
		CatchUpKnown:         known,
		View:                 r.view(m),
		Endpoint:             m.site,
		Primary:              r.members[0].site,
		FreshnessRequirement: t.freshness,
		PrimaryConfirmed:     true,
		Remaining:            deadline - r.now.Sub(t.begin),
	}
}

// serve decides at the home, as proxy/endpoint does.
func (r *replicaRun) serve(t *try, i int, service time.Duration) {
	switch d := routing.ServeRead(r.input(t, i)).(type) {
	case routing.ServeNow:
		r.queue(t, i, service)
	case routing.WaitForPosition:
		m := r.members[i]
		m.waiters = append(m.waiters, &waiter{
			index: d.Position.Index,
			until: r.now.Add(d.Limit),
			done: func(reached bool) {
				if !reached {
					r.redirect(t, i, service)
					return
				}
				r.queue(t, i, service)
			},
		})
	default:
		r.redirect(t, i, service)
	}
}

func (r *replicaRun) queue(t *try, i int, service time.Duration) {
	m := r.members[i]
	var (
		index  uint64
		before routing.ServeInput
		began  time.Time
	)
	start := func() time.Duration {
		before = r.input(t, i)
		if _, ok := routing.ServeRead(before).(routing.ServeNow); !ok {
			r.redirect(t, i, service)
			return 0
		}
		index, began = m.index(r.now), r.now
		return service
	}
	end := func() {
		member, _ := before.View.Member(m.site.ID)
		if i > 0 && r.maxAge > 0 && member.Age+r.now.Sub(began) > r.maxAge {
			r.redirect(t, i, service)
			return
		}
		r.count(t, i, index, began)
		r.answer(t, i, index)
	}
	r.submit(m, start, end, func() {
		if t.counted {
			r.results.refused++
		}
		r.answer(t, i, 0)
	})
}

func (r *replicaRun) redirect(t *try, i int, service time.Duration) {
	if t.counted {
		r.results.wasted++
	}
	view := r.view(r.members[i])
	r.after(hop(siteOf(t.entry), r.members[i].at()), func() {
		r.learn(t.entry.Name, view)
		t.excluded[r.members[i].site.ID] = true
		r.send(t, service)
	})
}

func (r *replicaRun) count(t *try, i int, index uint64, began time.Time) {
	s := &r.results
	if !t.counted {
		return
	}
	if i > 0 {
		s.byReplica++
		if t.servable {
			s.served++
		}
		if t.freshness.HasMaxAge && r.age(r.members[i], began)+r.now.Sub(began) > r.maxAge {
			s.stale++
		}
	}
	if t.freshness.HasRequiredPosition && !at(index).Covers(t.freshness.RequiredPosition) {
		s.stale++
	}
	if t.fit && r.members[i].site.Region != t.entry.Region {
		s.crossed++
	}
}

func (r *replicaRun) answer(t *try, i int, index uint64) {
	m := r.members[i]
	view := r.view(m)
	// The token covers what the read saw, as far as a second member holds it.
	second := max(r.members[1].index(r.now), r.members[2].index(r.now))
	seen := min(index, second)
	r.after(hop(siteOf(t.entry), m.at()), func() {
		r.learn(t.entry.Name, view)
		if index > 0 && t.counted {
			// Values are below the histogram's bound of an hour.
			_ = r.results.latencies.RecordValue(int64(r.now.Sub(t.begin) / time.Microsecond))
		}
		t.finish(seen)
	})
}

func (r *replicaRun) learn(vm string, view routing.DatabaseView) {
	r.views[vm] = entryView{
		view:    view,
		learned: r.now,
	}
}

// entryView returns the entry's view as proxy/caller keeps it.
func (r *replicaRun) entryView(vm string) routing.DatabaseView {
	known, ok := r.views[vm]
	if !ok {
		known.view = r.view(r.members[0])
		known.learned = r.now
		r.views[vm] = known
	}
	view := known.view
	if r.now.Sub(known.learned) < viewLifetime {
		return view
	}
	view.Members = append([]routing.MemberView{}, view.Members...)
	for i := range view.Members {
		view.Members[i].AgeKnown = false
		view.Members[i].QueueWait = 0
	}
	return view
}

package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/capacity"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/decision/scheduling"
)

const (
	// unevenTimeout is the timeout of a statement, and unevenMaxWait the longest expected wait
	// at a home, as in engine/endpoint.
	unevenTimeout = time.Second
	unevenMaxWait = 500 * time.Millisecond
	// unevenLoad is the part of the slots that the statements use if no endpoint is slow.
	unevenLoad = 0.55
	// unevenWrites is the part of the statements that are writes.
	unevenWrites = 0.15
	// tailShare of the statements take tailFactor times as long as the others.
	tailShare  = 0.03
	tailFactor = 7
	// homeMargin is the number of statements that a home sends beyond the slots.
	homeMargin = 1
	// slotWaitWeight is the weight of a new sample in the mean wait for a slot, as in
	// engine/endpoint.
	slotWaitWeight = 0.05
	// unevenEntries is the number of entry VMs. Each sends few statements, as on the platform.
	unevenEntries = 60
	// entryTimeWeight is the weight of a new sample in the mean time of an entry VM.
	entryTimeWeight = 0.1
)

var unevenKinds = kindMix{
	{mean: 8 * time.Millisecond, part: 0.6},
	{mean: 24 * time.Millisecond, part: 0.3},
	{mean: 40 * time.Millisecond, part: 0.1},
}

// unevenRun simulates entry VMs that send statements to the homes of a primary and replicas.
type unevenRun struct {
	*eventLoop
	scenario  unevenScenario
	choice    unevenChoice
	random    *rand.Rand
	endpoints []*unevenEndpoint
	entries   []*unevenEntry
	lastID    uint64
	results   unevenResults
}

// unevenEndpoint is an endpoint with the queue of its home. Statements beyond its slots wait there.
type unevenEndpoint struct {
	at      location
	index   int
	queue   *scheduling.Queue
	limiter *capacity.Limiter
	sent    []*unevenStatement
	busy    int
	// slotWait is the mean wait for a slot.
	slotWait time.Duration
	waiting  map[uint64]*unevenStatement
}

// unevenEntry is an entry VM with what it knows about the endpoints, as in engine/view.
type unevenEntry struct {
	at    location
	known []knownEndpoint
}

type knownEndpoint struct {
	inFlight int
	mean     time.Duration
	wait     time.Duration
	waitAt   time.Time
	capacity int
	slotWait time.Duration
	times    map[int]reportedTime
}

type reportedTime struct {
	time time.Duration
	at   time.Time
}

// unevenStatement is a statement in progress.
type unevenStatement struct {
	item     scheduling.Item
	kind     capacity.Kind
	work     time.Duration
	entry    *unevenEntry
	started  time.Time
	inFlight int
	// arrivedAt is when the entry VM received it, and sentAt when it was sent to the home.
	arrivedAt, sentAt time.Time
	excluded          *unevenEndpoint
}

func newUnevenRun(config Config, scenario unevenScenario, choice unevenChoice) *unevenRun {
	r := &unevenRun{
		eventLoop: newEventLoop(),
		scenario:  scenario,
		choice:    choice,
		random:    newRandom(config.Seed, 900),
		results:   unevenResults{latencies: newLatencyHistogram()},
	}
	for i, at := range []location{olfusa, olfusa, thjorsa, thjorsa} {
		r.endpoints = append(r.endpoints, &unevenEndpoint{
			at:    at,
			index: i,
			queue: scheduling.New(scheduling.Config{
				Slots:              slots + homeMargin,
				MaxWait:            unevenMaxWait,
				InitialServiceTime: 30 * time.Millisecond,
			}),
			limiter: capacity.New(capacity.Config{
				Slots:  slots,
				Margin: homeMargin,
			}),
			waiting: map[uint64]*unevenStatement{},
		})
	}
	r.results.arrivals = make([]int, len(r.endpoints))
	for i := range unevenEntries {
		e := &unevenEntry{at: locationOf(entryVMs()[i%5])}
		for range r.endpoints {
			e.known = append(e.known, knownEndpoint{
				mean:  30 * time.Millisecond,
				times: map[int]reportedTime{},
			})
		}
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *unevenRun) simulate(config Config) {
	mean := unevenKinds.meanSeconds() * (1 + tailShare*(tailFactor-1))
	rate := unevenLoad * float64(slots*len(r.endpoints)) / mean
	random := newRandom(config.Seed, 901)
	r.poisson(random, rate, r.now.Add(config.Duration), func() {
		s := &unevenStatement{
			kind:      capacity.Kind{Write: random.Float64() < unevenWrites},
			entry:     r.entries[random.IntN(len(r.entries))],
			arrivedAt: r.now,
		}
		s.kind.Priority = unevenKinds.priorityAt(random.Float64())
		s.work = time.Duration((0.4 + 0.6*random.ExpFloat64()) * float64(unevenKinds[s.kind.Priority].mean))
		if random.Float64() < tailShare {
			s.work *= tailFactor
		}
		r.results.sent++
		r.send(s)
	})
	r.runAll()
}

// send sends a statement to the home of the primary or of the endpoint that placement chooses.
func (r *unevenRun) send(s *unevenStatement) {
	target := r.endpoints[0]
	if !s.kind.Write {
		target = r.choose(s)
	}
	s.sentAt = r.now
	s.entry.known[target.index].inFlight++
	r.after(latencyBetween(s.entry.at, target.at), func() { r.arrive(target, s) })
}

func (r *unevenRun) choose(s *unevenStatement) *unevenEndpoint {
	var candidates []placement.Candidate
	var times []placement.ServiceTimes
	for _, m := range r.endpoints {
		if m == s.excluded {
			continue
		}
		known := s.entry.known[m.index]
		candidates = append(candidates, placement.Candidate{
			ID:           fmt.Sprint(m.index),
			DataCentre:   m.at.dataCentre,
			Region:       m.at.region,
			Primary:      m.index == 0,
			Slots:        slots,
			Capacity:     known.capacity,
			InFlight:     known.inFlight,
			ServiceTime:  known.mean,
			ReportedWait: known.wait,
			ReportAge:    r.now.Sub(known.waitAt),
			Penalty:      placement.SlotWaitPenalty(known.slotWait, r.now.Sub(known.waitAt)),
		})
		t := placement.ServiceTimes{}
		for priority, reported := range known.times {
			t[priority] = placement.MeasuredTime{
				Time: reported.time,
				Age:  r.now.Sub(reported.at),
			}
		}
		times = append(times, t)
	}
	for i, excess := range placement.ExcessTimes(times) {
		candidates[i].Penalty += excess
	}
	id, _ := placement.Choose(placement.Location{
		DataCentre: s.entry.at.dataCentre,
		Region:     s.entry.at.region,
	}, logpos.Position{}, candidates)
	for _, m := range r.endpoints {
		if fmt.Sprint(m.index) == id {
			return m
		}
	}
	return r.endpoints[0]
}

// arrive adds a statement to the queue of the endpoint's home.
func (r *unevenRun) arrive(m *unevenEndpoint, s *unevenStatement) {
	if !s.kind.Write {
		r.results.arrivals[m.index]++
	}
	r.lastID++
	s.item = scheduling.Item{
		ID:        r.lastID,
		Subject:   "a",
		Weight:    1,
		ArrivedAt: r.now,
		Deadline:  s.arrivedAt.Add(unevenTimeout),
		Priority:  s.kind.Priority,
		Write:     s.kind.Write,
	}
	if _, ok := m.queue.Enqueue(r.now, s.item).(scheduling.Refused); ok {
		r.respond(m, s, false)
		return
	}
	m.waiting[s.item.ID] = s
	r.startStatements(m)
}

func (r *unevenRun) startStatements(m *unevenEndpoint) {
	if limits := m.limiter.Limits(r.now); r.choice.limits {
		m.queue.SetLimits(limits.Reads, limits.Writes)
	}
	for {
		switch d := m.queue.Next(r.now).(type) {
		case scheduling.Run:
			s := m.waiting[d.Item.ID]
			delete(m.waiting, d.Item.ID)
			s.started = r.now
			m.slotWait += time.Duration(slotWaitWeight * float64(r.now.Sub(s.item.ArrivedAt)-m.slotWait))
			s.inFlight = m.queue.Running()
			m.sent = append(m.sent, s)
			r.runSent(m)
		case scheduling.Expired:
			s := m.waiting[d.Item.ID]
			delete(m.waiting, d.Item.ID)
			r.respond(m, s, false)
		default:
			return
		}
	}
}

// runSent runs statements in the slots of the endpoint.
func (r *unevenRun) runSent(m *unevenEndpoint) {
	for len(m.sent) > 0 && m.busy < slots {
		s := m.sent[0]
		m.sent = m.sent[1:]
		m.busy++
		factor := r.scenario.slowdown(m.index, r.now.Sub(time.Unix(0, 0)), m.busy)
		r.after(time.Duration(factor*float64(s.work)), func() {
			m.busy--
			m.queue.Complete(r.now, s.item.ID)
			m.limiter.Add(r.now, capacity.Sample{
				Kind:        s.kind,
				InFlight:    s.inFlight,
				ServiceTime: r.now.Sub(s.started),
				Outcome:     capacity.Served,
			})
			r.runSent(m)
			r.respond(m, s, true)
			r.startStatements(m)
		})
	}
}

// respond sends the response to the entry VM, with what the home has learned.
func (r *unevenRun) respond(m *unevenEndpoint, s *unevenStatement, served bool) {
	wait := m.queue.ExpectedWait(r.now, "a")
	limit := min(m.limiter.Limits(r.now).Reads, slots)
	slotWait := time.Duration(0)
	if limit < slots {
		slotWait = m.slotWait
	}
	serviceTime := m.limiter.ServiceTime(s.kind)
	r.after(latencyBetween(s.entry.at, m.at), func() {
		known := &s.entry.known[m.index]
		known.inFlight--
		known.wait = wait
		known.waitAt = r.now
		if r.choice.limits {
			known.capacity = limit
			known.slotWait = slotWait
		}
		if r.choice.times && !s.kind.Write && serviceTime > 0 {
			known.times[s.kind.Priority] = reportedTime{
				time: serviceTime,
				at:   r.now,
			}
		}
		switch {
		case served:
			known.mean += time.Duration(entryTimeWeight * float64(r.now.Sub(s.sentAt)-known.mean))
			r.results.completed++
			// Latencies are below the histogram's limit of one hour.
			_ = r.results.latencies.RecordValue(int64(r.now.Sub(s.arrivedAt) / time.Microsecond))
		case s.kind.Write || s.excluded != nil:
			r.results.refused++
		default:
			// A read is tried once at another endpoint.
			s.excluded = m
			r.send(s)
		}
	})
}

package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/decision/scheduling"
)

const (
	// endpoints are spread evenly over the three data centres.
	endpoints = 9
	// openTime of a connection, and the bytes that it costs with TLS.
	openTime  = 10 * time.Millisecond
	openBytes = 6_000
	// statementBytes is a request with its response.
	statementBytes = 3_000
	// skewShare of the requests reaches the first VM under skewed balancing.
	skewShare = 0.7
)

// homeChoice says where the statements of an endpoint queue.
type homeChoice struct {
	name string
	pick bool
	// perVM is the number of connections of each VM to each endpoint; 0 for one
	// home that holds as many as there are slots.
	perVM int
}

func homeChoices() []homeChoice {
	return []homeChoice{
		{name: "split, 1 connection per VM", perVM: 1},
		{name: "split, 4 connections per VM", perVM: 4},
		{name: "one home", pick: true},
	}
}

// homes compares one home for each endpoint with connections split over all VMs.
func homes(config Config) []Result {
	var results []Result
	for _, load := range []float64{0.6, 0.9} {
		for _, skewed := range []bool{false, true} {
			balance := "even"
			if skewed {
				balance = fmt.Sprintf("skewed %.0f%%", 100*skewShare)
			}
			for _, c := range homeChoices() {
				r := newHomeRun(config, c, skewed)
				r.simulate(config, load)
				results = append(results, Result{
					Section:  "routing",
					Scenario: fmt.Sprintf("homes, load %.0f%% %s", 100*load, balance),
					Choice:   c.name,
					Pick:     c.pick,
					Measures: r.measures(),
				})
			}
		}
	}
	return results
}

// homeRun simulates the entries, the queues and the endpoints.
type homeRun struct {
	*events
	choice    homeChoice
	random    *rand.Rand
	vms       []routing.VM
	skewed    bool
	endpoints []*database
	// queues by endpoint and VM; with one home only the home's is used.
	queues    [][]*homeQueue
	latencies *hdrhistogram.Histogram
	// opened connections, bytes between regions, refused and all statements.
	opened, linkBytes, refused, sent int
}

// database runs as many statements as it has slots; later ones wait in it, out of
// reach of any policy.
type database struct {
	name string
	site site
	busy int
	// queued statements inside the database.
	queued []func()
	// waiting statements in the queues of the proxies.
	waiting int
	// beyond counts the statements that found all slots taken.
	beyond, all int
	// busyTime of slots while a statement waits, and that time of all slots.
	updated         time.Time
	busyTime, total time.Duration
}

// homeQueue holds the statements of a VM for an endpoint.
type homeQueue struct {
	queue       *scheduling.Queue
	site        site
	limit       int
	open        int
	statements  map[uint64]*homeStatement
	next        uint64
	connections int
}

type homeStatement struct {
	entry   site
	begin   time.Time
	service time.Duration
}

func newHomeRun(config Config, c homeChoice, skewed bool) *homeRun {
	r := &homeRun{
		events:    newEvents(),
		choice:    c,
		random:    newRandom(config.Seed, 11),
		vms:       fleet(),
		skewed:    skewed,
		latencies: newLatencies(),
	}
	dataCentres := []site{olfusa, thjorsa, hvitarosar}
	for i := range endpoints {
		d := &database{
			name: fmt.Sprintf("endpoint%d", i+1),
			site: dataCentres[i%len(dataCentres)],
		}
		r.endpoints = append(r.endpoints, d)
		limit := c.perVM
		if limit == 0 {
			limit = slots
		}
		queues := make([]*homeQueue, 0, len(r.vms))
		for _, v := range r.vms {
			queues = append(queues, &homeQueue{
				queue: scheduling.New(scheduling.Config{
					Slots:   limit,
					MaxWait: maxWait,
				}),
				site:       siteOf(v),
				limit:      limit,
				statements: map[uint64]*homeStatement{},
			})
		}
		r.queues = append(r.queues, queues)
	}
	return r
}

func (r *homeRun) simulate(config Config, load float64) {
	rate := load * capacity * endpoints
	r.poisson(newRandom(config.Seed, 10), rate, r.now.Add(config.Duration), func() {
		entry := r.random.IntN(len(r.vms))
		if r.skewed && r.random.Float64() < skewShare {
			entry = 0
		}
		i := r.random.IntN(endpoints)
		service := max(time.Duration(r.random.ExpFloat64()*float64(meanService)), time.Microsecond)
		r.arrive(entry, i, service)
	})
	r.runAll()
}

func (r *homeRun) arrive(entry, i int, service time.Duration) {
	r.sent++
	d := r.endpoints[i]
	s := &homeStatement{
		entry:   siteOf(r.vms[entry]),
		begin:   r.now,
		service: service,
	}
	if s.entry.region != d.site.region {
		r.linkBytes += statementBytes
	}
	at := entry
	if r.choice.perVM == 0 {
		home, _ := routing.Home(d.name, d.site.dataCentre, d.site.region, r.vms)
		for j, v := range r.vms {
			if v.Name == home.Name {
				at = j
			}
		}
	}
	q := r.queues[i][at]
	wait := time.Duration(0)
	if at != entry {
		wait = hop(s.entry, q.site)
	}
	r.after(wait, func() { r.enqueue(d, q, s) })
}

func (r *homeRun) enqueue(d *database, q *homeQueue, s *homeStatement) {
	q.next++
	item := scheduling.Item{
		ID:       q.next,
		Subject:  "all",
		Weight:   1,
		Arrived:  r.now,
		Deadline: r.now.Add(deadline),
	}
	if _, ok := q.queue.Enqueue(r.now, item).(scheduling.Refused); ok {
		r.refused++
		return
	}
	q.statements[item.ID] = s
	d.note(r.now)
	d.waiting++
	r.fill(d, q)
}

func (r *homeRun) fill(d *database, q *homeQueue) {
	for {
		switch decision := q.queue.Next(r.now).(type) {
		case scheduling.Run:
			d.note(r.now)
			d.waiting--
			r.start(d, q, decision.Item.ID)
		case scheduling.Expired:
			d.note(r.now)
			d.waiting--
			r.refused++
			delete(q.statements, decision.Item.ID)
		default:
			return
		}
	}
}

// start sends a statement on a connection, which it opens if none is free.
func (r *homeRun) start(d *database, q *homeQueue, id uint64) {
	s := q.statements[id]
	delete(q.statements, id)
	oneWay := hop(q.site, d.site)
	wait := oneWay
	if q.open++; q.open > q.connections {
		q.connections = q.open
		r.opened++
		wait += openTime + 2*oneWay
		if q.site.region != d.site.region {
			r.linkBytes += openBytes
		}
	}
	r.after(wait, func() {
		d.run(r, s.service, func() {
			r.after(oneWay, func() {
				q.open--
				q.queue.Complete(r.now, id)
				back := time.Duration(0)
				if s.entry != q.site || r.choice.perVM == 0 {
					back = hop(s.entry, q.site)
				}
				// Values are below the histogram's bound of an hour.
				_ = r.latencies.RecordValue(int64((r.now.Sub(s.begin) + back) / time.Microsecond))
				r.fill(d, q)
			})
		})
	})
}

// run takes a slot, or waits for one.
func (d *database) run(r *homeRun, service time.Duration, done func()) {
	d.all++
	work := func() {
		d.note(r.now)
		d.busy++
		r.after(service, func() {
			d.note(r.now)
			d.busy--
			done()
			if len(d.queued) > 0 {
				next := d.queued[0]
				d.queued = d.queued[1:]
				next()
			}
		})
	}
	if d.busy >= slots {
		d.beyond++
		d.queued = append(d.queued, work)
		return
	}
	work()
}

// note adds the use of the slots since the last change.
func (d *database) note(now time.Time) {
	if d.waiting > 0 {
		d.busyTime += time.Duration(d.busy) * now.Sub(d.updated)
		d.total += slots * now.Sub(d.updated)
	}
	d.updated = now
}

func (r *homeRun) measures() []Measure {
	var busy, total time.Duration
	beyond, all := 0, 0
	for _, d := range r.endpoints {
		busy += d.busyTime
		total += d.total
		beyond += d.beyond
		all += d.all
	}
	used := 1.0
	if total > 0 {
		used = busy.Seconds() / total.Seconds()
	}
	return []Measure{
		measure("p50Ms", milliseconds(r.latencies, 50)),
		measure("p99Ms", milliseconds(r.latencies, 99)),
		measure("slotsUsedWhileWaiting", used),
		measure("beyondSlots", ratio(beyond, all)),
		measure("refused", ratio(r.refused, r.sent)),
		measure("connectionsOpened", float64(r.opened)),
		measure("regionLinkMB", float64(r.linkBytes)/1e6),
	}
}

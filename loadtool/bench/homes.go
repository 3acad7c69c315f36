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
	// endpointCount endpoints are spread evenly over the three data centres.
	endpointCount = 9
	// connectTime is the time to open a connection, connectBytes its traffic with TLS.
	connectTime  = 10 * time.Millisecond
	connectBytes = 6_000
	// statementBytes is the size of a request and its response together.
	statementBytes = 3_000
	// skewShare of the requests reaches the first VM if the load balancing is skewed.
	skewShare = 0.7
)

// homeChoice says on which VMs the statements for an endpoint are queued.
type homeChoice struct {
	name        string
	usedByProxy bool
	// connectionsPerVM is the number of connections of each VM to each endpoint. 0 stands
	// for a single home VM that has as many connections as the endpoint has slots.
	connectionsPerVM int
}

func homeChoices() []homeChoice {
	return []homeChoice{
		{name: "split, 1 connection per VM", connectionsPerVM: 1},
		{name: "split, 4 connections per VM", connectionsPerVM: 4},
		{name: "one home", usedByProxy: true},
	}
}

// measureHomes compares one home VM for each endpoint with connections split over all VMs.
func measureHomes(config Config) []Result {
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
					Section:     "routing",
					Scenario:    fmt.Sprintf("homes, load %.0f%% %s", 100*load, balance),
					Choice:      c.name,
					UsedByProxy: c.usedByProxy,
					Measures:    r.measures(),
				})
			}
		}
	}
	return results
}

// homeRun simulates the receiving VMs, the queues and the endpoints.
type homeRun struct {
	*eventLoop
	choice    homeChoice
	random    *rand.Rand
	vms       []routing.VM
	skewed    bool
	endpoints []*database
	// queues holds the queues by endpoint and VM. With a single home VM, only its queue is
	// used.
	queues    [][]*homeQueue
	latencies *hdrhistogram.Histogram
	// regionLinkBytes counts the bytes sent between regions, and sent counts all statements.
	connectionsOpened, regionLinkBytes, refused, sent int
}

// database runs as many statements at the same time as it has slots. Further statements
// wait inside the database, where the proxy's scheduling policy cannot reorder them.
type database struct {
	name     string
	location location
	running  int
	// queued holds the statements that wait inside the database.
	queued []func()
	// waitingInProxies counts the statements in the queues of the proxies.
	waitingInProxies int
	// beyondSlots counts the received statements that found all slots taken.
	beyondSlots, received int
	// usedSlotTime is the time that slots were in use while statements waited in the proxies;
	// totalSlotTime is the time of all slots in the same periods.
	updatedAt                   time.Time
	usedSlotTime, totalSlotTime time.Duration
}

// homeQueue is the queue of one VM for one endpoint.
type homeQueue struct {
	queue       *scheduling.Queue
	location    location
	limit       int
	running     int
	statements  map[uint64]*homeStatement
	lastID      uint64
	connections int
}

type homeStatement struct {
	entry       location
	receivedAt  time.Time
	serviceTime time.Duration
}

func newHomeRun(config Config, c homeChoice, skewed bool) *homeRun {
	r := &homeRun{
		eventLoop: newEventLoop(),
		choice:    c,
		random:    newRandom(config.Seed, 11),
		vms:       entryVMs(),
		skewed:    skewed,
		latencies: newLatencyHistogram(),
	}
	dataCentres := []location{olfusa, thjorsa, hvitarosar}
	for i := range endpointCount {
		d := &database{
			name:     fmt.Sprintf("endpoint%d", i+1),
			location: dataCentres[i%len(dataCentres)],
		}
		r.endpoints = append(r.endpoints, d)
		limit := c.connectionsPerVM
		if limit == 0 {
			limit = slots
		}
		queues := make([]*homeQueue, 0, len(r.vms))
		for _, v := range r.vms {
			queues = append(queues, &homeQueue{
				queue: scheduling.New(scheduling.Config{
					Slots:   limit,
					MaxWait: maxQueueWait,
				}),
				location:   locationOf(v),
				limit:      limit,
				statements: map[uint64]*homeStatement{},
			})
		}
		r.queues = append(r.queues, queues)
	}
	return r
}

func (r *homeRun) simulate(config Config, load float64) {
	rate := load * endpointCapacity * endpointCount
	r.poisson(newRandom(config.Seed, 10), rate, r.now.Add(config.Duration), func() {
		entry := r.random.IntN(len(r.vms))
		if r.skewed && r.random.Float64() < skewShare {
			entry = 0
		}
		i := r.random.IntN(endpointCount)
		serviceTime := max(time.Duration(r.random.ExpFloat64()*float64(meanServiceTime)), time.Microsecond)
		r.receive(entry, i, serviceTime)
	})
	r.runAll()
}

func (r *homeRun) receive(entry, i int, serviceTime time.Duration) {
	r.sent++
	d := r.endpoints[i]
	s := &homeStatement{
		entry:       locationOf(r.vms[entry]),
		receivedAt:  r.now,
		serviceTime: serviceTime,
	}
	if s.entry.region != d.location.region {
		r.regionLinkBytes += statementBytes
	}
	queueVM := entry
	if r.choice.connectionsPerVM == 0 {
		home, _ := routing.Home(d.name, d.location.dataCentre, d.location.region, r.vms)
		for j, v := range r.vms {
			if v.Name == home.Name {
				queueVM = j
			}
		}
	}
	q := r.queues[i][queueVM]
	delay := time.Duration(0)
	if queueVM != entry {
		delay = latencyBetween(s.entry, q.location)
	}
	r.after(delay, func() { r.enqueue(d, q, s) })
}

func (r *homeRun) enqueue(d *database, q *homeQueue, s *homeStatement) {
	q.lastID++
	item := scheduling.Item{
		ID:        q.lastID,
		Subject:   "all",
		Weight:    1,
		ArrivedAt: r.now,
		Deadline:  r.now.Add(requestTimeout),
	}
	if _, ok := q.queue.Enqueue(r.now, item).(scheduling.Refused); ok {
		r.refused++
		return
	}
	q.statements[item.ID] = s
	d.recordSlotUse(r.now)
	d.waitingInProxies++
	r.startStatements(d, q)
}

func (r *homeRun) startStatements(d *database, q *homeQueue) {
	for {
		switch decision := q.queue.Next(r.now).(type) {
		case scheduling.Run:
			d.recordSlotUse(r.now)
			d.waitingInProxies--
			r.send(d, q, decision.Item.ID)
		case scheduling.Expired:
			d.recordSlotUse(r.now)
			d.waitingInProxies--
			r.refused++
			delete(q.statements, decision.Item.ID)
		default:
			return
		}
	}
}

// send sends a statement on a connection, which it opens if none is idle.
func (r *homeRun) send(d *database, q *homeQueue, id uint64) {
	s := q.statements[id]
	delete(q.statements, id)
	oneWay := latencyBetween(q.location, d.location)
	delay := oneWay
	if q.running++; q.running > q.connections {
		q.connections = q.running
		r.connectionsOpened++
		delay += connectTime + 2*oneWay
		if q.location.region != d.location.region {
			r.regionLinkBytes += connectBytes
		}
	}
	r.after(delay, func() {
		d.run(r, s.serviceTime, func() {
			r.after(oneWay, func() {
				q.running--
				q.queue.Complete(r.now, id)
				returnDelay := time.Duration(0)
				if s.entry != q.location || r.choice.connectionsPerVM == 0 {
					returnDelay = latencyBetween(s.entry, q.location)
				}
				// Latencies are below the histogram's limit of one hour.
				_ = r.latencies.RecordValue(int64((r.now.Sub(s.receivedAt) + returnDelay) / time.Microsecond))
				r.startStatements(d, q)
			})
		})
	})
}

// run runs a statement in a free slot, or queues it until a slot is free.
func (d *database) run(r *homeRun, serviceTime time.Duration, done func()) {
	d.received++
	execute := func() {
		d.recordSlotUse(r.now)
		d.running++
		r.after(serviceTime, func() {
			d.recordSlotUse(r.now)
			d.running--
			done()
			if len(d.queued) > 0 {
				next := d.queued[0]
				d.queued = d.queued[1:]
				next()
			}
		})
	}
	if d.running >= slots {
		d.beyondSlots++
		d.queued = append(d.queued, execute)
		return
	}
	execute()
}

// recordSlotUse adds the slot time since the last change.
func (d *database) recordSlotUse(now time.Time) {
	if d.waitingInProxies > 0 {
		d.usedSlotTime += time.Duration(d.running) * now.Sub(d.updatedAt)
		d.totalSlotTime += slots * now.Sub(d.updatedAt)
	}
	d.updatedAt = now
}

func (r *homeRun) measures() []Measure {
	var used, total time.Duration
	beyondSlots, received := 0, 0
	for _, d := range r.endpoints {
		used += d.usedSlotTime
		total += d.totalSlotTime
		beyondSlots += d.beyondSlots
		received += d.received
	}
	usedRatio := 1.0
	if total > 0 {
		usedRatio = used.Seconds() / total.Seconds()
	}
	return []Measure{
		newMeasure("p50Ms", milliseconds(r.latencies, 50)),
		newMeasure("p99Ms", milliseconds(r.latencies, 99)),
		newMeasure("slotsUsedWhileWaiting", usedRatio),
		newMeasure("beyondSlots", ratio(beyondSlots, received)),
		newMeasure("refused", ratio(r.refused, r.sent)),
		newMeasure("connectionsOpened", float64(r.connectionsOpened)),
		newMeasure("regionLinkMB", float64(r.regionLinkBytes)/1e6),
	}
}

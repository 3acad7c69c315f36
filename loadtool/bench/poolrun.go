package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthdock.dev/decision/connections"
	"amaranthdock.dev/decision/scheduling"
)

const (
	// poolWorkspaces, poolMaxConnections and handshakeTime are those of docs/hard-load.md.
	poolWorkspaces     = 77
	poolMaxConnections = 73
	handshakeTime      = 12 * time.Millisecond
	// burstingWorkspace has a rate above the mean.
	burstingWorkspace = 5
	// wavePeriod is the period of a wave.
	wavePeriod = 40 * time.Second
	// warmUp is the time before the first measurement.
	warmUp = 10 * time.Second
	// restartBacklog is the time for which callers have waited at a restart.
	restartBacklog = time.Second
	restartWindow  = 2 * time.Second
	// previousFirstShare (in percent), previousIdleTime and previousBackoff are the rules before
	// decision/connections.
	previousFirstShare = 80
	previousIdleTime   = 4 * time.Second
	previousBackoff    = 300 * time.Millisecond
	// formerConnections is what the home before has open when the home moves, and formerTime how
	// long the endpoint counts them.
	formerConnections = 45
	formerTime        = 3 * time.Second
	// poolSweep is the interval at which unused connections are closed.
	poolSweep = 500 * time.Millisecond
	// poolRetry is the interval at which a statement tries again to get a connection.
	poolRetry = 15 * time.Millisecond
)

var poolKinds = kindMix{
	{mean: 8 * time.Millisecond, part: 0.5},
	{mean: 24 * time.Millisecond, part: 0.3},
	{mean: 40 * time.Millisecond, part: 0.2},
}

// wave is a factor that varies by 55% around 1.
func wave(elapsed time.Duration) float64 {
	return 1 + 0.55*math.Sin(2*math.Pi*elapsed.Seconds()/wavePeriod.Seconds())
}

// poolRun simulates the home of one endpoint.
type poolRun struct {
	*eventLoop
	scenario   poolScenario
	choice     poolChoice
	random     *rand.Rand
	began      time.Time
	queue      *scheduling.Queue
	waiting    map[uint64]*poolStatement
	handshakes int
	lastID     uint64
	idle       []connections.Idle
	open       int
	demand     connections.Demand
	tenure     connections.Tenure
	backoff    time.Time
	// busy is the number of slots in use at the endpoint, and sent the work that waits there.
	busy     int
	received []func()

	opened, rejected, refused, sent int
	waits                           [3]time.Duration
	waited                          [3]int
	latencies, urgent               *hdrhistogram.Histogram
}

type poolStatement struct {
	id        uint64
	workspace string
	priority  int
	work      time.Duration
	arrivedAt time.Time
	startedAt time.Time
}

func newPoolRun(config Config, scenario poolScenario, choice poolChoice) *poolRun {
	r := &poolRun{
		eventLoop: newEventLoop(),
		scenario:  scenario,
		choice:    choice,
		random:    newRandom(config.Seed, 1200),
		waiting:   map[uint64]*poolStatement{},
		latencies: newLatencyHistogram(),
		urgent:    newLatencyHistogram(),
	}
	r.began = r.now
	standing := connections.Standing{
		Confirmed: true,
		Since:     -connections.HoldTime,
	}
	if scenario.moved {
		standing.Since = 0
	}
	r.tenure.Update(0, standing)
	r.resetQueue()
	return r
}

func (r *poolRun) resetQueue() {
	r.queue = scheduling.New(scheduling.Config{
		Policy:             scheduling.MostUrgentFirst{},
		Slots:              slots + homeMargin,
		MaxWait:            unevenMaxWait,
		InitialServiceTime: 30 * time.Millisecond,
		Held:               r.held,
	})
}

// held reports whether the statements of a workspace wait for the handshakes in progress.
func (r *poolRun) held(workspace string) bool {
	return r.choice.handshakes > 0 && r.handshakes >= r.choice.handshakes && r.open < r.poolLimit() &&
		!slices.ContainsFunc(r.idle, func(c connections.Idle) bool { return c.Workspace == workspace })
}

func (r *poolRun) elapsed() time.Duration { return r.now.Sub(r.began) }

func (r *poolRun) simulate(config Config) {
	mean := poolKinds.meanSeconds()
	total := 0.0
	weight := func(i int) float64 { return math.Pow(float64(i+3), -0.7) }
	for i := range poolWorkspaces {
		total += weight(i)
	}
	rate := r.scenario.load * slots / mean
	end := r.now.Add(config.Duration)
	for i := range poolWorkspaces {
		const maxFactor = 5
		r.poisson(newRandom(config.Seed, uint64(1300+i)), maxFactor*rate*weight(i)/total, end, func() {
			factor := 1.0
			if r.scenario.factor != nil {
				factor = r.scenario.factor(i, r.elapsed())
			}
			if r.random.Float64() < factor/maxFactor {
				r.arrive(i)
			}
		})
	}
	r.sweep(end)
	if r.scenario.restart {
		r.after(warmUp, func() { r.restart(int(rate * restartBacklog.Seconds())) })
	}
	r.runAll()
}

// restart loses what the home knows and has, and lets callers send again what they waited for.
func (r *poolRun) restart(backlog int) {
	r.open -= len(r.idle)
	r.idle = nil
	r.demand = connections.Demand{}
	if !r.scenario.keepsHome {
		r.tenure = connections.Tenure{}
		r.tenure.Update(r.elapsed(), connections.Standing{
			Confirmed: true,
			Since:     r.elapsed(),
		})
	}
	for range backlog {
		r.arrive(r.random.IntN(poolWorkspaces))
	}
}

// followsRestart reports whether a time is within restartWindow after the restart.
func (r *poolRun) followsRestart(at time.Time) bool {
	since := at.Sub(r.began) - warmUp
	return since >= 0 && since < restartWindow
}

func (r *poolRun) arrive(workspace int) {
	priority := poolKinds.priorityAt(r.random.Float64())
	r.lastID++
	r.sent++
	s := &poolStatement{
		id:        r.lastID,
		workspace: fmt.Sprint("ws", workspace),
		priority:  priority,
		work:      time.Duration(float64(poolKinds[priority].mean) * (0.5 + 0.5*r.random.ExpFloat64())),
		arrivedAt: r.now,
	}
	item := scheduling.Item{
		ID:        s.id,
		Subject:   s.workspace,
		Weight:    1,
		ArrivedAt: r.now,
		Deadline:  r.now.Add(unevenTimeout),
		Priority:  priority,
	}
	if _, ok := r.queue.Enqueue(r.now, item).(scheduling.Refused); ok {
		r.refused++
		return
	}
	r.waiting[s.id] = s
	r.startStatements()
}

func (r *poolRun) startStatements() {
	for {
		switch d := r.queue.Next(r.now).(type) {
		case scheduling.Run:
			s := r.waiting[d.Item.ID]
			delete(r.waiting, s.id)
			s.startedAt = r.now
			r.acquire(s)
		case scheduling.Expired:
			delete(r.waiting, d.Item.ID)
			r.refused++
		case scheduling.Displaced:
			delete(r.waiting, d.Item.ID)
			r.refused++
		default:
			return
		}
	}
}

// acquire takes an unused connection, or opens one.
func (r *poolRun) acquire(s *poolStatement) {
	for i := len(r.idle) - 1; i >= 0; i-- {
		if r.idle[i].Workspace == s.workspace {
			r.idle = append(r.idle[:i], r.idle[i+1:]...)
			r.run(s)
			return
		}
	}
	switch {
	case r.open < r.poolLimit() && !r.now.Before(r.backoff):
		if r.open+r.former() >= poolMaxConnections {
			r.rejected++
			r.backoff = r.now.Add(previousBackoff)
			r.after(2*time.Millisecond, func() { r.acquire(s) })
			return
		}
		r.open++
		r.handshake(s)
	case len(r.idle) > 0 && r.open <= r.poolLimit():
		i := 0
		if r.choice.byDemand {
			i = r.demand.Evict(r.elapsed(), r.idle)
		}
		r.idle = append(r.idle[:i], r.idle[i+1:]...)
		r.handshake(s)
	default:
		r.after(poolRetry, func() { r.acquire(s) })
	}
}

// former returns how many connections of the home before the endpoint counts.
func (r *poolRun) former() int {
	if r.scenario.moved && r.elapsed() < formerTime {
		return formerConnections
	}
	return 0
}

func (r *poolRun) handshake(s *poolStatement) {
	r.opened++
	r.handshakes++
	r.useSlot(handshakeTime, func() {
		r.handshakes--
		r.run(s)
	})
}

// run runs a statement on a connection of its workspace.
func (r *poolRun) run(s *poolStatement) {
	r.waits[s.priority] += r.now.Sub(s.startedAt)
	r.waited[s.priority]++
	r.demand.Begin(r.elapsed(), s.workspace, s.priority)
	r.useSlot(s.work, func() {
		// Latencies are below the histogram's limit of one hour.
		_ = r.latencies.RecordValue(int64(r.now.Sub(s.arrivedAt) / time.Microsecond))
		if s.priority == 0 && (!r.scenario.restart || r.followsRestart(s.arrivedAt)) {
			_ = r.urgent.RecordValue(int64(r.now.Sub(s.arrivedAt) / time.Microsecond))
		}
		r.demand.End(r.elapsed(), s.workspace)
		if r.open > r.poolLimit() {
			r.open--
		} else {
			r.idle = append(r.idle, connections.Idle{
				Workspace: s.workspace,
				Since:     r.elapsed(),
			})
		}
		r.queue.Complete(r.now, s.id)
		r.startStatements()
	})
}

// useSlot occupies a slot of the endpoint, once one is free.
func (r *poolRun) useSlot(work time.Duration, done func()) {
	execute := func() {
		r.busy++
		r.after(work, func() {
			r.busy--
			if len(r.received) > 0 {
				next := r.received[0]
				r.received = r.received[1:]
				next()
			}
			done()
		})
	}
	if r.busy >= slots {
		r.received = append(r.received, execute)
		return
	}
	execute()
}

// sweep closes unused connections, and asks the endpoint for the number of its connections.
func (r *poolRun) sweep(end time.Time) {
	r.after(poolSweep, func() {
		r.tenure.Count(r.elapsed(), r.former())
		unneeded := make([]bool, len(r.idle))
		if r.choice.byDemand {
			unneeded = r.demand.Unneeded(r.elapsed(), r.idle)
		} else {
			for i, c := range r.idle {
				unneeded[i] = r.elapsed()-c.Since >= previousIdleTime
			}
		}
		kept := r.idle[:0]
		for i, c := range r.idle {
			if !unneeded[i] {
				kept = append(kept, c)
			}
		}
		r.open -= len(r.idle) - len(kept)
		r.idle = kept
		if r.now.Before(end) {
			r.sweep(end)
		}
	})
}

// meanWait returns the mean wait for a connection by priority, in milliseconds.
func (r *poolRun) meanWait(priority int) float64 {
	return r.waits[priority].Seconds() * 1000 / float64(max(r.waited[priority], 1))
}

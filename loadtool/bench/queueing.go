package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthdock.dev/decision/limits"
	"amaranthdock.dev/decision/scheduling"
)

const (
	slots       = 5
	meanService = 10 * time.Millisecond
	deadline    = 5 * time.Second
	maxWait     = 2 * time.Second
	// capacity of the endpoint in statements per second.
	capacity = float64(slots) * float64(time.Second) / float64(meanService)
	// floodFactor is what the flooding workspace sends, times its rate.
	floodFactor = 5
)

// workspace is one sender of statements.
type workspace struct {
	name  string
	worth int
	// rate in statements per second.
	rate float64
}

// workspaces are two large and six small ones, at 60% of the capacity together.
// The first one floods.
func workspaces() []workspace {
	all := []workspace{
		{name: "large1", worth: 3, rate: 0.2 * capacity},
		{name: "large2", worth: 5, rate: 0.16 * capacity},
	}
	for i := range 6 {
		all = append(all, workspace{
			name:  fmt.Sprintf("small%d", i+1),
			worth: 1 + i%3,
			rate:  0.04 * capacity,
		})
	}
	return all
}

// endpoint simulates the queue and the slots of one endpoint.
type endpoint struct {
	*events
	queue    *scheduling.Queue
	random   *rand.Rand
	services map[uint64]time.Duration
	next     uint64
	stats    map[string]*stats
	buckets  map[string]*limits.Bucket
}

// stats are the results of one workspace.
type stats struct {
	sent, refused, finished int
	latencies               *hdrhistogram.Histogram
	used, wasted            time.Duration
}

func newEndpoint(seed uint64, config scheduling.Config) *endpoint {
	config.Slots = slots
	return &endpoint{
		events:   newEvents(),
		queue:    scheduling.New(config),
		random:   newRandom(seed, 0),
		services: map[uint64]time.Duration{},
		stats:    map[string]*stats{},
		buckets:  map[string]*limits.Bucket{},
	}
}

// send lets a workspace send until the end. Each workspace has its own source, so
// that its statements are the same under each policy and beside any others.
func (e *endpoint) send(seed, stream uint64, w workspace, factor float64, end time.Time) {
	random := newRandom(seed, stream+1)
	e.stats[w.name] = &stats{latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	e.poisson(random, w.rate*factor, end, func() {
		service := time.Duration(random.ExpFloat64() * float64(meanService))
		e.arrive(w, max(service, time.Microsecond))
	})
}

func (e *endpoint) arrive(w workspace, service time.Duration) {
	s := e.stats[w.name]
	s.sent++
	if bucket, ok := e.buckets[w.name]; ok && bucket.Take(e.now, 1) == 0 {
		s.refused++
		return
	}
	e.next++
	item := scheduling.Item{
		ID:       e.next,
		Subject:  w.name,
		Weight:   w.worth,
		Arrived:  e.now,
		Deadline: e.now.Add(deadline),
	}
	if _, ok := e.queue.Enqueue(e.now, item).(scheduling.Refused); ok {
		s.refused++
		return
	}
	e.services[item.ID] = service
	e.fill()
}

// fill starts items until the queue is idle.
func (e *endpoint) fill() {
	for {
		switch d := e.queue.Next(e.now).(type) {
		case scheduling.Run:
			e.after(e.services[d.Item.ID], func() { e.finish(d.Item) })
		case scheduling.Expired:
			e.stats[d.Item.Subject].refused++
			delete(e.services, d.Item.ID)
		default:
			return
		}
	}
}

func (e *endpoint) finish(item scheduling.Item) {
	s := e.stats[item.Subject]
	service := e.services[item.ID]
	delete(e.services, item.ID)
	e.queue.Complete(e.now, item.ID)
	s.used += service
	if e.now.After(item.Deadline) {
		s.wasted += service
	} else {
		s.finished++
		// Values are below the histogram's bound of an hour.
		_ = s.latencies.RecordValue(int64(e.now.Sub(item.Arrived) / time.Microsecond))
	}
	e.fill()
}

// policy is one choice of the queue.
type policy struct {
	name    string
	pick    bool
	limited bool
	config  scheduling.Config
}

func policies() []policy {
	return []policy{
		{name: "firstInFirstOut", config: scheduling.Config{Policy: scheduling.FirstInFirstOut{}, MaxWait: maxWait}},
		{name: "roundRobin", config: scheduling.Config{Policy: scheduling.RoundRobin{}, MaxWait: maxWait}},
		{name: "weightedFair without yielding", config: scheduling.Config{
			Policy: scheduling.WeightedFair{DisableYielding: true}, MaxWait: maxWait}},
		{name: "weightedFair without yielding behind limits", limited: true, config: scheduling.Config{
			Policy: scheduling.WeightedFair{DisableYielding: true}, MaxWait: maxWait}},
		{name: "weightedFair", config: scheduling.Config{Policy: scheduling.WeightedFair{}, MaxWait: maxWait}},
		{name: "weightedFair behind limits", pick: true, limited: true,
			config: scheduling.Config{Policy: scheduling.WeightedFair{}, MaxWait: maxWait}},
	}
}

// overload sends multiples of the capacity and compares the goodput with its peak.
func overload(config Config) []Result {
	choices := []policy{
		{name: "firstInFirstOut without refusals", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, AdmitAll: true}},
		{name: "firstInFirstOut", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, MaxWait: maxWait}},
		{name: "weightedFair", pick: true, config: scheduling.Config{
			Policy: scheduling.WeightedFair{}, MaxWait: maxWait}},
	}
	var results []Result
	for _, p := range choices {
		peak := 0.0
		for _, times := range []float64{1, 2, 5} {
			e := newEndpoint(config.Seed, p.config)
			end := e.now.Add(config.Duration)
			for i, w := range workspaces() {
				e.send(config.Seed, uint64(i), w, times/0.6, end)
			}
			e.runAll()
			var sum stats
			for _, w := range workspaces() {
				sum.sent += e.stats[w.name].sent
				sum.refused += e.stats[w.name].refused
				sum.finished += e.stats[w.name].finished
				sum.used += e.stats[w.name].used
				sum.wasted += e.stats[w.name].wasted
			}
			goodput := float64(sum.finished) / e.now.Sub(time.Unix(0, 0)).Seconds()
			peak = max(peak, goodput)
			results = append(results, Result{
				Section:  "overload",
				Scenario: fmt.Sprintf("%.0fx capacity", times),
				Choice:   p.name,
				Pick:     p.pick,
				Measures: []Measure{
					measure("goodputPerSecond", goodput),
					measure("goodputVsPeak", goodput/peak),
					measure("refused", float64(sum.refused)/float64(sum.sent)),
					measure("wastedWork", sum.wasted.Seconds()/sum.used.Seconds()),
				},
			})
		}
	}
	return results
}

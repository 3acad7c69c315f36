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
	slots           = 5
	meanServiceTime = 10 * time.Millisecond
	requestTimeout  = 5 * time.Second
	maxQueueWait    = 2 * time.Second
	// endpointCapacity is the capacity of an endpoint in statements per second.
	endpointCapacity = float64(slots) * float64(time.Second) / float64(meanServiceTime)
	// floodFactor is the rate of the flooding workspace as a multiple of its usual rate.
	floodFactor = 5
)

// workspace sends statements at a mean rate.
type workspace struct {
	name   string
	weight int
	// rate is in statements per second.
	rate float64
}

// workspaces returns two large and six small workspaces that use 60% of the capacity
// together. The first one sends the flood.
func workspaces() []workspace {
	all := []workspace{
		{name: "large1", weight: 3, rate: 0.2 * endpointCapacity},
		{name: "large2", weight: 5, rate: 0.16 * endpointCapacity},
	}
	for i := range 6 {
		all = append(all, workspace{
			name:   fmt.Sprintf("small%d", i+1),
			weight: 1 + i%3,
			rate:   0.04 * endpointCapacity,
		})
	}
	return all
}

// endpointRun simulates the queue and the slots of one endpoint.
type endpointRun struct {
	*eventLoop
	queue        *scheduling.Queue
	random       *rand.Rand
	serviceTimes map[uint64]time.Duration
	lastID       uint64
	stats        map[string]*stats
	buckets      map[string]*limits.Bucket
}

// stats holds the results of one workspace.
type stats struct {
	sent, refused, completed int
	latencies                *hdrhistogram.Histogram
	serviceTime, wastedTime  time.Duration
}

func newEndpointRun(seed uint64, config scheduling.Config) *endpointRun {
	config.Slots = slots
	return &endpointRun{
		eventLoop:    newEventLoop(),
		queue:        scheduling.New(config),
		random:       newRandom(seed, 0),
		serviceTimes: map[uint64]time.Duration{},
		stats:        map[string]*stats{},
		buckets:      map[string]*limits.Bucket{},
	}
}

// generateLoad lets a workspace send until the end. Each workspace has its own random
// source, so its statements do not depend on the scheduling choice or on other workspaces.
func (e *endpointRun) generateLoad(seed, stream uint64, w workspace, factor float64, end time.Time) {
	random := newRandom(seed, stream+1)
	e.stats[w.name] = &stats{latencies: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	e.poisson(random, w.rate*factor, end, func() {
		serviceTime := time.Duration(random.ExpFloat64() * float64(meanServiceTime))
		e.submit(w, max(serviceTime, time.Microsecond))
	})
}

func (e *endpointRun) submit(w workspace, serviceTime time.Duration) {
	s := e.stats[w.name]
	s.sent++
	if bucket, ok := e.buckets[w.name]; ok && bucket.Take(e.now, 1) == 0 {
		s.refused++
		return
	}
	e.lastID++
	item := scheduling.Item{
		ID:        e.lastID,
		Subject:   w.name,
		Weight:    w.weight,
		ArrivedAt: e.now,
		Deadline:  e.now.Add(requestTimeout),
	}
	if _, ok := e.queue.Enqueue(e.now, item).(scheduling.Refused); ok {
		s.refused++
		return
	}
	e.serviceTimes[item.ID] = serviceTime
	e.startStatements()
}

// startStatements starts queued statements until no slot is free or none is queued.
func (e *endpointRun) startStatements() {
	for {
		switch d := e.queue.Next(e.now).(type) {
		case scheduling.Run:
			e.after(e.serviceTimes[d.Item.ID], func() { e.complete(d.Item) })
		case scheduling.Expired:
			e.stats[d.Item.Subject].refused++
			delete(e.serviceTimes, d.Item.ID)
		default:
			return
		}
	}
}

func (e *endpointRun) complete(item scheduling.Item) {
	s := e.stats[item.Subject]
	serviceTime := e.serviceTimes[item.ID]
	delete(e.serviceTimes, item.ID)
	e.queue.Complete(e.now, item.ID)
	s.serviceTime += serviceTime
	if e.now.After(item.Deadline) {
		s.wastedTime += serviceTime
	} else {
		s.completed++
		// Latencies are below the histogram's limit of one hour.
		_ = s.latencies.RecordValue(int64(e.now.Sub(item.ArrivedAt) / time.Microsecond))
	}
	e.startStatements()
}

// schedulingChoice is one configuration of the queue.
type schedulingChoice struct {
	name        string
	usedByProxy bool
	rateLimited bool
	config      scheduling.Config
}

func schedulingChoices() []schedulingChoice {
	return []schedulingChoice{
		{name: "firstInFirstOut", config: scheduling.Config{Policy: scheduling.FirstInFirstOut{}, MaxWait: maxQueueWait}},
		{name: "roundRobin", config: scheduling.Config{Policy: scheduling.RoundRobin{}, MaxWait: maxQueueWait}},
		{name: "weightedFair without yielding", config: scheduling.Config{
			Policy: scheduling.WeightedFair{DisableYielding: true}, MaxWait: maxQueueWait}},
		{name: "weightedFair without yielding behind limits", rateLimited: true, config: scheduling.Config{
			Policy: scheduling.WeightedFair{DisableYielding: true}, MaxWait: maxQueueWait}},
		{name: "weightedFair", config: scheduling.Config{Policy: scheduling.WeightedFair{}, MaxWait: maxQueueWait}},
		{name: "weightedFair behind limits", usedByProxy: true, rateLimited: true,
			config: scheduling.Config{Policy: scheduling.WeightedFair{}, MaxWait: maxQueueWait}},
	}
}

// measureOverload sends multiples of the capacity and compares the goodput with its peak.
func measureOverload(config Config) []Result {
	choices := []schedulingChoice{
		{name: "firstInFirstOut without refusals", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, AdmitAll: true}},
		{name: "firstInFirstOut", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, MaxWait: maxQueueWait}},
		{name: "weightedFair", usedByProxy: true, config: scheduling.Config{
			Policy: scheduling.WeightedFair{}, MaxWait: maxQueueWait}},
	}
	var results []Result
	for _, choice := range choices {
		peak := 0.0
		for _, loadFactor := range []float64{1, 2, 5} {
			e := newEndpointRun(config.Seed, choice.config)
			end := e.now.Add(config.Duration)
			for i, w := range workspaces() {
				e.generateLoad(config.Seed, uint64(i), w, loadFactor/0.6, end)
			}
			e.runAll()
			var sum stats
			for _, w := range workspaces() {
				sum.sent += e.stats[w.name].sent
				sum.refused += e.stats[w.name].refused
				sum.completed += e.stats[w.name].completed
				sum.serviceTime += e.stats[w.name].serviceTime
				sum.wastedTime += e.stats[w.name].wastedTime
			}
			goodput := float64(sum.completed) / e.now.Sub(time.Unix(0, 0)).Seconds()
			peak = max(peak, goodput)
			results = append(results, Result{
				Section:     "overload",
				Scenario:    fmt.Sprintf("%.0fx capacity", loadFactor),
				Choice:      choice.name,
				UsedByProxy: choice.usedByProxy,
				Measures: []Measure{
					newMeasure("goodputPerSecond", goodput),
					newMeasure("goodputVsPeak", goodput/peak),
					newMeasure("refused", float64(sum.refused)/float64(sum.sent)),
					newMeasure("wastedWork", sum.wastedTime.Seconds()/sum.serviceTime.Seconds()),
				},
			})
		}
	}
	return results
}

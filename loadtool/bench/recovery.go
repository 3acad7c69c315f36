package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/scheduling"
)

const (
	// A statement of the mix is a short read or, rarely, a long statement.
	shortService = 2 * time.Millisecond
	longService  = 50 * time.Millisecond
	longShare    = 0.1
	// outage is how long the endpoint of the storm scenario serves nothing.
	outage = 5 * time.Second
	// mixDeadline is short enough that the length of the queue matters.
	mixDeadline = 500 * time.Millisecond
)

// mixRun sends a mix of short and long statements to one endpoint.
type mixRun struct {
	*events
	queue    *scheduling.Queue
	services map[uint64]time.Duration
	next     uint64
	// stopped endpoints start nothing.
	stopped bool
	result  mixResult
}

type mixResult struct {
	sent, refused, expired, late, inTime int
	// goodput is the service time of statements that end in time.
	goodput time.Duration
	// perSecond counts the statements that ended in time.
	perSecond []int
}

func newMixRun(config scheduling.Config) *mixRun {
	config.Slots = slots
	return &mixRun{
		events:   newEvents(),
		queue:    scheduling.New(config),
		services: map[uint64]time.Duration{},
	}
}

func (r *mixRun) arrive(subject string, service, within time.Duration) {
	r.result.sent++
	r.next++
	item := scheduling.Item{
		ID:       r.next,
		Subject:  subject,
		Weight:   1,
		Arrived:  r.now,
		Deadline: r.now.Add(within),
	}
	if _, ok := r.queue.Enqueue(r.now, item).(scheduling.Refused); ok {
		r.result.refused++
		return
	}
	r.services[item.ID] = service
	r.fill()
}

func (r *mixRun) fill() {
	for !r.stopped {
		switch d := r.queue.Next(r.now).(type) {
		case scheduling.Run:
			r.after(r.services[d.Item.ID], func() { r.finish(d.Item) })
		case scheduling.Expired:
			r.result.expired++
			delete(r.services, d.Item.ID)
		default:
			return
		}
	}
}

func (r *mixRun) finish(item scheduling.Item) {
	r.queue.Complete(r.now, item.ID)
	if r.now.After(item.Deadline) {
		r.result.late++
	} else {
		r.result.inTime++
		r.result.goodput += r.services[item.ID]
		second := int(r.now.Sub(time.Unix(0, 0)) / time.Second)
		for len(r.result.perSecond) <= second {
			r.result.perSecond = append(r.result.perSecond, 0)
		}
		r.result.perSecond[second]++
	}
	delete(r.services, item.ID)
	r.fill()
}

// send lets 8 workspaces send at a multiple of the capacity. Two of them send the
// long statements if they are apart, else each sends both kinds.
func (r *mixRun) send(config Config, times float64, apart bool, within time.Duration) {
	mean := longShare*longService.Seconds() + (1-longShare)*shortService.Seconds()
	random := newRandom(config.Seed, 21)
	r.poisson(newRandom(config.Seed, 20), times*slots/mean, r.now.Add(config.Duration), func() {
		subject, service := mixStatement(random, apart)
		r.arrive(subject, service, within)
	})
}

func mixStatement(random *rand.Rand, apart bool) (string, time.Duration) {
	service, first, count := shortService, 0, 8
	if random.Float64() < longShare {
		service = longService
	}
	if apart && service == longService {
		count = 2
	} else if apart {
		first, count = 2, 6
	}
	return fmt.Sprintf("w%d", first+random.IntN(count)), service
}

func mixChoices() []policy {
	return []policy{
		{name: "firstInFirstOut without refusals", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, AdmitAll: true}},
		{name: "firstInFirstOut", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, MaxWait: maxWait}},
		{name: "weightedFair", pick: true, config: scheduling.Config{
			Policy: scheduling.WeightedFair{}, MaxWait: maxWait}},
	}
}

// mixed overloads an endpoint with statements of 2 and 50 ms.
func mixed(config Config) []Result {
	var results []Result
	for _, apart := range []bool{false, true} {
		for _, p := range mixChoices() {
			peak := 0.0
			for _, times := range []float64{1, 2, 5} {
				r := newMixRun(p.config)
				r.send(config, times, apart, mixDeadline)
				r.runAll()
				goodput := r.result.goodput.Seconds() / (slots * r.now.Sub(time.Unix(0, 0)).Seconds())
				peak = max(peak, goodput)
				kind := "2 and 50 ms together"
				if apart {
					kind = "2 and 50 ms apart"
				}
				results = append(results, Result{
					Section:  "overload",
					Scenario: fmt.Sprintf("%.0fx, %s", times, kind),
					Choice:   p.name,
					Pick:     p.pick,
					Measures: []Measure{
						measure("goodWork", goodput),
						measure("goodputVsPeak", goodput/peak),
						measure("refused", ratio(r.result.refused, r.result.sent)),
						measure("expired", ratio(r.result.expired, r.result.sent)),
						measure("late", ratio(r.result.late, r.result.sent)),
					},
				})
			}
		}
	}
	return results
}

// storm stops an endpoint for 5 s at 80% load and looks at the time after it.
func storm(config Config) []Result {
	var results []Result
	const load, before, shortest = 0.8, 10, 30 * time.Second
	// The outage and the time after it must fit.
	config.Duration = max(config.Duration, shortest)
	for _, p := range mixChoices() {
		r := newMixRun(p.config)
		r.send(config, load, false, deadline)
		r.after(before*time.Second, func() { r.stopped = true })
		atEnd := mixResult{}
		r.after(before*time.Second+outage, func() {
			atEnd = r.result
			r.stopped = false
			r.fill()
		})
		afterwards := mixResult{}
		r.after(before*time.Second+2*outage, func() { afterwards = r.result })
		r.runAll()
		usual := 0.0
		for _, count := range r.result.perSecond[1:before] {
			usual += float64(count) / (before - 1)
		}
		resumed := before + int(outage/time.Second)
		results = append(results, Result{
			Section:  "overload",
			Scenario: "back after 5 s",
			Choice:   p.name,
			Pick:     p.pick,
			Measures: []Measure{
				measure("firstSecondVsUsual", float64(r.result.perSecond[resumed])/usual),
				measure("lateIn5s", float64(afterwards.late-atEnd.late)),
				measure("refusedIn5s", float64(afterwards.refused-atEnd.refused)),
				measure("expiredIn5s", float64(afterwards.expired-atEnd.expired)),
				measure("refusedLater", float64(r.result.refused-afterwards.refused)),
				measure("lateLater", float64(r.result.late-afterwards.late)),
			},
		})
	}
	return results
}

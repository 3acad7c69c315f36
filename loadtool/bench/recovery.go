package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthdock.dev/decision/scheduling"
)

const (
	// The mixed load consists of short reads and a few long statements.
	shortServiceTime = 2 * time.Millisecond
	longServiceTime  = 50 * time.Millisecond
	longShare        = 0.1
	// outageTime is how long the endpoint runs nothing in measureOutageRecovery.
	outageTime = 5 * time.Second
	// mixTimeout is short enough that the length of the queue matters.
	mixTimeout = 500 * time.Millisecond
)

// mixRun sends a mix of short and long statements to one endpoint.
type mixRun struct {
	*eventLoop
	queue        *scheduling.Queue
	serviceTimes map[uint64]time.Duration
	lastID       uint64
	// unavailable endpoints start no statements.
	unavailable bool
	result      mixResult
}

type mixResult struct {
	sent, refused, expired, late, inTime int
	// goodput is the total service time of the statements that ended before their deadline.
	goodput time.Duration
	// perSecond counts the statements that ended before their deadline, by second.
	perSecond []int
}

func newMixRun(config scheduling.Config) *mixRun {
	config.Slots = slots
	return &mixRun{
		eventLoop:    newEventLoop(),
		queue:        scheduling.New(config),
		serviceTimes: map[uint64]time.Duration{},
	}
}

func (r *mixRun) submit(subject string, serviceTime, timeout time.Duration) {
	r.result.sent++
	r.lastID++
	item := scheduling.Item{
		ID:        r.lastID,
		Subject:   subject,
		Weight:    1,
		ArrivedAt: r.now,
		Deadline:  r.now.Add(timeout),
	}
	if _, ok := r.queue.Enqueue(r.now, item).(scheduling.Refused); ok {
		r.result.refused++
		return
	}
	r.serviceTimes[item.ID] = serviceTime
	r.startStatements()
}

func (r *mixRun) startStatements() {
	for !r.unavailable {
		switch d := r.queue.Next(r.now).(type) {
		case scheduling.Run:
			r.after(r.serviceTimes[d.Item.ID], func() { r.complete(d.Item) })
		case scheduling.Expired:
			r.result.expired++
			delete(r.serviceTimes, d.Item.ID)
		default:
			return
		}
	}
}

func (r *mixRun) complete(item scheduling.Item) {
	r.queue.Complete(r.now, item.ID)
	if r.now.After(item.Deadline) {
		r.result.late++
	} else {
		r.result.inTime++
		r.result.goodput += r.serviceTimes[item.ID]
		second := int(r.now.Sub(time.Unix(0, 0)) / time.Second)
		for len(r.result.perSecond) <= second {
			r.result.perSecond = append(r.result.perSecond, 0)
		}
		r.result.perSecond[second]++
	}
	delete(r.serviceTimes, item.ID)
	r.startStatements()
}

// generateLoad lets 8 workspaces send at a multiple of the capacity. If separate is set,
// two of them send all long statements; otherwise each workspace sends both kinds.
func (r *mixRun) generateLoad(config Config, loadFactor float64, separate bool, timeout time.Duration) {
	mean := longShare*longServiceTime.Seconds() + (1-longShare)*shortServiceTime.Seconds()
	random := newRandom(config.Seed, 21)
	r.poisson(newRandom(config.Seed, 20), loadFactor*slots/mean, r.now.Add(config.Duration), func() {
		subject, serviceTime := randomStatement(random, separate)
		r.submit(subject, serviceTime, timeout)
	})
}

func randomStatement(random *rand.Rand, separate bool) (string, time.Duration) {
	serviceTime, first, count := shortServiceTime, 0, 8
	if random.Float64() < longShare {
		serviceTime = longServiceTime
	}
	if separate && serviceTime == longServiceTime {
		count = 2
	} else if separate {
		first, count = 2, 6
	}
	return fmt.Sprintf("w%d", first+random.IntN(count)), serviceTime
}

func overloadChoices() []schedulingChoice {
	return []schedulingChoice{
		{name: "firstInFirstOut without refusals", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, AdmitAll: true}},
		{name: "firstInFirstOut", config: scheduling.Config{
			Policy: scheduling.FirstInFirstOut{}, MaxWait: maxQueueWait}},
		{name: "weightedFair", usedByProxy: true, config: scheduling.Config{
			Policy: scheduling.WeightedFair{}, MaxWait: maxQueueWait}},
	}
}

// measureMixedOverload overloads an endpoint with statements of 2 and 50 ms.
func measureMixedOverload(config Config) []Result {
	var results []Result
	for _, separate := range []bool{false, true} {
		for _, choice := range overloadChoices() {
			peak := 0.0
			for _, loadFactor := range []float64{1, 2, 5} {
				r := newMixRun(choice.config)
				r.generateLoad(config, loadFactor, separate, mixTimeout)
				r.runAll()
				goodput := r.result.goodput.Seconds() / (slots * r.now.Sub(time.Unix(0, 0)).Seconds())
				peak = max(peak, goodput)
				kind := "2 and 50 ms together"
				if separate {
					kind = "2 and 50 ms apart"
				}
				results = append(results, Result{
					Section:     "overload",
					Scenario:    fmt.Sprintf("%.0fx, %s", loadFactor, kind),
					Choice:      choice.name,
					UsedByProxy: choice.usedByProxy,
					Measures: []Measure{
						newMeasure("goodWork", goodput),
						newMeasure("goodputVsPeak", goodput/peak),
						newMeasure("refused", ratio(r.result.refused, r.result.sent)),
						newMeasure("expired", ratio(r.result.expired, r.result.sent)),
						newMeasure("late", ratio(r.result.late, r.result.sent)),
					},
				})
			}
		}
	}
	return results
}

// measureOutageRecovery stops an endpoint for 5 s at 80% load and measures the recovery.
func measureOutageRecovery(config Config) []Result {
	var results []Result
	const load, outageStart, minDuration = 0.8, 10, 30 * time.Second
	// The run must be long enough for the outage and the recovery.
	config.Duration = max(config.Duration, minDuration)
	for _, choice := range overloadChoices() {
		r := newMixRun(choice.config)
		r.generateLoad(config, load, false, requestTimeout)
		r.after(outageStart*time.Second, func() { r.unavailable = true })
		atOutageEnd := mixResult{}
		r.after(outageStart*time.Second+outageTime, func() {
			atOutageEnd = r.result
			r.unavailable = false
			r.startStatements()
		})
		fiveSecondsLater := mixResult{}
		r.after(outageStart*time.Second+2*outageTime, func() { fiveSecondsLater = r.result })
		r.runAll()
		usualPerSecond := 0.0
		for _, count := range r.result.perSecond[1:outageStart] {
			usualPerSecond += float64(count) / (outageStart - 1)
		}
		firstSecondBack := outageStart + int(outageTime/time.Second)
		results = append(results, Result{
			Section:     "overload",
			Scenario:    "back after 5 s",
			Choice:      choice.name,
			UsedByProxy: choice.usedByProxy,
			Measures: []Measure{
				newMeasure("firstSecondVsUsual", float64(r.result.perSecond[firstSecondBack])/usualPerSecond),
				newMeasure("lateIn5s", float64(fiveSecondsLater.late-atOutageEnd.late)),
				newMeasure("refusedIn5s", float64(fiveSecondsLater.refused-atOutageEnd.refused)),
				newMeasure("expiredIn5s", float64(fiveSecondsLater.expired-atOutageEnd.expired)),
				newMeasure("refusedLater", float64(r.result.refused-fiveSecondsLater.refused)),
				newMeasure("lateLater", float64(r.result.late-fiveSecondsLater.late)),
			},
		})
	}
	return results
}

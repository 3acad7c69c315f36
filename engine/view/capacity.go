package view

import (
	"time"

	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

// capacityTTL is the age up to which a reported capacity is used. An endpoint without statements
// sends no reports, and its home raises the limit within this time.
const capacityTTL = 5 * time.Second

// reportedCapacity is what the home of an endpoint has reported about its capacity.
type reportedCapacity struct {
	capacity   int
	slotWait   time.Duration
	reportedAt time.Time
	// serviceTimes holds the measured times of reads by their priority.
	serviceTimes map[int]reportedTime
}

// reportedTime is a service time with the time of its report.
type reportedTime struct {
	time       time.Duration
	reportedAt time.Time
}

// RecordCapacity records the capacity that the home of an endpoint reported in the response to a
// statement of a priority.
func (v *View) RecordCapacity(e catalog.Endpoint, priority int, report peer.EndpointReport) {
	if report.Capacity == 0 && report.ServiceTime == 0 {
		return
	}
	now := v.config.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	r := &v.database(e.Database).endpoint(e.Key).reported
	if report.Capacity > 0 {
		r.capacity = report.Capacity
		r.slotWait = report.SlotWait
		r.reportedAt = now
	}
	if report.ServiceTime == 0 {
		return
	}
	if r.serviceTimes == nil {
		r.serviceTimes = map[int]reportedTime{}
	}
	r.serviceTimes[priority] = reportedTime{
		time:       report.ServiceTime,
		reportedAt: now,
	}
}

// addReported adds the capacities to the candidates, and penalties for endpoints at whose learned limit
// statements wait and for those whose homes measure a much longer service time. The time that this VM measures hides a slow endpoint: it includes
// waits, and it counts only for endpoints at which this VM has statements in progress.
func addReported(now time.Time, candidates []placement.Candidate, reported []reportedCapacity) {
	times := make([]placement.ServiceTimes, len(reported))
	for i, r := range reported {
		if r.capacity > 0 && now.Sub(r.reportedAt) < capacityTTL {
			candidates[i].Capacity = r.capacity
			candidates[i].Penalty += placement.SlotWaitPenalty(r.slotWait, now.Sub(r.reportedAt))
		}
		times[i] = placement.ServiceTimes{}
		for priority, t := range r.serviceTimes {
			times[i][priority] = placement.MeasuredTime{
				Time: t.time,
				Age:  now.Sub(t.reportedAt),
			}
		}
	}
	for i, excess := range placement.ExcessTimes(times) {
		candidates[i].Penalty += excess
	}
}

package placement

import "time"

const (
	// minSlowdown is how many times as long as at the fastest endpoint of the database a read
	// must take for an endpoint to count as slow. Measured means of equal endpoints differ by up
	// to about a half.
	minSlowdown = 2
	// excessHalfLife is the time in which the excess of a slow endpoint halves without a new
	// report. An endpoint that gets no reads sends no reports, and must be tried again.
	excessHalfLife = 500 * time.Millisecond
	// excessTTL is the age above which a report is ignored.
	excessTTL = 10 * time.Second
	// slotWaitHalfLife is the time in which the mean wait at an endpoint with a learned limit
	// halves without a new report. It is above reportedWaitHalfLife, because each of many VMs gets
	// a report of an endpoint less than every 0.1 s.
	slotWaitHalfLife = time.Second
)

// SlotWaitPenalty returns the penalty of an endpoint with a learned limit, from the mean wait for a
// slot that its home reported.
func SlotWaitPenalty(wait, age time.Duration) time.Duration {
	return halved(wait, age, slotWaitHalfLife)
}

// halved returns a value that halves with each half-life of its age.
func halved(value, age, halfLife time.Duration) time.Duration {
	for ; age >= halfLife && value > 0; age -= halfLife {
		value /= 2
	}
	return value
}

// MeasuredTime is a service time that an endpoint's home has measured, and its age.
type MeasuredTime struct {
	Time time.Duration
	Age  time.Duration
}

// ServiceTimes holds the measured times of the reads at an endpoint by their priority. Only reads
// of the same priority are comparable.
type ServiceTimes map[int]MeasuredTime

// ExcessTimes returns for each endpoint of a database how much longer a read takes there than at the
// fastest one; 0 for endpoints that are not clearly slower, or of which nothing comparable is known.
func ExcessTimes(endpoints []ServiceTimes) []time.Duration {
	fastest := map[int]time.Duration{}
	for _, times := range endpoints {
		for priority, m := range times {
			if known, ok := fastest[priority]; m.Time > 0 && m.Age < excessTTL && (!ok || m.Time < known) {
				fastest[priority] = m.Time
			}
		}
	}
	excess := make([]time.Duration, len(endpoints))
	for i, times := range endpoints {
		excess[i] = excessTime(times, fastest)
	}
	return excess
}

// excessTime returns the excess of one endpoint, for the mean of the priorities.
func excessTime(times ServiceTimes, fastest map[int]time.Duration) time.Duration {
	var total, expected, newest, count time.Duration
	for priority, m := range times {
		if m.Time <= 0 || m.Age >= excessTTL {
			continue
		}
		if expected == 0 || m.Age < newest {
			newest = m.Age
		}
		count++
		total += m.Time
		expected += fastest[priority]
	}
	if expected == 0 || total < minSlowdown*expected {
		return 0
	}
	return halved((total-expected)/count, newest, excessHalfLife)
}

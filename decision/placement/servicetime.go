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
)

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
	excess := (total - expected) / count
	for age := newest; age >= excessHalfLife && excess > 0; age -= excessHalfLife {
		excess /= 2
	}
	return excess
}

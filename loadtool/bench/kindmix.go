package bench

import "time"

// kindMix holds the kinds of statements by priority.
type kindMix []struct {
	// mean is the mean service time, and part the part of all statements.
	mean time.Duration
	part float64
}

// meanSeconds returns the mean service time of all statements in seconds.
func (m kindMix) meanSeconds() float64 {
	mean := 0.0
	for _, k := range m {
		mean += k.part * k.mean.Seconds()
	}
	return mean
}

// priorityAt returns the priority of a statement for a random number from 0 to 1.
func (m kindMix) priorityAt(random float64) int {
	priority := 0
	for random >= m[priority].part && priority < len(m)-1 {
		random -= m[priority].part
		priority++
	}
	return priority
}

package promotion

import (
	"sort"
	"time"

	"amaranthdock.dev/decision/logpos"
)

// maxSamples bounds the memory of one database: 32 bytes each.
const maxSamples = 2048

// DataAgeTracker holds samples of the primary's position, from which it bounds the
// age of a replica's data without comparing clocks.
type DataAgeTracker struct {
	interval time.Duration
	samples  []sample
}

type sample struct {
	at       time.Time
	position logpos.Position
}

// NewDataAgeTracker returns a Freshness that keeps at most one sample in an interval.
func NewDataAgeTracker(interval time.Duration) *DataAgeTracker {
	return &DataAgeTracker{interval: interval}
}

// Add notes that everything committed before at is covered by the position.
// Positions before the last one, of a replaced primary, are ignored.
func (f *DataAgeTracker) Add(at time.Time, position logpos.Position) {
	if len(f.samples) == 0 {
		f.samples = append(f.samples, sample{
			at:       at,
			position: position,
		})
		return
	}
	last := &f.samples[len(f.samples)-1]
	switch {
	case at.Before(last.at) || !position.Covers(last.position):
		return
	case position == last.position:
		// The primary stood still, so the newer time is the better bound.
		last.at = at
		return
	case at.Sub(last.at) < f.interval:
		return
	}
	if len(f.samples) == maxSamples {
		f.samples = append(f.samples[:0], f.samples[maxSamples/2:]...)
	}
	f.samples = append(f.samples, sample{
		at:       at,
		position: position,
	})
}

// Age bounds the age of data that ends at a position. It returns false if no
// sample is old enough.
func (f *DataAgeTracker) Age(now time.Time, position logpos.Position) (time.Duration, bool) {
	after := sort.Search(len(f.samples), func(i int) bool {
		return !position.Covers(f.samples[i].position)
	})
	if after == 0 {
		return 0, false
	}
	return now.Sub(f.samples[after-1].at), true
}

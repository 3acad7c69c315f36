package promotion

import (
	"sort"
	"time"

	"amaranthdock.dev/decision/logpos"
)

// maxSamples limits the memory for one database; a sample takes 32 bytes.
const maxSamples = 2048

// DataAgeTracker records samples of the primary's log position. From them it computes an
// upper bound of the age of a replica's data, without comparing the clocks of
// different machines.
type DataAgeTracker struct {
	interval time.Duration
	samples  []sample
}

type sample struct {
	at       time.Time
	position logpos.Position
}

// NewDataAgeTracker returns a DataAgeTracker that keeps at most one sample per interval.
func NewDataAgeTracker(interval time.Duration) *DataAgeTracker {
	return &DataAgeTracker{interval: interval}
}

// Add records that the position covers everything committed before the time at. A
// position lower than the previous one comes from a replaced primary and is ignored.
func (t *DataAgeTracker) Add(at time.Time, position logpos.Position) {
	if len(t.samples) == 0 {
		t.samples = append(t.samples, sample{
			at:       at,
			position: position,
		})
		return
	}
	last := &t.samples[len(t.samples)-1]
	switch {
	case at.Before(last.at) || !position.Covers(last.position):
		return
	case position == last.position:
		// The primary has written nothing since, so the later time gives the tighter
		// bound.
		last.at = at
		return
	case at.Sub(last.at) < t.interval:
		return
	}
	if len(t.samples) == maxSamples {
		t.samples = append(t.samples[:0], t.samples[maxSamples/2:]...)
	}
	t.samples = append(t.samples, sample{
		at:       at,
		position: position,
	})
}

// Age returns an upper bound of the age of data that ends at a position. It returns
// false if there is no sample at or before the position.
func (t *DataAgeTracker) Age(now time.Time, position logpos.Position) (time.Duration, bool) {
	after := sort.Search(len(t.samples), func(i int) bool {
		return !position.Covers(t.samples[i].position)
	})
	if after == 0 {
		return 0, false
	}
	return now.Sub(t.samples[after-1].at), true
}

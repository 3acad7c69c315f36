// Package staleness decides which log position a read must see so that its data is
// not older than an age. Clocks of different machines are never compared: a sample
// is the position of a proven primary and the reading, of one VM's own clock, from
// before that primary was asked.
package staleness

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/logpos"
)

const (
	// horizon is how long samples are kept. Routes with a longer age see the oldest
	// sample within it, which is fresher than they ask.
	horizon = 10 * time.Second
	// spacing of the samples that are kept, so that memory does not grow with load.
	spacing = 50 * time.Millisecond
)

// Sample says that Position covers each commit that was acknowledged before At.
type Sample struct {
	At       time.Duration
	Position logpos.Position
}

// Samples of one database, in the order of their times. The zero value is empty.
// The caller locks.
type Samples struct {
	kept []Sample
}

// Add records a sample. Readings come from a clock that goes on while the VM is
// suspended.
func (s *Samples) Add(sample Sample) {
	at, _ := slices.BinarySearchFunc(s.kept, sample, func(a, b Sample) int { return int(a.At - b.At) })
	if at > 0 && at < len(s.kept) && s.kept[at].At-s.kept[at-1].At < spacing {
		return
	}
	if last := len(s.kept) - 1; at > last && last > 0 && sample.At-s.kept[last-1].At < spacing {
		// The newest sample is replaced until it is far enough from the one before.
		s.kept[last] = sample
		return
	}
	s.kept = slices.Insert(s.kept, at, sample)
	newest := s.kept[len(s.kept)-1].At
	first := 0
	for first < len(s.kept) && newest-s.kept[first].At > horizon {
		first++
	}
	s.kept = slices.Delete(s.kept, 0, first)
}

// RequiredPosition returns the lowest known position that covers each commit acknowledged
// before now minus age. It returns false if no sample is young enough. Positions of
// a replaced term are passed over where a newer term is known, because its log may
// lack them.
func (s *Samples) RequiredPosition(now, age time.Duration) (logpos.Position, bool) {
	if len(s.kept) == 0 {
		return logpos.Position{}, false
	}
	term := s.kept[len(s.kept)-1].Position.Term
	for _, sample := range s.kept {
		if sample.At >= now-age && sample.Position.Term >= term {
			return sample.Position, true
		}
	}
	return logpos.Position{}, false
}

// NewestAge returns how old the newest sample is; false without samples.
func (s *Samples) NewestAge(now time.Duration) (time.Duration, bool) {
	if len(s.kept) == 0 {
		return 0, false
	}
	return now - s.kept[len(s.kept)-1].At, true
}

// Newest returns the newest sample; false without samples.
func (s *Samples) Newest() (Sample, bool) {
	if len(s.kept) == 0 {
		return Sample{}, false
	}
	return s.kept[len(s.kept)-1], true
}

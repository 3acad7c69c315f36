// Package staleness implements reads with bounded staleness: it decides which log
// position a read must see so that its data is not older than a maximum age. Clocks of
// different machines are never compared: a sample is the position of a confirmed
// primary and the time, on one VM's own clock, just before that VM asked the primary.
package staleness

import (
	"slices"
	"time"

	"amaranthdock.dev/decision/logpos"
)

const (
	// retention is how long samples are kept. For a longer maximum age the oldest
	// retained sample is used, which is fresher than required.
	retention = 10 * time.Second
	// minSpacing is the minimum time between retained samples. It keeps memory use
	// independent of the load.
	minSpacing = 50 * time.Millisecond
)

// Sample states that Position covers every commit that was acknowledged before At, a
// reading of the clock that Samples.Add describes.
type Sample struct {
	At       time.Duration
	Position logpos.Position
}

// Samples holds the samples of one database, ordered by time. The zero value is
// empty. It is not safe for concurrent use; the caller holds a lock.
type Samples struct {
	samples []Sample
}

// Add adds a sample. Its time must be from a clock that keeps running while the VM is
// suspended.
func (s *Samples) Add(sample Sample) {
	index, _ := slices.BinarySearchFunc(s.samples, sample, func(a, b Sample) int { return int(a.At - b.At) })
	if index > 0 && index < len(s.samples) && s.samples[index].At-s.samples[index-1].At < minSpacing {
		return
	}
	if last := len(s.samples) - 1; index > last && last > 0 && sample.At-s.samples[last-1].At < minSpacing {
		// The newest sample is replaced until it is minSpacing after the previous one.
		s.samples[last] = sample
		return
	}
	s.samples = slices.Insert(s.samples, index, sample)
	newest := s.samples[len(s.samples)-1].At
	first := 0
	for first < len(s.samples) && newest-s.samples[first].At > retention {
		first++
	}
	s.samples = slices.Delete(s.samples, 0, first)
}

// RequiredPosition returns the lowest known position that covers every commit
// acknowledged before now minus age. It returns false if no sample is recent enough.
// Positions of older terms are skipped if a newer term is known, because the log of the
// newer term may lack them.
func (s *Samples) RequiredPosition(now, age time.Duration) (logpos.Position, bool) {
	if len(s.samples) == 0 {
		return logpos.Position{}, false
	}
	term := s.samples[len(s.samples)-1].Position.Term
	for _, sample := range s.samples {
		if sample.At >= now-age && sample.Position.Term >= term {
			return sample.Position, true
		}
	}
	return logpos.Position{}, false
}

// NewestAge returns the age of the newest sample, or false if there are no samples.
func (s *Samples) NewestAge(now time.Duration) (time.Duration, bool) {
	if len(s.samples) == 0 {
		return 0, false
	}
	return now - s.samples[len(s.samples)-1].At, true
}

// Newest returns the newest sample, or false if there are no samples.
func (s *Samples) Newest() (Sample, bool) {
	if len(s.samples) == 0 {
		return Sample{}, false
	}
	return s.samples[len(s.samples)-1], true
}

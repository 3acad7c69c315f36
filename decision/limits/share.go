package limits

import "time"

// LocalShare is a VM's own part of one subject. It is not safe for concurrent use.
type LocalShare struct {
	limit    Limit
	part     Share
	revision uint64
	bucket   Bucket
	shrink   shrink
}

// shrink bounds a part that its holder is giving away. It holds until the record
// has passed the revision that the write expected: before that the write may
// still take effect, even if its answer was lost. A new process holds nothing
// until the record has passed the revision that it read first, because a write of
// the process before it may still take effect.
type shrink struct {
	active     bool
	millionths int64
	expected   uint64
}

// NewLocalShare returns a share without a part. First is the revision of the record
// that the process read first.
func NewLocalShare(now time.Time, limit Limit, first uint64) *LocalShare {
	return &LocalShare{
		limit:  limit,
		bucket: NewBucket(now, 0, 0),
		shrink: shrink{
			active:   true,
			expected: first,
		},
	}
}

// Apply takes over the VM's part (the zero Part if it holds none) from a revision
// of the record. It ignores a revision that is not newer than the last one.
func (s *LocalShare) Apply(now time.Time, revision uint64, part Share) {
	if revision <= s.revision {
		return
	}
	s.revision = revision
	if s.shrink.active && revision > s.shrink.expected {
		s.shrink = shrink{}
	}
	if part.Epoch != s.part.Epoch {
		s.bucket = NewBucket(now, 0, 0)
	}
	s.part = part
	s.resize(now)
}

// Available returns the whole tokens.
func (s *LocalShare) Available(now time.Time) int64 {
	return s.bucket.Available(now)
}

// SetLimit applies the limit of the configuration in effect.
func (s *LocalShare) SetLimit(now time.Time, limit Limit) {
	if limit == s.limit {
		return
	}
	s.limit = limit
	s.resize(now)
}

// Millionths returns the size of the part that the VM may use.
func (s *LocalShare) Millionths() int64 {
	if s.shrink.active {
		return min(s.part.Millionths, s.shrink.millionths)
	}
	return s.part.Millionths
}

// Reduce makes the part smaller before its holder writes that to the record,
// which is expected to have the given revision.
func (s *LocalShare) Reduce(now time.Time, millionths int64, expected uint64) {
	if s.shrink.active {
		// An earlier write may still take effect, too.
		expected = max(expected, s.shrink.expected)
	}
	s.shrink = shrink{
		active:     true,
		millionths: min(millionths, s.Millionths()),
		expected:   expected,
	}
	s.resize(now)
}

// ReductionPending tells whether the part is kept smaller than in the record because of a
// write that may still take effect. Writing the record again, unchanged, ends it.
func (s *LocalShare) ReductionPending() bool {
	return s.Millionths() < s.part.Millionths
}

// Take removes up to the given number of tokens and returns how many.
func (s *LocalShare) Take(now time.Time, tokens int64) int64 {
	return s.bucket.Take(now, tokens)
}

// TimeUntil returns the time until the share holds the given number of tokens.
func (s *LocalShare) TimeUntil(now time.Time, tokens int64) time.Duration {
	return s.bucket.TimeUntil(now, tokens)
}

func (s *LocalShare) resize(now time.Time) {
	capacity, rate := s.limit.BucketParameters(s.Millionths())
	s.bucket.Resize(now, capacity, rate)
}

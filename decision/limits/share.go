package limits

import "time"

// LocalShare is this VM's share of one subject's limit, with its token bucket. It
// is not safe for concurrent use.
type LocalShare struct {
	limit            Limit
	share            Share
	revision         uint64
	bucket           Bucket
	pendingReduction pendingReduction
}

// pendingReduction caps a share whose holder has begun to write a smaller size to
// the record. The cap applies until the record has a newer revision than the one
// that the write expected: until then the write can still take effect, even if its
// response was lost. A new process has a share of 0 until the record is newer than
// the first revision that it read, because a write of the previous process on this
// VM can still take effect.
type pendingReduction struct {
	active           bool
	millionths       int64
	expectedRevision uint64
}

// NewLocalShare returns an empty share. firstRevision is the first revision of the
// share record that the process read.
func NewLocalShare(now time.Time, limit Limit, firstRevision uint64) *LocalShare {
	return &LocalShare{
		limit:  limit,
		bucket: NewBucket(now, 0, 0),
		pendingReduction: pendingReduction{
			active:           true,
			expectedRevision: firstRevision,
		},
	}
}

// Apply updates the share from a revision of the share record; share is the zero
// Share if the VM holds none. A revision that is not newer than the last one is
// ignored.
func (s *LocalShare) Apply(now time.Time, revision uint64, share Share) {
	if revision <= s.revision {
		return
	}
	s.revision = revision
	if s.pendingReduction.active && revision > s.pendingReduction.expectedRevision {
		s.pendingReduction = pendingReduction{}
	}
	if share.Epoch != s.share.Epoch {
		s.bucket = NewBucket(now, 0, 0)
	}
	s.share = share
	s.resizeBucket(now)
}

// Available returns the number of whole tokens.
func (s *LocalShare) Available(now time.Time) int64 {
	return s.bucket.Available(now)
}

// SetLimit applies the limit of the current configuration.
func (s *LocalShare) SetLimit(now time.Time, limit Limit) {
	if limit == s.limit {
		return
	}
	s.limit = limit
	s.resizeBucket(now)
}

// Millionths returns the size of the share that the VM may use.
func (s *LocalShare) Millionths() int64 {
	if s.pendingReduction.active {
		return min(s.share.Millionths, s.pendingReduction.millionths)
	}
	return s.share.Millionths
}

// Reduce makes the share smaller. The holder must call it before it writes the
// smaller share to the record; expectedRevision is the revision that this write
// expects the record to have.
func (s *LocalShare) Reduce(now time.Time, millionths int64, expectedRevision uint64) {
	if s.pendingReduction.active {
		// An earlier write can still take effect as well.
		expectedRevision = max(expectedRevision, s.pendingReduction.expectedRevision)
	}
	s.pendingReduction = pendingReduction{
		active:           true,
		millionths:       min(millionths, s.Millionths()),
		expectedRevision: expectedRevision,
	}
	s.resizeBucket(now)
}

// ReductionPending reports whether the share is smaller than in the record because
// a write can still take effect. Writing the record again unchanged ends this
// state, because it gives the record a new revision.
func (s *LocalShare) ReductionPending() bool {
	return s.Millionths() < s.share.Millionths
}

// Take removes up to the given number of tokens and returns how many it removed.
func (s *LocalShare) Take(now time.Time, tokens int64) int64 {
	return s.bucket.Take(now, tokens)
}

// TimeUntil returns the time until the share has the given number of tokens, or
// Never if it cannot hold that many.
func (s *LocalShare) TimeUntil(now time.Time, tokens int64) time.Duration {
	return s.bucket.TimeUntil(now, tokens)
}

func (s *LocalShare) resizeBucket(now time.Time) {
	capacity, rate := s.limit.BucketParameters(s.Millionths())
	s.bucket.Resize(now, capacity, rate)
}

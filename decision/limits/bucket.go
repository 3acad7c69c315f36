package limits

import (
	"math"
	"time"
)

// Bucket is a token bucket. It starts empty and never holds more than its
// capacity, so a process that was paused cannot admit more than its burst.
type Bucket struct {
	capacity float64
	// rate is in tokens per second.
	rate      float64
	tokens    float64
	updatedAt time.Time
	// surplus holds the tokens above the capacity after ResizeKeepingSurplus. It
	// can be spent until surplusExpiry.
	surplus       float64
	surplusExpiry time.Time
}

// NewBucket returns an empty bucket with a capacity in tokens and a rate in
// tokens per second.
func NewBucket(now time.Time, capacity, rate float64) Bucket {
	return Bucket{
		capacity:  max(capacity, 0),
		rate:      max(rate, 0),
		updatedAt: now,
	}
}

// Available returns the number of whole tokens.
func (b *Bucket) Available(now time.Time) int64 {
	b.refill(now)
	return int64(b.tokens + b.surplus + tokenEpsilon)
}

// ResizeKeepingSurplus changes capacity and rate as Resize does, but keeps tokens
// above the new capacity spendable until the given time.
func (b *Bucket) ResizeKeepingSurplus(now time.Time, capacity, rate float64, until time.Time) {
	b.refill(now)
	total := b.tokens + b.surplus
	b.Resize(now, capacity, rate)
	b.surplus = total - b.tokens
	b.surplusExpiry = until
}

// Resize changes capacity and rate. Tokens above the new capacity are lost.
func (b *Bucket) Resize(now time.Time, capacity, rate float64) {
	b.refill(now)
	b.capacity = max(capacity, 0)
	b.rate = max(rate, 0)
	b.tokens = min(b.tokens, b.capacity)
}

// Take removes up to the given number of whole tokens and returns how many it
// removed.
func (b *Bucket) Take(now time.Time, tokens int64) int64 {
	taken := max(min(tokens, b.Available(now)), 0)
	fromSurplus := min(float64(taken), b.surplus)
	b.surplus -= fromSurplus
	b.tokens = max(b.tokens-(float64(taken)-fromSurplus), 0)
	return taken
}

// TimeUntil returns the time until the bucket holds the given number of tokens, or
// Never if it cannot hold that many.
func (b *Bucket) TimeUntil(now time.Time, tokens int64) time.Duration {
	b.refill(now)
	missing := float64(tokens) - b.tokens - b.surplus
	switch {
	case missing <= tokenEpsilon:
		return 0
	case float64(tokens) > b.capacity+tokenEpsilon || b.rate == 0:
		return Never
	}
	seconds := missing / b.rate
	if seconds >= Never.Seconds() {
		return Never
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// refill adds the tokens that accrued since the last call. It ignores a time that
// is not later than that of the last call.
func (b *Bucket) refill(now time.Time) {
	if !now.Before(b.surplusExpiry) {
		b.surplus = 0
	}
	if !now.After(b.updatedAt) {
		return
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.updatedAt).Seconds(), b.capacity)
	b.updatedAt = now
}

const (
	// Never is the wait for tokens that will not become available.
	Never = time.Duration(math.MaxInt64)
	// tokenEpsilon is the tolerance for rounding errors in sums of tokens.
	tokenEpsilon = 1e-9
)

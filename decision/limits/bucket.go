package limits

import (
	"math"
	"time"
)

// Bucket is a token bucket. It starts empty and never holds more than its
// capacity, so a process that was paused cannot admit more than its burst.
type Bucket struct {
	capacity float64
	rate     float64
	tokens   float64
	updated  time.Time
	// surplus is what a lower capacity has no room for; it may be spent until
	// surplusUntil.
	surplus      float64
	surplusUntil time.Time
}

// NewBucket returns an empty bucket with a capacity in tokens and a rate in
// tokens per second.
func NewBucket(now time.Time, capacity, rate float64) Bucket {
	return Bucket{
		capacity: max(capacity, 0),
		rate:     max(rate, 0),
		updated:  now,
	}
}

// Available returns the whole tokens.
func (b *Bucket) Available(now time.Time) int64 {
	b.refill(now)
	return int64(b.tokens + b.surplus + rounding)
}

// ResizeKeepingSurplus changes capacity and rate from now on, as Resize does, but what was saved
// under the old capacity may still be spent until the given time.
func (b *Bucket) ResizeKeepingSurplus(now time.Time, capacity, rate float64, until time.Time) {
	b.refill(now)
	saved := b.tokens + b.surplus
	b.Resize(now, capacity, rate)
	b.surplus = saved - b.tokens
	b.surplusUntil = until
}

// Resize changes capacity and rate from now on. The tokens stay, up to the new
// capacity.
func (b *Bucket) Resize(now time.Time, capacity, rate float64) {
	b.refill(now)
	b.capacity = max(capacity, 0)
	b.rate = max(rate, 0)
	b.tokens = min(b.tokens, b.capacity)
}

// Take removes up to the given number of whole tokens and returns how many.
func (b *Bucket) Take(now time.Time, tokens int64) int64 {
	taken := max(min(tokens, b.Available(now)), 0)
	fromSurplus := min(float64(taken), b.surplus)
	b.surplus -= fromSurplus
	b.tokens = max(b.tokens-(float64(taken)-fromSurplus), 0)
	return taken
}

// TimeUntil returns the time until the bucket holds the given number of tokens; Never
// if it cannot hold them.
func (b *Bucket) TimeUntil(now time.Time, tokens int64) time.Duration {
	b.refill(now)
	missing := float64(tokens) - b.tokens - b.surplus
	switch {
	case missing <= rounding:
		return 0
	case float64(tokens) > b.capacity+rounding || b.rate == 0:
		return Never
	}
	seconds := missing / b.rate
	if seconds >= Never.Seconds() {
		return Never
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// refill ignores a reading that is older than the last one.
func (b *Bucket) refill(now time.Time) {
	if !now.Before(b.surplusUntil) {
		b.surplus = 0
	}
	if !now.After(b.updated) {
		return
	}
	b.tokens = min(b.tokens+b.rate*now.Sub(b.updated).Seconds(), b.capacity)
	b.updated = now
}

const (
	// Never stands for a wait without end.
	Never = time.Duration(math.MaxInt64)
	// rounding is what the sums of floating-point numbers may lack to a token.
	rounding = 1e-9
)

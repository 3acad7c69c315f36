package capacity

import (
	"math"
	"time"
)

const (
	// minBusy and maxBusyShare bound the rejected statements. Fewer are caused by others that use
	// the endpoint, such as new connections.
	minBusy      = 5
	maxBusyShare = 0.05
	// minFewSamples is the number of statements with few in progress that show whether the
	// rejections depend on that number.
	minFewSamples = 15
	// busySignificance is the number of standard errors by which more of the other statements must
	// be rejected.
	busySignificance = 2
	// busyFactor is the factor of the limit after statements within the reported slots were
	// rejected.
	busyFactor = 0.75
	// busyIgnoreTime is the time for which rejections are ignored after the lowest limit did not
	// prevent them.
	busyIgnoreTime = 16 * time.Second
)

// busyCount counts statements and the rejected ones among them.
type busyCount struct {
	busy, total float64
}

func (b busyCount) share() float64 { return b.busy / max(b.total, 1) }

// isLowerThan reports whether significantly fewer statements were rejected than of others.
func (b busyCount) isLowerThan(other busyCount) bool {
	share := (b.busy + other.busy) / max(b.total+other.total, 1)
	variance := share * (1 - share) * (1/max(b.total, 1) + 1/max(other.total, 1))
	return other.share()-b.share() > busySignificance*math.Sqrt(variance)
}

// countBusy counts the statements with a number in progress between two bounds.
func (t *track) countBusy(from, to int) busyCount {
	var count busyCount
	for _, e := range t.epochs {
		for level := from; level <= min(to, len(e.total)-1); level++ {
			count.busy += e.busy[level]
			count.total += e.total[level]
		}
	}
	return count
}

// checkBusy lowers the limit if the endpoint rejects too many statements, unless it is known to
// reject those with few in progress as often.
func (t *track) checkBusy(now time.Time) {
	if now.Before(t.busyIgnoredUntil) {
		return
	}
	all := t.countBusy(1, t.upperLimit())
	few := t.countBusy(1, t.limit/2)
	many := t.countBusy(t.limit/2+1, t.upperLimit())
	beyond := t.countBusy(t.config.Slots+1, t.upperLimit())
	switch {
	case few.total >= minFewSamples && !few.isLowerThan(many):
	case t.limit > t.config.Slots && beyond.busy >= minBusy && beyond.share() >= maxBusyShare:
		t.lower(now, t.config.Slots)
	case all.busy < minBusy || all.share() < 2*maxBusyShare:
	case t.limit == 1:
		t.ignoreBusy(now)
	default:
		limit := min(t.limit, t.config.Slots)
		t.lower(now, min(int(math.Ceil(busyFactor*float64(limit))), limit-1))
	}
}

// ignoreBusy restores the upper limit, because the rejections have another cause than the
// statements in progress.
func (t *track) ignoreBusy(now time.Time) {
	t.limit = t.upperLimit()
	t.trialBase = 0
	t.epochs = nil
	t.busyIgnoredUntil = now.Add(busyIgnoreTime)
}

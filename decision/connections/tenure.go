package connections

import "time"

const (
	// LearnTime is the time within which a home learns that another VM is ranked before it.
	LearnTime = 2 * time.Second
	// ReleaseTime is the time after which a home that has learned that it is not the first one any
	// more has no more connections than its new share.
	ReleaseTime = 2 * time.Second
	// DropTime is the time for which an endpoint counts the connections of a VM that lost power.
	DropTime = 3 * time.Second
	// HoldTime is the time after which the connections of an earlier home have certainly ended, also
	// if it lost power just before it released them.
	HoldTime = LearnTime + ReleaseTime + DropTime
)

// Standing is the place of a VM among the homes of an endpoint.
type Standing struct {
	// Rank is the number of registered VMs that are ranked before this VM and are not leaving. VMs
	// that are only unreachable count: they may still use their connections.
	Rank int
	// Confirmed is true if the other VMs count this VM, too: its registration has certainly not
	// lapsed, or it hears most of its neighbours.
	Confirmed bool
	// Since is a time since which the ranking has certainly been the same.
	Since time.Duration
}

// Tenure tracks since when a VM is, or is not, the first home of an endpoint. All times are readings
// of a clock that advances while the VM is suspended. The zero value is ready to use.
type Tenure struct {
	known, first bool
	rank         int
	// since is when first last changed.
	since time.Duration
	// counted is set if the endpoint has told how many connections others have, and foreign is
	// their number.
	counted bool
	foreign int
}

// Update records the standing at a time, and reports whether the VM has become the first home or
// ceased to be it.
func (t *Tenure) Update(now time.Duration, s Standing) bool {
	first := s.Rank == 0 && s.Confirmed
	changed := t.known && t.first != first
	switch {
	case !t.known:
		t.since = min(s.Since, now)
	case changed:
		t.since = now
		t.counted = false
	}
	t.known = true
	t.first = first
	t.rank = s.Rank
	return changed
}

// Limit returns the number of connections that the home may have open.
func (t *Tenure) Limit(now time.Duration, shares Shares) int {
	switch {
	case !t.first:
		return shares.Of(t.rank)
	case now-t.since >= HoldTime:
		return shares.First
	case t.counted:
		return max(shares.First-t.foreign, shares.Of(1))
	default:
		return shares.Of(1)
	}
}

// MayCount reports whether the endpoint's number of connections tells how many the home may have: an
// earlier home may still have some, but has learned that it may not open more.
func (t *Tenure) MayCount(now time.Duration) bool {
	return t.first && now-t.since >= LearnTime && now-t.since < HoldTime
}

// Count records how many connections of others the endpoint counted after it had been asked at a
// time.
func (t *Tenure) Count(askedAt time.Duration, foreign int) {
	if !t.MayCount(askedAt) || foreign < 0 {
		return
	}
	t.foreign = foreign
	t.counted = true
}

// Declared tracks the connection limit that is declared for an endpoint. Requests of other VMs
// carry the limit of their configuration, which may be older. The zero value is ready to use.
type Declared struct {
	limit    int
	raisedTo int
	// raisedAt is since when all requests have carried a higher limit.
	raisedAt time.Duration
	raising  bool
}

// Update records the limit of a request, and returns the one that applies. A lower limit applies at
// once, and a higher one after all requests have carried it for LearnTime.
func (d *Declared) Update(now time.Duration, limit int) int {
	switch {
	case d.limit == 0 || limit <= d.limit:
		d.limit = limit
		d.raising = false
	case !d.raising:
		d.raising, d.raisedAt, d.raisedTo = true, now, limit
	default:
		d.raisedTo = min(d.raisedTo, limit)
		if now-d.raisedAt >= LearnTime {
			d.limit = d.raisedTo
			d.raising = false
		}
	}
	return d.limit
}

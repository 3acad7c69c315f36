package limits

import "time"

const (
	// ClaimRetention is how long the claim of a VM is kept after its registration has lapsed. A
	// VM that cannot be heard may use its shares for this time, and nobody else may.
	ClaimRetention = 10 * time.Second
	// UnheardClaimRetention is how long it is kept while the leader does not hear most of its
	// neighbours. Most VMs may be lost for good, or may go on without the leader and the store.
	UnheardClaimRetention = 60 * time.Second
)

// Standing is what a VM knows about its right to use its shares of limits. The shares belong to
// the VMs with a claim in the store. A claim outlasts the registration: it is removed only by
// a VM that has seen the registration lapsed for ClaimRetention.
type Standing struct {
	// SinceRegistered is the time since the last moment at which the registration certainly
	// existed, measured with a clock that advances while the VM is suspended.
	SinceRegistered time.Duration
	// RegistrationTTL is the time for which the registration lasted from that moment on.
	RegistrationTTL time.Duration
	// HearsMostNeighbours is true if most of the VMs with which this VM exchanges data have
	// sent a message recently. It would learn from them that its claim has been removed,
	// because the leader hears most of its neighbours, too, when it removes claims.
	HearsMostNeighbours bool
}

// MayUseShares reports whether the claim certainly still exists, or this VM would know if it did
// not.
func (s Standing) MayUseShares() bool {
	return s.HearsMostNeighbours || s.SinceRegistered < s.RegistrationTTL+ClaimRetention
}

// UncertainShare returns the part of a share that a VM uses while it may not use all of it. The
// parts of all VMs together are half of the tolerance by which the limit may be exceeded.
func UncertainShare(share int64, tolerance float64) int64 {
	return int64(float64(share) * min(max(tolerance, 0), 1) / 2)
}

// LapsedClaims tracks for how long the registrations of claims have been lapsed. The zero value
// is empty.
type LapsedClaims struct {
	since map[string]lapse
}

// lapse is a claim without a registration.
type lapse struct {
	// revision is that of the claim; a new claim of the same VM has another one.
	revision uint64
	from     time.Duration
}

// Update records the claims without a registration, with their revisions, as they were read at
// a reading of a clock that advances while the VM is suspended. It returns the VMs whose claims
// may be removed.
func (l *LapsedClaims) Update(now time.Duration, lapsed map[string]uint64, hearsMostNeighbours bool) []string {
	retention := UnheardClaimRetention
	if hearsMostNeighbours {
		retention = ClaimRetention
	}
	var ended []string
	since := make(map[string]lapse, len(lapsed))
	for name, revision := range lapsed {
		current, ok := l.since[name]
		if !ok || current.revision != revision {
			current = lapse{
				revision: revision,
				from:     now,
			}
		}
		since[name] = current
		if now-current.from >= retention {
			ended = append(ended, name)
		}
	}
	l.since = since
	return ended
}

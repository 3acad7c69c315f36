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
// the VMs with a claim in the store. A claim outlasts the registration: the leader removes it
// once it has seen the registration lapsed for ClaimRetention.
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

// minRegistration is the shortest time for which a VM that uses its shares is registered: the TTL
// of a registration.
const minRegistration = 4 * time.Second

// Observation is a current read of the claims and the registrations. The times are readings of
// a clock that advances while the VM is suspended.
type Observation struct {
	RequestedAt, RespondedAt time.Duration
	// Lapsed are the VMs with a claim and without a registration.
	Lapsed []string
	// HearsMostNeighbours is that of Standing, for the VM that reads.
	HearsMostNeighbours bool
}

// LapsedClaims tracks for how long the registrations of claims have been lapsed, as this VM itself
// has read. The zero value is empty.
//
// A new leader does not use what the previous one knew. A registration that comes and lapses again
// leaves no trace in the store, and lasts at least minRegistration. So less than that must have passed
// between the last read of the previous leader and the first one of the new leader. This cannot be
// known, because the two have different clocks, and it is rarely so: the lease of a lost leader ends up
// to 3 s after its last renewal, and its last read may be a second older. Passing the knowledge on
// would also cost a call for each update. A VM that may become the leader counts from its own current
// reads instead. Stale reads do not count: it is not known how old their data is.
type LapsedClaims struct {
	// since is when each registration was certainly lapsed for the first time.
	since       map[string]time.Duration
	requestedAt time.Duration
}

// Update records an observation, and returns the VMs whose claims may be removed. It starts anew
// after a gap in which a VM may have registered and lapsed again.
func (l *LapsedClaims) Update(o Observation) []string {
	retention := UnheardClaimRetention
	if o.HearsMostNeighbours {
		retention = ClaimRetention
	}
	if o.RespondedAt-l.requestedAt >= minRegistration {
		l.since = nil
	}
	var ended []string
	since := make(map[string]time.Duration, len(o.Lapsed))
	for _, name := range o.Lapsed {
		from, ok := l.since[name]
		if !ok {
			from = o.RespondedAt
		}
		since[name] = from
		if o.RequestedAt-from >= retention {
			ended = append(ended, name)
		}
	}
	l.since = since
	l.requestedAt = o.RequestedAt
	return ended
}

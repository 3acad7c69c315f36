package membership

import (
	"net/netip"
)

// PlatformVM is a VM of the platform's list, which may be out of date.
type PlatformVM struct {
	VM         string
	DataCentre string
	Address    netip.AddrPort
	Leaving    bool
}

// Member is the record of one VM. VMs gossip by sending each other these records.
type Member struct {
	VM         string
	DataCentre string
	Address    netip.AddrPort
	// Incarnation increases with each start of the VM's process. It is 0 for a VM that is
	// only known from the platform's list.
	Incarnation uint64
	// Sequence is increased only by the VM itself, to refute a suspicion or to announce
	// that it is leaving.
	Sequence uint64
	State    State
}

// supersedes reports whether m is newer than the known record of the same VM. If the
// incarnation and the sequence are equal, the worse state takes precedence, because only
// the VM itself may return to a better state, and it does so with a higher sequence.
func (m Member) supersedes(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	if m.Sequence != known.Sequence {
		return m.Sequence > known.Sequence
	}
	return m.State > known.State
}

// State is the state of a member. A higher value takes precedence over a lower one with
// the same incarnation and sequence.
type State int

// The states.
const (
	Alive State = iota + 1
	Leaving
	Suspect
	Dead
)

// String returns the state in camel case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return "unspecified"
	}
}

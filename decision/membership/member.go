package membership

import (
	"net/netip"
)

// PlatformVM is one VM of the platform's lagging list.
type PlatformVM struct {
	VM         string
	DataCentre string
	Address    netip.AddrPort
	Leaving    bool
}

// Member is what is known of one VM. It is also the unit of gossip.
type Member struct {
	VM         string
	DataCentre string
	Address    netip.AddrPort
	// Incarnation rises with each start of the VM's process. It is 0 for a VM
	// that is known from the platform's list only.
	Incarnation uint64
	// Sequence is raised by the VM itself to refute a suspicion.
	Sequence uint64
	State    State
}

// supersedes tells whether m is newer than the known record of the same VM. At
// equal incarnation and sequence the worse state wins, because only the VM
// itself may improve its state, which it does with a higher sequence.
func (m Member) supersedes(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	if m.Sequence != known.Sequence {
		return m.Sequence > known.Sequence
	}
	return m.State > known.State
}

// State of a member. The order is that of precedence at equal sequence.
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

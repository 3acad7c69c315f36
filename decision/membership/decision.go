package membership

// Decision is an action that the caller has to take.
type Decision interface {
	decision()
}

// None means that no action is needed.
type None struct{}

// ProbePeer tells the caller to probe a peer, and then to call HandleAck if the peer
// responds and HandleProbeTimeout if it does not.
type ProbePeer struct {
	ID   uint64
	Peer Member
}

// ProbeIndirectly tells the caller to ask other members to probe a peer, and then to
// call HandleAck if one of them got a response, else HandleProbeTimeout.
type ProbeIndirectly struct {
	ID   uint64
	Peer Member
	// Relays are the members that are asked to probe the peer.
	Relays []Member
}

func (None) decision()            {}
func (ProbePeer) decision()       {}
func (ProbeIndirectly) decision() {}

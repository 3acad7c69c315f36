package membership

// Decision is an action that the caller has to take.
type Decision interface {
	decision()
}

// None means that no action is needed.
type None struct{}

// ProbePeer tells the caller to probe a peer, and then to call AnswerReceived if the
// peer responds and ProbeMissed if it does not.
type ProbePeer struct {
	ID   uint64
	Peer Member
}

// ProbeThrough tells the caller to ask other members to probe a peer, and then to call
// AnswerReceived if one of them got a response, else ProbeMissed.
type ProbeThrough struct {
	ID   uint64
	Peer Member
	// Through are the members that are asked to probe the peer.
	Through []Member
}

func (None) decision()         {}
func (ProbePeer) decision()    {}
func (ProbeThrough) decision() {}

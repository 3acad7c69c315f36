package membership

// Decision is what the caller has to do next.
type Decision interface {
	decision()
}

// None asks for nothing.
type None struct{}

// ProbePeer asks to probe a peer and to report AnswerReceived or ProbeMissed.
type ProbePeer struct {
	ID   uint64
	Peer Member
}

// ProbeIndirectly asks to have a peer probed by others, and to report
// AnswerReceived if one of them got an answer, else ProbeMissed.
type ProbeIndirectly struct {
	ID     uint64
	Peer   Member
	Relays []Member
}

func (None) decision()            {}
func (ProbePeer) decision()       {}
func (ProbeIndirectly) decision() {}

package takeover

// Step is the step of a planned replacement that a leader is about to take.
type Step string

const (
	// StepDown means that the leader is about to tell the primary to step down.
	StepDown Step = "stepDown"
	// Promote means that the leader is about to request the promotion of the successor. The
	// request may take effect at any time later, unless one with a higher fencing token did before.
	Promote Step = "promote"
	// Request means that the leader is about to request a promotion outside of a planned replacement:
	// after the loss of a primary, or of the endpoint that leads already, which supersedes the
	// requests before. It may take effect at any time later, too.
	Request Step = "request"
)

// Intent is what a leader records in the store before a step of a planned replacement and before each
// promotion request, so that the next leader can go on with it or supersede it.
type Intent struct {
	// Primary is the ID of the primary that is replaced, and Term the term in which it leads.
	Primary string
	Term    uint64
	Step    Step
	// Successor is the ID of the endpoint to be promoted; set for Promote and Request.
	Successor string
	// Contested is true if an earlier request, for another endpoint than Successor, may still take
	// effect.
	Contested bool
}

// MayBeRequested reports whether a promotion request may take effect while the intent is in the store.
func (i Intent) MayBeRequested() bool { return i.Step != StepDown || i.Contested }

// Report is the response of an endpoint to a status request.
type Report struct {
	Candidate
	// IsPrimary is true if the endpoint is the primary of Term.
	IsPrimary bool
	Term      uint64
	// Restarted is true if the intent names an earlier process of the endpoint, whose log is lost.
	Restarted bool
}

// Resumption is what a leader knows about an intent that it has not carried out.
type Resumption struct {
	Intent Intent
	// Superseded is true if a fencing token was reserved after the intent was written: the
	// promotion that it belongs to may have made another endpoint the primary.
	Superseded bool
	// Reports are the responses of the endpoints that responded.
	Reports []Report
	// KnownReplicas is the number of the database's replicas.
	KnownReplicas int
	SyncReplicas  int
	// MayMissReplicas is true if replicas may exist that KnownReplicas does not count, because the store
	// has not responded for long.
	MayMissReplicas bool
}

// ResumeDecision is what a leader does about an intent: DiscardIntent, ConfirmPrimary, UseRegularRules,
// AwaitSuccessor or PromoteSuccessor.
type ResumeDecision interface{ resumeDecision() }

// DiscardIntent means that the primary has been replaced, so the intent is ignored and removed.
type DiscardIntent struct {
	// Primary is the endpoint that leads; nil if none responded as the primary.
	Primary *Report
}

// ConfirmPrimary means that an endpoint leads although a promotion request for another one may still take
// effect. The promotion of the one that leads is requested, which supersedes that request.
type ConfirmPrimary struct{ Primary Report }

// UseRegularRules means that the primary may still lead or that the endpoint which has to be promoted is
// uncertain, so that Decide applies as if there was no intent.
type UseRegularRules struct{}

// AwaitSuccessor means that the primary has stepped down and no endpoint may succeed it yet. The leader
// waits until ChooseAfterStepDown allows one.
type AwaitSuccessor struct {
	// Primary is the primary that has stepped down, with its whole log.
	Primary Candidate
}

// PromoteSuccessor means that the primary has stepped down and an endpoint is promoted.
type PromoteSuccessor struct{ Successor Candidate }

func (DiscardIntent) resumeDecision()    {}
func (ConfirmPrimary) resumeDecision()   {}
func (UseRegularRules) resumeDecision()  {}
func (AwaitSuccessor) resumeDecision()   {}
func (PromoteSuccessor) resumeDecision() {}

// Decide returns what a leader does about an intent. It promotes an endpoint only if the primary has
// certainly stepped down and responds with its log position, and the endpoint is the one that
// ChooseAfterStepDown allows. If the promotion of an endpoint may have been requested, it promotes no
// other one: that request may take effect first, and the endpoint may then acknowledge commits.
func (r Resumption) Decide() ResumeDecision {
	mayBeRequested := r.Intent.MayBeRequested()
	if r.Superseded || !mayBeRequested && r.isReplaced() {
		return DiscardIntent{Primary: r.Leading()}
	}
	if mayBeRequested {
		if decided := r.decideRequested(); decided != nil {
			return decided
		}
	}
	primary, ok := r.find(r.Intent.Primary)
	if !ok || primary.IsPrimary {
		return UseRegularRules{}
	}
	if r.Intent.Step == Promote {
		successor, ok := r.find(r.Intent.Successor)
		if !ok || !successor.ReceivedPosition.Covers(primary.ReceivedPosition) {
			return UseRegularRules{}
		}
		return PromoteSuccessor{Successor: successor.Candidate}
	}
	if successor, ok := ChooseAfterStepDown(primary.Candidate, r.others(), r.SyncReplicas, false); ok {
		return PromoteSuccessor{Successor: successor}
	}
	return AwaitSuccessor{Primary: primary.Candidate}
}

// decideRequested returns what a leader does while a promotion request may still take effect; nil if a
// planned replacement goes on.
func (r Resumption) decideRequested() ResumeDecision {
	leading := r.Leading()
	switch {
	case leading != nil && r.isCarriedOut(*leading), leading == nil && !r.Intent.Contested && r.isReplaced():
		return DiscardIntent{Primary: leading}
	case leading != nil && r.isPresentPrimary(*leading):
		return ConfirmPrimary{Primary: *leading}
	case leading != nil, r.isReplaced(), r.Intent.Step == Request:
		return UseRegularRules{}
	default:
		return nil
	}
}

// Leading returns the endpoint that leads in the highest term, that of the intent or a later one; nil
// if none does. An earlier primary may not know yet that it was replaced.
func (r Resumption) Leading() *Report {
	var leading *Report
	for i, e := range r.Reports {
		if e.IsPrimary && e.Term >= r.Intent.Term && (leading == nil || e.Term > leading.Term) {
			leading = &r.Reports[i]
		}
	}
	return leading
}

// isCarriedOut reports whether an endpoint leads because of the request of the intent. An endpoint may
// also lead because of an earlier request, while one in between for another endpoint is outstanding.
func (r Resumption) isCarriedOut(leading Report) bool {
	return leading.ID == r.Intent.Successor && leading.Term > r.Intent.Term && !r.Intent.Contested
}

// isPresentPrimary reports whether an endpoint that takes itself for the primary certainly is. Its
// promotion would otherwise drop commits that its successor has acknowledged. No endpoint knows of a later
// term, and either the only other endpoint whose promotion was requested responded, or one that has
// received each acknowledged commit did.
func (r Resumption) isPresentPrimary(leading Report) bool {
	others, successorResponded := 0, false
	for _, e := range r.Reports {
		switch {
		case e.ID == leading.ID:
		case max(e.Term, e.ReceivedPosition.Term) > leading.Term:
			return false
		case !e.Restarted:
			others++
			successorResponded = successorResponded || e.ID == r.Intent.Successor
		}
	}
	return successorResponded && !r.Intent.Contested || !r.MayMissReplicas && CoversAcknowledgedCommits(others, r.KnownReplicas, r.SyncReplicas)
}

// isReplaced reports whether an endpoint leads, or has written to the log, in a later term than that
// of the primary of the intent.
func (r Resumption) isReplaced() bool {
	for _, e := range r.Reports {
		if (e.IsPrimary && e.Term > r.Intent.Term) || e.ReceivedPosition.Term > r.Intent.Term {
			return true
		}
	}
	return false
}

// find returns the report of an endpoint that the intent names; false if this process of the
// endpoint did not respond.
func (r Resumption) find(id string) (Report, bool) {
	for _, e := range r.Reports {
		if e.ID == id && !e.Restarted {
			return e, true
		}
	}
	return Report{}, false
}

// others returns the endpoints that may succeed the primary. One that takes itself for the primary
// of an earlier term does not follow the log.
func (r Resumption) others() []Candidate {
	var others []Candidate
	for _, e := range r.Reports {
		if e.ID != r.Intent.Primary && !e.IsPrimary && !e.Evacuated {
			others = append(others, e.Candidate)
		}
	}
	return others
}

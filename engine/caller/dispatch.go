package caller

import (
	"context"
	"errors"
	"time"

	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/decision/placement"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/view"
)

const (
	// callMargin is added to a statement's time for the trip to its home and back
	// between regions.
	callMargin = 100 * time.Millisecond
	// retryPause before the next look for a primary, if nothing changed meanwhile.
	retryPause = 40 * time.Millisecond
	// maxHomes to try for one endpoint, before it counts as unreachable.
	maxHomes = 3
	// holdShare of a statement's time for which it may wait for a primary.
	holdShare = 0.8
	// minRemaining time that is worth sending a statement.
	minRemaining = 20 * time.Millisecond
)

// dispatch finds an endpoint and a home for one statement.
type dispatch struct {
	session  *Session
	admitted admission
	request  *peer.RunRequest
	started  time.Time
	deadline time.Time

	endpoint catalog.Endpoint
	home     catalog.VM
	passed   map[string]bool
	// atPrimary is set once a read cannot be served by a replica.
	atPrimary bool
	last      *refusal.Error
}

func (s *Session) dispatch(a admission, request *peer.RunRequest, started time.Time) *dispatch {
	return &dispatch{
		session:  s,
		admitted: a,
		request:  request,
		started:  started,
		deadline: started.Add(timeoutOf(a.route)),
	}
}

// run tries until the statement has an answer that stands, or its time is over.
func (d *dispatch) run(ctx context.Context) *peer.RunResponse {
	for {
		changed := d.session.sessions.config.View.Changed()
		target, ok := d.choose()
		if !ok {
			if refused := d.wait(ctx, changed); refused != nil {
				return &peer.RunResponse{Refused: refused}
			}
			continue
		}
		ran, final := d.try(ctx, target)
		if final {
			return ran
		}
		d.last = ran.Refused
		if d.remaining() < minRemaining || ctx.Err() != nil {
			return ran
		}
		if ran.Refused.Reason == refusal.NotPrimary || (ran.Refused.Reason == refusal.Unreachable && d.needsPrimary()) {
			if refused := d.wait(ctx, changed); refused != nil {
				return &peer.RunResponse{Refused: refused}
			}
		}
	}
}

// wait for a change of the view, while the statement's time allows. It returns why
// the statement is refused otherwise.
func (d *dispatch) wait(ctx context.Context, changed <-chan struct{}) *refusal.Error {
	t := d.session.sessions.config.Timer
	held := time.Duration(holdShare * float64(d.deadline.Sub(d.started)))
	if t.Now().Sub(d.started) >= held {
		if d.last != nil && d.last.Outcome == refusal.NotRun {
			return refusal.NewNotRun(refusal.NoPrimary, "no primary could serve the statement: "+d.last.Message)
		}
		return refusal.NewNotRun(refusal.NoPrimary, "no primary of the database is known")
	}
	pause := t.After(retryPause)
	defer pause.Stop()
	select {
	case <-pause.C():
	case <-changed:
	case <-ctx.Done():
		return refusal.NewNotRun(refusal.DeadlineExceeded, "the request ended while it waited for a primary")
	}
	return nil
}

func (d *dispatch) remaining() time.Duration {
	return d.deadline.Sub(d.session.sessions.config.Timer.Now())
}

// needsPrimary tells whether only the primary may serve the statement.
func (d *dispatch) needsPrimary() bool {
	t := d.session.transaction
	switch {
	case d.request.Write || d.atPrimary || d.admitted.route.Kind == catalog.PrimaryReads:
		return true
	case t != nil:
		return !t.readOnly
	default:
		return false
	}
}

// choose picks an endpoint and sets how the statement runs there.
func (d *dispatch) choose() (catalog.Endpoint, bool) {
	d.request.After = logpos.Position{}
	d.request.Fenced = false
	d.request.ReadOnly = false
	if !d.needsPrimary() {
		if target, ok := d.chooseReplica(); ok {
			d.request.ReadOnly = d.request.Step == peer.StepFirst
			return target, true
		}
	}
	target, ok := d.session.sessions.config.View.Primary(d.admitted.database.Name)
	d.request.Fenced = d.request.Step == peer.StepSingle && !d.request.Write
	return target, ok
}

// chooseReplica picks any endpoint, also the primary, that is expected to hold the
// position which makes the read fresh enough.
func (d *dispatch) chooseReplica() (catalog.Endpoint, bool) {
	v := d.session.sessions.config.View
	name := d.admitted.database.Name
	required, ok := v.RequiredPosition(name, d.admitted.route.MaxStaleness)
	d.session.sessions.refresh(name, d.admitted.route.MaxStaleness)
	if !ok {
		return catalog.Endpoint{}, false
	}
	if d.admitted.route.Kind == catalog.ReadYourWrites {
		required = logpos.Max(required, d.session.position)
	}
	from := placement.Location{
		DataCentre: v.Self().DataCentre,
		Region:     v.Self().Region,
	}
	id, ok := placement.Choose(from, required, v.Candidates(name, d.passed))
	if !ok {
		return catalog.Endpoint{}, false
	}
	d.request.After = required
	return v.Endpoints().ByID[id], true
}

// try runs the statement at an endpoint. It returns true if the answer stands.
func (d *dispatch) try(ctx context.Context, target catalog.Endpoint) (*peer.RunResponse, bool) {
	v := d.session.sessions.config.View
	v.BeginStatement(target)
	began, asked := v.SinceBoot(), d.session.sessions.config.Timer.Now()
	ran := d.throughHomes(ctx, target)
	outcome := view.StatementOutcome{
		QueueWait:     ran.ExpectedWait,
		Position:      ran.Position,
		ProvedPrimary: ran.ProvedPrimary,
	}
	if ran.Refused == nil {
		outcome.Duration = d.session.sessions.config.Timer.Now().Sub(asked)
		v.EndStatement(target, outcome)
		if ran.ProvedPrimary {
			v.AddSample(d.admitted.database.Name, began, ran.Position)
		}
		d.endpoint = target
		return ran, true
	}
	final := true
	switch ran.Refused.Reason {
	case refusal.NotPrimary:
		outcome.NotPrimary = true
		final = false
	case refusal.ReplicaBehind:
		outcome.MissingPosition = d.request.After
		final = false
	case refusal.Unreachable:
		outcome.Unreachable = true
		final = ran.Refused.Outcome != refusal.NotRun
	case refusal.Overloaded, refusal.QueueTimeout, refusal.DeadlineTooShort:
		final = d.needsPrimary() || len(d.passed) > 0
	case refusal.OutcomeNotKnown, refusal.DeadlineExceeded:
		final = d.request.Write || d.request.Step == peer.StepFirst
	}
	v.EndStatement(target, outcome)
	if !final {
		d.session.sessions.config.Log.V(1).Info("Trying a statement again.", "request", d.request.ID, "database", target.Database,
			"endpoint", target.Key.ID, "home", d.home.Name, "reason", ran.Refused.Reason, "message", ran.Refused.Message,
			"after", d.request.After.String(), "remaining", d.remaining().String())
	}
	if !final && !d.needsPrimary() {
		d.pass(target)
	}
	return ran, final
}

// pass leaves an endpoint out of the further tries of this statement.
func (d *dispatch) pass(target catalog.Endpoint) {
	if d.passed == nil {
		d.passed = map[string]bool{}
	}
	d.passed[target.Key.ID] = true
	if len(d.session.sessions.config.View.Candidates(d.admitted.database.Name, d.passed)) == 0 {
		d.atPrimary = true
	}
}

// throughHomes runs the statement at the first home that takes it.
func (d *dispatch) throughHomes(ctx context.Context, target catalog.Endpoint) *peer.RunResponse {
	homes := d.session.sessions.config.View.Homes(target)
	var last *peer.RunResponse
	for _, home := range homes[:min(len(homes), maxHomes)] {
		d.request.Endpoint = target.Key.ID
		d.request.Timeout = d.remaining()
		if d.request.Timeout < minRemaining {
			break
		}
		ran, err := d.session.sessions.call(ctx, home, d.request)
		d.home = home
		d.session.tried = attempt{
			endpoint: target.Key.ID,
			home:     home.Name,
		}
		switch {
		case errors.Is(err, peer.ErrUnreachable):
			last = &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Unreachable, "the home of the endpoint is not reachable")}
			continue
		case err != nil && d.request.Write && d.request.Step == peer.StepSingle:
			return &peer.RunResponse{Refused: refusal.NewUnknown(refusal.OutcomeNotKnown, "the home was lost before it answered the write")}
		case err != nil && d.request.Step == peer.StepFirst:
			// The statement may have run, so it must not run again in another transaction.
			return &peer.RunResponse{Refused: lostStep(d.request, err)}
		case err != nil:
			last = &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Unreachable, "the home was lost before it answered")}
			continue
		case ran.Refused != nil && ran.Refused.Outcome == refusal.NotRun &&
			(ran.Refused.Reason == refusal.Unreachable || ran.Refused.Reason == refusal.NotReady):
			last = ran
			continue
		}
		return ran
	}
	if last == nil {
		last = &peer.RunResponse{Refused: refusal.NewNotRun(refusal.QueueTimeout, "the statement's time is over")}
	}
	return last
}

// call runs a request at a home, which may be this VM.
func (s *SessionManager) call(ctx context.Context, home catalog.VM, request *peer.RunRequest) (*peer.RunResponse, error) {
	if home.Name == s.config.View.Self().Name {
		return s.config.Home.Run(ctx, request), nil
	}
	ran := &peer.RunResponse{}
	if err := s.config.Peers.Call(ctx, home, "Run", request, ran, request.Timeout+callMargin); err != nil {
		return nil, err
	}
	return ran, nil
}

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
	// networkMargin is added to a statement's timeout for the round trip to a home in
	// another region.
	networkMargin = 100 * time.Millisecond
	// retryInterval is how often to look for a primary again if the view of the fleet
	// does not change in the meantime.
	retryInterval = 40 * time.Millisecond
	// maxHomesPerEndpoint is the number of homes to try for one endpoint before it
	// counts as unreachable.
	maxHomesPerEndpoint = 3
	// primaryWaitShare is the fraction of a statement's timeout that it may spend waiting
	// for a primary.
	primaryWaitShare = 0.8
	// minSendTimeout is the least remaining time with which a statement is still sent.
	minSendTimeout = 20 * time.Millisecond
)

// dispatch routes one statement to an endpoint through one of the endpoint's homes.
type dispatch struct {
	session  *Session
	auth     authorization
	request  *peer.RunRequest
	started  time.Time
	deadline time.Time

	endpoint catalog.Endpoint
	home     catalog.VM
	// excluded holds the ids of the endpoints that this statement does not try again.
	excluded map[string]bool
	// primaryOnly is set once no replica is left that could serve the read.
	primaryOnly bool
	// failure is the refusal of the latest attempt that may have run and was followed by a retry; nil
	// if there was none.
	failure *refusal.Error
	// failedReadRetried is set once the read was sent again after an error of the endpoint.
	failedReadRetried bool
	// paused is set once the statement has waited between two attempts.
	paused bool
	// overloads is the number of full endpoints after which the read was sent to another one.
	overloads   int
	lastRefusal *refusal.Error
}

func (s *Session) newDispatch(auth authorization, request *peer.RunRequest, started time.Time) *dispatch {
	s.manager.retryBudgets.CountRequest(auth.workspace)
	return &dispatch{
		session:  s,
		auth:     auth,
		request:  request,
		started:  started,
		deadline: started.Add(statementTimeout(auth.route)),
	}
}

// run returns the result of the statement. If an endpoint may have run a read, and the retry did not
// run, the result is the first attempt's refusal: a refusal as not run would be wrong.
func (d *dispatch) run(ctx context.Context) *peer.RunResponse {
	result := d.runAttempts(ctx)
	if d.failure != nil && result.Refused != nil && result.Refused.Outcome == refusal.NotRun {
		return &peer.RunResponse{Refused: d.failure}
	}
	return result
}

// runAttempts retries until the statement has a final result or its deadline is too close for
// another attempt.
func (d *dispatch) runAttempts(ctx context.Context) *peer.RunResponse {
	for {
		changed := d.session.manager.config.View.Changed()
		if refused := d.refusePlace(); refused != nil {
			return &peer.RunResponse{Refused: refused}
		}
		target, ok := d.chooseEndpoint()
		if !ok {
			if refused := d.waitForPrimary(ctx, changed); refused != nil {
				return &peer.RunResponse{Refused: refused}
			}
			continue
		}
		// A read for which no replica can be chosen goes to the primary again and again, so that it has to
		// pause there, too.
		askedBefore := d.excluded[target.Key.ID]
		if askedBefore && isOverload(d.lastRefusal) {
			return &peer.RunResponse{Refused: d.lastRefusal}
		}
		result, final := d.tryEndpoint(ctx, target)
		if final {
			return result
		}
		d.lastRefusal = result.Refused
		if d.remaining() < minSendTimeout || ctx.Err() != nil {
			return result
		}
		if askedBefore || d.pausesAfter(result.Refused.Reason) {
			if refused := d.waitForPrimary(ctx, changed); refused != nil {
				return &peer.RunResponse{Refused: refused}
			}
			d.paused = true
		}
	}
}

// pausesAfter reports whether the statement waits for a change of the fleet before its next attempt.
func (d *dispatch) pausesAfter(reason refusal.Reason) bool {
	switch reason {
	case refusal.NotPrimary, refusal.DataCentreEvacuated:
		return true
	case refusal.Unreachable, refusal.NotReady:
		return d.needsPrimary()
	default:
		return false
	}
}

// waitForPrimary waits until the view of the fleet has changed or a retry is due. It
// returns a refusal if the statement may not wait any longer.
func (d *dispatch) waitForPrimary(ctx context.Context, changed <-chan struct{}) *refusal.Error {
	t := d.session.manager.config.Timer
	maxWait := time.Duration(primaryWaitShare * float64(d.deadline.Sub(d.started)))
	if t.Now().Sub(d.started) >= maxWait {
		return d.noPrimaryRefusal()
	}
	pause := t.After(retryInterval)
	defer pause.Stop()
	select {
	case <-pause.C():
	case <-changed:
	case <-ctx.Done():
		return refusal.NewNotRun(refusal.DeadlineExceeded, "the request was cancelled while it waited for a primary")
	}
	return nil
}

// noPrimaryRefusal returns the refusal of a statement for which no primary could be used in time.
func (d *dispatch) noPrimaryRefusal() *refusal.Error {
	if d.lastRefusal != nil && d.lastRefusal.Outcome == refusal.NotRun {
		return refusal.NewNotRun(refusal.NoPrimary, "no primary could serve the statement: "+d.lastRefusal.Message)
	}
	return refusal.NewNotRun(refusal.NoPrimary, "no primary of the database is known")
}

// remaining returns the time until the statement's deadline.
func (d *dispatch) remaining() time.Duration {
	return d.deadline.Sub(d.session.manager.config.Timer.Now())
}

// needsPrimary reports whether only the primary may serve the statement.
func (d *dispatch) needsPrimary() bool {
	t := d.session.transaction
	switch {
	case d.request.Write || d.primaryOnly || d.auth.route.Kind == catalog.PrimaryReads:
		return true
	case t != nil:
		return !t.readOnly
	default:
		return false
	}
}

// chooseEndpoint picks an endpoint and sets the fields of the request that depend on
// it. It returns false if there is no suitable endpoint.
func (d *dispatch) chooseEndpoint() (catalog.Endpoint, bool) {
	d.request.After = logpos.Position{}
	d.request.Fenced = false
	d.request.ReadOnly = false
	d.request.Alternatives = false
	if !d.needsPrimary() {
		if target, ok := d.chooseReplica(); ok {
			d.request.ReadOnly = d.request.Step == peer.StepFirst
			return target, true
		}
	}
	target, ok := d.session.manager.config.View.Primary(d.auth.database.Name)
	d.request.Fenced = d.request.Step == peer.StepSingle && !d.request.Write
	return target, ok && d.mayUsePrimary(target)
}

// chooseReplica picks an endpoint, which may be the primary, whose log is expected to
// have reached the position that the read's staleness bound requires.
func (d *dispatch) chooseReplica() (catalog.Endpoint, bool) {
	v := d.session.manager.config.View
	name := d.auth.database.Name
	required, ok := v.RequiredPosition(name, d.auth.route.MaxStaleness)
	d.session.manager.refreshSample(name, d.auth.route.MaxStaleness)
	if !ok {
		return catalog.Endpoint{}, false
	}
	if d.auth.route.Kind == catalog.ReadYourWrites {
		required = logpos.Max(required, d.session.position)
	}
	from := placement.Location{
		DataCentre: v.Self().DataCentre,
		Region:     v.Self().Region,
	}
	candidates := d.session.manager.applyClassWaits(d.request.Priority, d.candidates())
	id, ok := placement.Choose(from, required, candidates)
	if !ok {
		return catalog.Endpoint{}, false
	}
	d.request.Alternatives = len(candidates) > 1
	d.request.After = required
	return v.Endpoints().ByID[id], true
}

// tryEndpoint runs the statement at an endpoint. It returns true if the result is
// final, and false if the statement may be retried.
func (d *dispatch) tryEndpoint(ctx context.Context, target catalog.Endpoint) (*peer.RunResponse, bool) {
	v := d.session.manager.config.View
	v.BeginStatement(target)
	beganBoot, sentAt := v.SinceBoot(), d.session.manager.config.Timer.Now()
	result := d.tryHomes(ctx, target)
	v.RecordCapacity(target, d.request.Priority, result.Report)
	outcome := view.StatementOutcome{
		QueueWait:     result.ExpectedWait,
		BudgetWait:    result.Report.BudgetWait,
		Position:      result.Position,
		ProvedPrimary: result.ProvedPrimary,
		Ejected:       result.Report.Ejected,
	}
	d.session.manager.recordClassWait(d.request, result)
	if result.Refused == nil {
		outcome.Duration = d.session.manager.config.Timer.Now().Sub(sentAt)
		v.EndStatement(target, outcome)
		if result.ProvedPrimary {
			v.AddSample(d.auth.database.Name, beganBoot, result.Position)
		}
		d.endpoint = target
		return result, true
	}
	switch result.Refused.Reason {
	case refusal.NotPrimary:
		outcome.NotPrimary = true
	case refusal.ReplicaBehind:
		outcome.MissingPosition = d.request.After
	case refusal.Unreachable:
		outcome.Unreachable = true
	}
	final := d.isFinal(ctx, target, result)
	v.EndStatement(target, outcome)
	if !final {
		d.session.manager.config.Log.V(1).Info("Trying a statement again.", "request", d.request.ID, "database", target.Database,
			"endpoint", target.Key.ID, "home", d.home.Name, "reason", result.Refused.Reason, "message", result.Refused.Message,
			"after", d.request.After.String(), "remaining", d.remaining().String())
	}
	if !final && !d.needsPrimary() {
		d.exclude(target)
	}
	return result, final
}

// isFinal reports whether a refusal ends the statement, because another attempt could repeat its
// effect or would have the same result.
func (d *dispatch) isFinal(ctx context.Context, target catalog.Endpoint, result *peer.RunResponse) bool {
	switch result.Refused.Reason {
	case refusal.NotPrimary, refusal.ReplicaBehind, refusal.EndpointEjected:
		return false
	case refusal.StatementFailed:
		return !d.mayRetryFailedRead(ctx, result.Refused)
	case refusal.Unreachable:
		return result.Refused.Outcome != refusal.NotRun
	case refusal.DataCentreEvacuated:
		// The home learned of the evacuation first.
		return !d.isRead()
	case refusal.Overloaded, refusal.QueueTimeout, refusal.DeadlineTooShort:
		return d.needsPrimary() || !d.mayRetryOverloaded(target, result)
	case refusal.NotReady:
		return !isBudgetRefusal(result)
	case refusal.OutcomeNotKnown, refusal.DeadlineExceeded:
		return d.request.Write || d.request.Step == peer.StepFirst || !d.mayRetryLostRead(ctx, result.Refused)
	default:
		return true
	}
}

// isBudgetRefusal reports whether a statement was refused because the endpoint is cold: its home
// has no budget left, or the VMs that were asked do not take themselves for its home.
func isBudgetRefusal(result *peer.RunResponse) bool {
	return result.Report.BudgetWait > 0 && result.Refused.Outcome == refusal.NotRun
}

// exclude leaves an endpoint out of the further attempts of this statement.
func (d *dispatch) exclude(target catalog.Endpoint) {
	if d.excluded == nil {
		d.excluded = map[string]bool{}
	}
	d.excluded[target.Key.ID] = true
	if len(d.candidates()) == 0 {
		d.primaryOnly = true
	}
}

// tryHomes sends the statement to the endpoint's homes in the order of their rank,
// until one accepts it.
func (d *dispatch) tryHomes(ctx context.Context, target catalog.Endpoint) *peer.RunResponse {
	var lastResult *peer.RunResponse
	for _, home := range d.homes(target) {
		d.request.Endpoint = target.Key.ID
		d.request.Timeout = d.remaining()
		d.request.Target = d.session.remainingTarget(d.auth, d.started)
		if d.request.Timeout < minSendTimeout || ctx.Err() != nil {
			break
		}
		result, err := d.session.manager.callHome(ctx, home, d.request)
		d.home = home
		d.session.lastAttempt = attempt{
			endpoint: target.Key.ID,
			home:     home.Name,
		}
		switch {
		case errors.Is(err, peer.ErrUnreachable):
			lastResult = &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Unreachable, "the endpoint's home VM is not reachable")}
			continue
		case err != nil && d.request.Write && d.request.Step == peer.StepSingle:
			return &peer.RunResponse{Refused: refusal.NewUnknown(refusal.OutcomeNotKnown, "the endpoint's home VM did not respond to the write")}
		case err != nil && d.request.Step == peer.StepFirst:
			// The statement may have run, so it must not be repeated in another transaction.
			return &peer.RunResponse{Refused: lostStepRefusal(d.request, err)}
		case err != nil:
			lost := refusal.NewUnknown(refusal.DeadlineExceeded, "the endpoint's home VM did not respond to the read")
			if !d.mayRetryLostRead(ctx, lost) {
				return &peer.RunResponse{Refused: lost}
			}
			lastResult = &peer.RunResponse{Refused: refusal.NewNotRun(refusal.Unreachable, "the endpoint's home VM did not respond")}
			continue
		case result.Refused != nil && result.Refused.Outcome == refusal.NotRun &&
			(result.Refused.Reason == refusal.Unreachable || result.Refused.Reason == refusal.NotReady):
			lastResult = result
			continue
		}
		return result
	}
	switch {
	case lastResult != nil:
		return lastResult
	case d.paused:
		// The time limit ended in a pause between two attempts, for example because this VM was
		// slow. The earlier attempts tell why the statement was not served.
		return &peer.RunResponse{Refused: d.noPrimaryRefusal()}
	default:
		return &peer.RunResponse{Refused: refusal.NewNotRun(refusal.QueueTimeout, "the statement timed out before it could be sent")}
	}
}

// callHome runs a request at a home, which may be this VM.
func (s *SessionManager) callHome(ctx context.Context, home catalog.VM, request *peer.RunRequest) (*peer.RunResponse, error) {
	if home.Name == s.config.View.Self().Name {
		return s.config.Home.Run(ctx, request), nil
	}
	result := &peer.RunResponse{}
	request.SentAt = s.config.View.SinceBoot()
	if err := s.config.Peers.Call(ctx, home, "Run", request, result, request.Timeout+networkMargin); err != nil {
		return nil, err
	}
	return result, nil
}

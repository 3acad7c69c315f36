package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	peerv1 "amaranthdock.dev/api/amaranthdock/peer/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/proxy/peer"
	"amaranthdock.dev/timer"
)

const (
	// The delay between attempts grows from initialRetryDelay to maxRetryDelay. Both
	// are short compared with a failover, which stops writes for about 2 s and for
	// which retries wait.
	initialRetryDelay = 10 * time.Millisecond
	maxRetryDelay     = 100 * time.Millisecond
	// The remaining time divided by responseMarginDivisor, but at most
	// maxResponseMargin, is reserved for the transfer of the response from the home, so
	// that the home's own refusal arrives before this VM gives up. maxResponseMargin is
	// the round trip time between regions.
	responseMarginDivisor = 10
	maxResponseMargin     = 40 * time.Millisecond
)

// dispatch is the state of sending one step to the home of an endpoint, with retries.
type dispatch struct {
	*request
	database  string
	forward   *peerv1.ForwardRequest
	read      bool
	freshness routing.FreshnessRequirement
	send      peer.SendRows
	// forwarder receives the step, and views provides the views for its route. An
	// explanation of a route replaces both.
	forwarder Forwarder
	views     *viewCache

	// rowsSent is set once rows have been sent to the caller.
	rowsSent bool
	excluded map[string]bool
	// lastEndpoint, lastTerm and lastVM are the endpoint, the term and the home of the
	// last attempt.
	lastEndpoint string
	lastTerm     uint64
	retryDelay   time.Duration
	// homeNotReached is set if the last attempt did not reach a home of the endpoint. A
	// retry then adds no load to the endpoint and needs no retry budget.
	homeNotReached bool
	// useFallbackHome is set if the step goes to the fallback home of the endpoint.
	useFallbackHome bool
	lastVM          string
}

// newStepDispatch returns the dispatch of a step.
func (c *Caller) newStepDispatch(r *request, database string, forward *peerv1.ForwardRequest, send peer.SendRows) *dispatch {
	return &dispatch{
		request:    r,
		database:   database,
		forward:    forward,
		send:       send,
		forwarder:  c.config.Forwarder,
		views:      c.views,
		excluded:   map[string]bool{},
		retryDelay: initialRetryDelay,
	}
}

// run sends the step. It retries with newer views until the deadline if the step
// certainly was not run or may be run twice. The result is never nil.
func (c *Caller) run(ctx context.Context, d *dispatch) *peerv1.ForwardResult {
	view := d.views.getOrRefresh(ctx, d.snapshot, d.database)
	// Stop retrying early enough for the refusal to reach the caller.
	retryCtx, cancel := timer.WithTimeout(ctx, c.config.Timer, c.remainingTime(d))
	defer cancel()
	for {
		result, redirect := c.attempt(ctx, d, view)
		if !d.mayRetry(result) {
			return result
		}
		if redirect {
			view = d.views.getOrRefresh(ctx, d.snapshot, d.database)
			continue
		}
		var ok bool
		if view, ok = c.waitForRoute(retryCtx, d); !ok {
			return result
		}
	}
}

// attempt sends the step once if the view has a route for it. It returns true for
// redirect if there is another route that should be tried without a delay.
func (c *Caller) attempt(ctx context.Context, d *dispatch, view routing.DatabaseView) (result *peerv1.ForwardResult, redirect bool) {
	switch route := c.route(d, view).(type) {
	case routing.SendTo:
		result = c.sendToEndpoint(ctx, d, route)
		d.lastEndpoint, d.lastTerm = route.Endpoint, view.Term
		return result, c.prepareRetry(d, route, result)
	case routing.NoRoute:
		return peer.EncodeRefusal(refusal.NewNotRun(route.Reason, "no endpoint can serve the statement now")), false
	default:
		return peer.EncodeRefusal(refusal.NewNotRun(refusal.Internal, "unknown routing decision")), false
	}
}

// waitForRoute waits, with increasing delays, until a view has a route for a retry. It
// returns false at the deadline. A new route, for example after a failover, is used
// immediately. A retry on the same route adds load to an endpoint in trouble, so it
// must be covered by the retry budget.
func (c *Caller) waitForRoute(ctx context.Context, d *dispatch) (routing.DatabaseView, bool) {
	for {
		delay := d.retryDelay/2 + rand.N(d.retryDelay/2)
		d.retryDelay = min(2*d.retryDelay, maxRetryDelay)
		if timer.Sleep(ctx, c.config.Timer, delay) != nil {
			return routing.DatabaseView{}, false
		}
		view, hasRoute, needsBudget := c.retryRoute(ctx, d)
		if hasRoute && (!needsBudget || c.config.RetryBudget.TakeRetry(d.subject)) {
			return view, true
		}
	}
}

// retryRoute refreshes the view for a retry and reports whether the view has a route, and
// whether a retry on it must be covered by the retry budget.
func (c *Caller) retryRoute(ctx context.Context, d *dispatch) (view routing.DatabaseView, hasRoute, needsBudget bool) {
	clear(d.excluded)
	view = d.views.refresh(ctx, d.snapshot, d.database)
	to, ok := c.route(d, view).(routing.SendTo)
	if !ok {
		return view, false, false
	}
	newRoute := to.Endpoint != d.lastEndpoint || view.Term != d.lastTerm
	return view, true, !newRoute && !d.homeNotReached
}

// route returns the routing decision for the step.
func (c *Caller) route(d *dispatch, view routing.DatabaseView) routing.Route {
	if !d.read {
		return routing.RouteWrite(view, d.declaredEndpoints())
	}
	return routing.RouteRead(c.readInput(d, view))
}

// explainRoute returns a verdict on each endpoint under the routing decision for the step.
func (c *Caller) explainRoute(d *dispatch, view routing.DatabaseView) []routing.Verdict {
	var verdicts []routing.Verdict
	if d.read {
		_, verdicts = routing.ExplainRead(c.readInput(d, view))
	} else {
		_, verdicts = routing.ExplainWrite(view, d.declaredEndpoints())
	}
	return verdicts
}

// readInput returns the input of the routing decision for a read.
func (c *Caller) readInput(d *dispatch, view routing.DatabaseView) routing.ReadInput {
	self := c.config.Directory.Self()
	return routing.ReadInput{
		View:                 view,
		Endpoints:            d.declaredEndpoints(),
		DataCentre:           self.DataCentre,
		Region:               self.Region,
		FreshnessRequirement: d.freshness,
		ExcludedEndpoints:    d.excluded,
	}
}

// declaredEndpoints returns the declared endpoints of the step's database.
func (d *dispatch) declaredEndpoints() []routing.DeclaredEndpoint {
	declared, ok := d.snapshot.Database(d.database)
	if !ok {
		return nil
	}
	endpoints := make([]routing.DeclaredEndpoint, 0, len(declared.Endpoints))
	for _, e := range declared.Endpoints {
		endpoints = append(endpoints, routing.DeclaredEndpoint{
			ID:         e.Name,
			DataCentre: e.DataCentre,
			Region:     d.snapshot.RegionOf(e.DataCentre),
			Leaving:    e.Leaving,
		})
	}
	return endpoints
}

// sendToEndpoint sends the step once to the home of an endpoint.
func (c *Caller) sendToEndpoint(ctx context.Context, d *dispatch, to routing.SendTo) *peerv1.ForwardResult {
	if to.Endpoint != d.lastEndpoint {
		// A different endpoint may have a different home, not known to have failed.
		d.useFallbackHome = false
	}
	vm, ok := c.homeVM(d, to.Endpoint)
	if !ok {
		return peer.EncodeRefusal(refusal.NewNotRun(refusal.Unreachable, "no live VM is known"))
	}
	d.forward.Endpoint = to.Endpoint
	return c.forward(ctx, vm, d)
}

// forward sends the step to a VM with the timeout that remains for it.
func (c *Caller) forward(ctx context.Context, vm string, d *dispatch) *peerv1.ForwardResult {
	timeout := c.remainingTime(d)
	if ctx.Err() != nil || timeout < minTimeout {
		return peer.EncodeRefusal(refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline passed before the step was sent"))
	}
	d.lastVM = vm
	d.forward.Timeout = durationpb.New(timeout)
	result := d.forwarder.Forward(ctx, vm, d.forward, func(rows []*callerv1.Row) error {
		d.rowsSent = true
		return d.send(rows)
	})
	if result.GetView() != nil {
		d.views.update(peer.DecodeView(result.GetView()))
	}
	return result
}

// remainingTime returns the time until the deadline minus the margin for the response.
func (c *Caller) remainingTime(d *dispatch) time.Duration {
	remaining := d.deadline.Sub(c.config.Timer.Now())
	return remaining - min(remaining/responseMarginDivisor, maxResponseMargin)
}

// homeVM returns the VM to use as the home of an endpoint: the first home, or the
// fallback home if d.useFallbackHome is set.
func (c *Caller) homeVM(d *dispatch, endpoint string) (string, bool) {
	declared, ok := d.snapshot.Endpoint(endpoint)
	if !ok {
		return "", false
	}
	live := c.config.Directory.Live()
	region := d.snapshot.RegionOf(declared.DataCentre)
	first, ok := c.homes.FirstHome(endpoint, declared.DataCentre, region, live)
	if !ok || !d.useFallbackHome {
		return first.Name, ok
	}
	if fallback, ok := c.homes.FallbackHome(endpoint, declared.DataCentre, region, live); ok {
		return fallback.Name, true
	}
	return first.Name, true
}

// mayRetry reports whether the step may be sent again. A read has no effects, so it may
// be sent again as long as no rows were sent to the caller.
func (d *dispatch) mayRetry(result *peerv1.ForwardResult) bool {
	refused := peer.DecodeRefusal(result)
	if refused == nil || d.rowsSent {
		return false
	}
	if refused.Reason == refusal.ConnectionLost {
		return d.read || d.forward.GetIdempotent() || refused.Outcome == refusal.NotRun
	}
	if refused.Outcome != refusal.NotRun {
		return false
	}
	switch refused.Reason {
	case refusal.EndpointLeaving, refusal.NoPrimary, refusal.NotHome, refusal.NotPrimary, refusal.NotReady,
		refusal.ReplicaBehind, refusal.ReplicationStalled, refusal.Unreachable:
		return true
	default:
		return false
	}
}

// prepareRetry changes the route of the next attempt. It returns true if the next
// attempt needs no delay: another endpoint in place of a replica that refused a read
// or, once, the fallback home in place of a first home that did not respond. A step
// that may have been run is sent to the same home again, which knows its outcome.
func (c *Caller) prepareRetry(d *dispatch, to routing.SendTo, result *peerv1.ForwardResult) bool {
	refused := peer.DecodeRefusal(result)
	d.homeNotReached = false
	if refused == nil || refused.Outcome != refusal.NotRun {
		return false
	}
	if to.Role == routing.RoleReplica {
		d.excluded[to.Endpoint] = true
		return true
	}
	if refused.Reason != refusal.NotHome && refused.Reason != refusal.Unreachable {
		return false
	}
	d.useFallbackHome = !d.useFallbackHome
	// A home that responds includes its view of the database.
	noResponse := result.GetView() == nil
	d.homeNotReached = noResponse || refused.Reason == refusal.NotHome
	return noResponse && d.useFallbackHome && d.retryDelay == initialRetryDelay
}

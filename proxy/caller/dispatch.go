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
	// The pauses between tries grow from firstPause to maxPause, which is small
	// beside the write gap of about 2 s that tries wait for.
	firstPause = 10 * time.Millisecond
	maxPause   = 100 * time.Millisecond
	// answerMargin of the remaining time is kept for the answer's way back, so
	// that the home's own refusal arrives before the entry gives up; at most the
	// round trip between regions.
	answerMargin    = 10
	maxAnswerMargin = 40 * time.Millisecond
)

// dispatch is a step on its way to the home of an endpoint.
type dispatch struct {
	*request
	database  string
	forward   *peerv1.ForwardRequest
	read      bool
	freshness routing.FreshnessRequirement
	send      peer.SendRows

	// delivered is set once rows have reached the caller.
	delivered bool
	excluded  map[string]bool
	// lastEndpoint and lastTerm tell where the step was sent last, and vm to
	// which home.
	lastEndpoint string
	lastTerm     uint64
	pause        time.Duration
	// unused tells that the last try reached no home of the endpoint, so that
	// another one adds no load to the endpoint and needs no budget.
	unused bool
	// second sends to the second-ranked home.
	second bool
	vm     string
}

// run sends the step and tries again, with newer views, on proof that it was not
// run, until the deadline. The result is never nil.
func (c *Caller) run(ctx context.Context, d *dispatch) *peerv1.ForwardResult {
	d.excluded = map[string]bool{}
	d.pause = firstPause
	view := c.views.get(ctx, d.snapshot, d.database)
	// Another try is given up early enough for the refusal to reach the caller.
	waiting, cancel := timer.WithTimeout(ctx, c.config.Timer, c.timeLeft(d))
	defer cancel()
	for {
		result, redirect := c.try(ctx, d, view)
		if !d.mayRetry(result) {
			return result
		}
		if redirect {
			view = c.views.get(ctx, d.snapshot, d.database)
			continue
		}
		var ok bool
		if view, ok = c.nextView(waiting, d); !ok {
			return result
		}
	}
}

// try sends the step once, if the view has a route for it.
func (c *Caller) try(ctx context.Context, d *dispatch, view routing.DatabaseView) (result *peerv1.ForwardResult, redirect bool) {
	switch route := c.route(d, view).(type) {
	case routing.SendTo:
		result = c.sendTo(ctx, d, route)
		d.lastEndpoint, d.lastTerm = route.Endpoint, view.Term
		return result, c.prepareRetry(d, route, result)
	case routing.NoRoute:
		return peer.EncodeRefusal(refusal.NewNotRun(route.Reason, "no endpoint can take the statement now")), false
	default:
		return peer.EncodeRefusal(refusal.NewNotRun(refusal.Internal, "no route")), false
	}
}

// nextView pauses until a view has a route that is worth another try; false at
// the deadline. A route that the step has not taken yet, as after a failover, is
// taken at once. Another try on the same route adds load where something is
// wrong, so it needs the budget.
func (c *Caller) nextView(ctx context.Context, d *dispatch) (routing.DatabaseView, bool) {
	for {
		pause := d.pause/2 + rand.N(d.pause/2)
		d.pause = min(2*d.pause, maxPause)
		if timer.Sleep(ctx, c.config.Timer, pause) != nil {
			return routing.DatabaseView{}, false
		}
		clear(d.excluded)
		view := c.views.refresh(ctx, d.snapshot, d.database)
		to, ok := c.route(d, view).(routing.SendTo)
		if !ok {
			continue
		}
		other := to.Endpoint != d.lastEndpoint || view.Term != d.lastTerm
		if other || d.unused || c.config.RetryBudget.Retry(d.subject) {
			return view, true
		}
	}
}

func (c *Caller) route(d *dispatch, view routing.DatabaseView) routing.Route {
	sites := d.sites()
	if !d.read {
		return routing.RouteWrite(view, sites)
	}
	self := c.config.Directory.Self()
	return routing.RouteRead(routing.ReadInput{
		View:                 view,
		Endpoints:            sites,
		DataCentre:           self.DataCentre,
		Region:               self.Region,
		FreshnessRequirement: d.freshness,
		Excluded:             d.excluded,
	})
}

func (d *dispatch) sites() []routing.DeclaredEndpoint {
	declared, ok := d.snapshot.Database(d.database)
	if !ok {
		return nil
	}
	sites := make([]routing.DeclaredEndpoint, 0, len(declared.Endpoints))
	for _, e := range declared.Endpoints {
		sites = append(sites, routing.DeclaredEndpoint{
			ID:         e.Name,
			DataCentre: e.DataCentre,
			Region:     d.snapshot.RegionOf(e.DataCentre),
			Leaving:    e.Leaving,
		})
	}
	return sites
}

// sendTo forwards the step to the home of an endpoint once.
func (c *Caller) sendTo(ctx context.Context, d *dispatch, to routing.SendTo) *peerv1.ForwardResult {
	if to.Endpoint != d.lastEndpoint {
		// Another endpoint has another home, of which nothing is known to be wrong.
		d.second = false
	}
	vm, ok := c.home(d, to.Endpoint)
	if !ok {
		return peer.EncodeRefusal(refusal.NewNotRun(refusal.Unreachable, "no live VM is known"))
	}
	d.forward.Endpoint = to.Endpoint
	return c.forward(ctx, vm, d)
}

// forward sends the step to a VM with the time that it has there.
func (c *Caller) forward(ctx context.Context, vm string, d *dispatch) *peerv1.ForwardResult {
	timeout := c.timeLeft(d)
	if ctx.Err() != nil || timeout < minTimeout {
		return peer.EncodeRefusal(refusal.NewNotRun(refusal.DeadlineExceeded, "the deadline passed before the step was sent"))
	}
	d.vm = vm
	d.forward.Timeout = durationpb.New(timeout)
	result := c.config.Forwarder.Forward(ctx, vm, d.forward, func(rows []*callerv1.Row) error {
		d.delivered = true
		return d.send(rows)
	})
	if result.GetView() != nil {
		c.views.learn(peer.DecodeView(result.GetView()))
	}
	return result
}

// timeLeft is the time until the deadline less a margin for the way back.
func (c *Caller) timeLeft(d *dispatch) time.Duration {
	remaining := d.deadline.Sub(c.config.Timer.Now())
	return remaining - min(remaining/answerMargin, maxAnswerMargin)
}

// home returns the first or the second rank for an endpoint.
func (c *Caller) home(d *dispatch, endpoint string) (string, bool) {
	declared, ok := d.snapshot.Endpoint(endpoint)
	if !ok {
		return "", false
	}
	live := c.config.Directory.Live()
	region := d.snapshot.RegionOf(declared.DataCentre)
	first, ok := c.homes.FirstHome(endpoint, declared.DataCentre, region, live)
	if !ok || !d.second {
		return first.Name, ok
	}
	if second, ok := c.homes.FallbackHome(endpoint, declared.DataCentre, region, live); ok {
		return second.Name, true
	}
	return first.Name, true
}

// mayRetry tells whether the step may be sent again. Reads have no effect, so
// that they may be sent again as long as the caller has no rows.
func (d *dispatch) mayRetry(result *peerv1.ForwardResult) bool {
	refused := peer.DecodeRefusal(result)
	if refused == nil || d.delivered {
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

// prepareRetry chooses another way for the next try. It returns true if that way
// is open at once: the primary instead of a replica that refused a read, or,
// once, the second rank instead of a home that is gone. A step that may have been
// run stays with its home, which knows what became of it.
func (c *Caller) prepareRetry(d *dispatch, to routing.SendTo, result *peerv1.ForwardResult) bool {
	refused := peer.DecodeRefusal(result)
	d.unused = false
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
	d.second = !d.second
	// A home that answers sends its view along.
	isGone := result.GetView() == nil
	d.unused = isGone || refused.Reason == refusal.NotHome
	return isGone && d.second && d.pause == firstPause
}

package failover

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/peer"
	"amaranthdock.dev/engine/store"
	"amaranthdock.dev/timer"
)

const (
	// promoteCallTimeout bounds the wait for the response to a promotion request.
	promoteCallTimeout = 800 * time.Millisecond
	// maxTokenAttempts is the number of attempts to reserve a fencing token.
	maxTokenAttempts = 3
	// catchUpTimeout is how long a handover waits for a replica that has received the whole
	// log of the primary that stepped down.
	catchUpTimeout = 1500 * time.Millisecond
	// pollInterval is the time between two status queries while waiting for a replica to
	// catch up or for a promotion to take effect.
	pollInterval = 40 * time.Millisecond
	// promotionTimeout is how long to wait for a promotion to take effect, which takes up
	// to a second.
	promotionTimeout = 1600 * time.Millisecond
)

// replacePrimary promotes the reachable endpoint that has received most of the log.
func (p *Part) replacePrimary(ctx context.Context, name string, old catalog.Endpoint, cause string) {
	candidates := p.candidates(ctx, name, old)
	replicas, syncReplicas := p.knownReplicas(name, old), p.syncReplicas(name)
	chosen, ok := takeover.Choose(candidates)
	if !ok || !takeover.Enough(len(candidates), replicas, syncReplicas) {
		p.config.Log.Info("Too few endpoints responded to promote one safely.", "database", name, "cause", cause, "answered", len(candidates), "replicas", replicas,
			"syncReplicas", syncReplicas)
		return
	}
	p.promote(ctx, name, chosen, cause)
}

// handOver makes a draining primary step down, so that it acknowledges no more commits,
// waits until another endpoint has received its whole log, and promotes that one. After
// catchUpTimeout it promotes the endpoint that has received most.
func (p *Part) handOver(ctx context.Context, name string, old catalog.Endpoint) {
	if len(p.candidates(ctx, name, old)) == 0 {
		p.config.Log.Info("No endpoint is available to replace a draining primary.", "database", name, "endpoint", old.Key.ID)
		return
	}
	before, err := p.config.Prober.Ask(ctx, old, endpoint.Status{})
	if err != nil {
		p.config.Log.Info("Could not read the term of a draining primary.", "database", name, "endpoint", old.Key.ID, "error", err.Error())
		return
	}
	after, err := p.config.Prober.Ask(ctx, old, endpoint.StepDown{Term: max(before.Term, before.TermHeld) + 1})
	if err != nil {
		p.config.Log.Info("A draining primary did not confirm that it stepped down.", "database", name, "endpoint", old.Key.ID, "error", err.Error())
		p.replacePrimary(ctx, name, old, "the draining primary may have stepped down")
		return
	}
	p.config.View.Promoted(name, "", false)
	deadline := p.config.Timer.Now().Add(catchUpTimeout)
	for {
		chosen, ok := takeover.Choose(p.candidates(ctx, name, old))
		caughtUp := ok && chosen.Received.Covers(after.Received)
		if caughtUp || !p.config.Timer.Now().Before(deadline) {
			if !ok {
				p.config.Log.Info("No endpoint responded in time to be promoted after the primary stepped down.", "database", name)
				return
			}
			p.config.Log.Info("A draining primary stepped down.", "database", name, "endpoint", old.Key.ID, "position", after.Received.String(),
				"successor", chosen.ID, "received", chosen.Received.String(), "complete", caughtUp)
			p.promote(ctx, name, chosen, "the primary is draining")
			return
		}
		if err := timer.Sleep(ctx, p.config.Timer, pollInterval); err != nil {
			return
		}
	}
}

// syncReplicas returns how many replicas must confirm a commit of the database before it
// is acknowledged.
func (p *Part) syncReplicas(name string) int {
	c := p.config.View.Configuration()
	if c == nil {
		return 0
	}
	return c.Databases[name].SyncReplicas
}

// candidates queries the log positions of all members except the old primary. Draining
// members are included only if the database has synchronous replicas, since a draining
// one may be the only endpoint that holds an acknowledged commit.
func (p *Part) candidates(ctx context.Context, name string, old catalog.Endpoint) []takeover.Candidate {
	var (
		mu         sync.Mutex
		candidates []takeover.Candidate
		probes     sync.WaitGroup
	)
	syncReplicas := p.syncReplicas(name)
	for _, e := range p.config.View.Members(name) {
		if e.Key == old.Key || (e.Draining && syncReplicas == 0) {
			continue
		}
		probes.Go(func() {
			report, err := p.config.Prober.Ask(ctx, e, endpoint.Status{})
			if err != nil {
				p.config.Log.Info("Could not read an endpoint's log position.", "database", name, "endpoint", e.Key.ID, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			candidates = append(candidates, takeover.Candidate{
				ID:       e.Key.ID,
				Received: report.Received,
				Near:     p.config.View.Region(e.DataCentre) == p.config.View.Region(old.DataCentre),
			})
		})
	}
	probes.Wait()
	return candidates
}

// promote requests a promotion, announces it to the fleet, and waits until the endpoint is
// the primary.
func (p *Part) promote(ctx context.Context, name string, chosen takeover.Candidate, cause string) {
	token, err := p.nextFencingToken(ctx, name)
	if err != nil {
		p.config.Log.Info("Could not reserve a fencing token for a promotion.", "database", name, "error", err.Error())
		return
	}
	if !p.Leads() {
		p.config.Log.Info("The failover lease expired before a promotion was requested.", "database", name)
		return
	}
	p.mu.Lock()
	p.databaseState(name).promotionRequestedAt = p.config.Timer.Boot()
	p.mu.Unlock()
	p.promotionRequests.Inc(1)
	child, cancel := timer.WithTimeout(ctx, p.config.Timer, promoteCallTimeout)
	defer cancel()
	err = p.config.Orders.Promote(child, name, chosen.ID, p.config.View.Self().Name, token)
	p.config.Log.Info("Requested a promotion.", "database", name, "endpoint", chosen.ID, "received", chosen.Received.String(), "number", token,
		"cause", cause, "error", errorText(err))
	p.broadcastPromotion(name, chosen.ID, false)
	p.awaitPromotion(ctx, name, chosen.ID)
}

// awaitPromotion waits until the endpoint reports that it is the primary, and announces
// that to the fleet.
func (p *Part) awaitPromotion(ctx context.Context, name, id string) {
	deadline := p.config.Timer.Now().Add(promotionTimeout)
	for p.config.Timer.Now().Before(deadline) {
		target, ok := p.config.View.Endpoints().ByID[id]
		if !ok {
			return
		}
		report, err := p.config.Prober.Ask(ctx, target, endpoint.Status{})
		if err == nil && report.Role == catalog.RolePrimary {
			p.config.Log.Info("A promotion took effect.", "database", name, "endpoint", id, "term", report.Term)
			p.broadcastPromotion(name, id, true)
			return
		}
		if err := timer.Sleep(ctx, p.config.Timer, pollInterval); err != nil {
			return
		}
	}
	p.config.Log.Info("A promotion did not take effect before the timeout.", "database", name, "endpoint", id)
}

// broadcastPromotion announces to all VMs that a promotion was requested or, with leads
// set, that it took effect.
func (p *Part) broadcastPromotion(name, id string, leads bool) {
	promotion := &peer.Promotion{
		Database: name,
		Endpoint: id,
		Leads:    leads,
	}
	p.Promoted(promotion)
	for _, vm := range p.config.View.Peers() {
		go func() {
			if err := p.config.Links.Call(context.Background(), vm, "Promoted", promotion, &peer.Nothing{}, peerCallTimeout); err != nil {
				p.config.Log.Info("Could not announce a promotion to a VM.", "peer", vm.Name, "database", name, "error", err.Error())
			}
		}()
	}
}

// nextFencingToken reserves the next fencing token for promotions in the database. The
// write is conditional on the leader's key, so it fails once another VM is the leader.
func (p *Part) nextFencingToken(ctx context.Context, name string) (uint64, error) {
	key := store.OrderPrefix + name
	var lastErr error
	for range maxTokenAttempts {
		item, found, err := p.config.Store.Get(ctx, key)
		if err != nil {
			lastErr = err
			continue
		}
		token := uint64(1)
		if found {
			lastToken, err := strconv.ParseUint(string(item.Value), 10, 64)
			if err != nil {
				return 0, eris.Wrapf(err, "parse the last fencing token under %q", key)
			}
			token = lastToken + 1
		}
		_, err = p.config.Store.Commit(ctx, store.Change{
			Conditions: []store.Condition{
				{
					Key:      key,
					Revision: item.Revision,
				},
				{
					Key:      store.LeaderKey,
					Revision: p.currentLeadership().revision,
				},
			},
			Writes: []store.Write{{
				Key:   key,
				Value: []byte(strconv.FormatUint(token, 10)),
			}},
		})
		if err == nil {
			return token, nil
		}
		lastErr = err
	}
	return 0, eris.Wrap(lastErr, "reserve a fencing token")
}

// isEndpointError tells whether the endpoint itself replied with an error.
func isEndpointError(err error) bool {
	var replyError *endpoint.ReplyError
	return errors.As(err, &replyError)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

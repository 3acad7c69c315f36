package failover

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/evacuation"
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
	// catchUpTimeout is how long a switchover waits for a replica that has received the whole
	// log of the primary that stepped down.
	catchUpTimeout = 1500 * time.Millisecond
	// switchoverRetryDelay is the delay after no endpoint could take over from a draining
	// primary.
	switchoverRetryDelay = 400 * time.Millisecond
	// pollInterval is the time between two status queries while waiting for a replica to
	// catch up or for a promotion to take effect.
	pollInterval = 40 * time.Millisecond
	// promotionTimeout is how long to wait for a promotion to take effect, which takes up
	// to a second.
	promotionTimeout = 1600 * time.Millisecond
)

// replacePrimary promotes the responding endpoint that may succeed a lost primary. It promotes
// none if too few endpoints respond to be sure that one of them has received each acknowledged
// commit.
func (m *Manager) replacePrimary(ctx context.Context, name string, old catalog.Endpoint, cause string) {
	candidates := m.candidates(ctx, name, old)
	replicas, syncReplicas := m.knownReplicas(name, old), m.syncReplicas(name)
	chosen, ok := takeover.ChooseAfterLoss(candidates, replicas, syncReplicas)
	if !ok {
		m.config.Log.Info("Too few endpoints responded to promote one safely.", "database", name, "cause", cause, "answered", len(candidates), "replicas", replicas,
			"syncReplicas", syncReplicas)
		return
	}
	m.promote(ctx, name, chosen, cause)
}

// switchOver makes a draining primary step down, so that it acknowledges no more commits,
// waits until another endpoint has received its whole log, and promotes that one. If none has
// within catchUpTimeout, takeover.ChooseAfterStepDown decides. It does nothing while no other
// endpoint can take over.
func (m *Manager) switchOver(ctx context.Context, name string, old catalog.Endpoint) {
	before, err := m.config.Prober.RunControlCommand(ctx, old, endpoint.Status{})
	if err != nil {
		m.config.Log.Info("Could not read the term of a primary to be replaced.", "database", name, "endpoint", old.Key.ID, "cause", m.switchoverCause(old),
			"error", err.Error())
		m.suspectEvacuated(old)
		return
	}
	m.handOver(ctx, name, old, before, m.switchoverCause(old))
}

// handOver is switchOver for a primary whose report is known. It reports whether the primary was
// told to step down.
func (m *Manager) handOver(ctx context.Context, name string, old catalog.Endpoint, before *endpoint.Report, cause string) bool {
	log := m.config.Log.WithValues("database", name, "endpoint", old.Key.ID, "cause", cause)
	if !takeover.MayStepDown(m.candidate(old, before, old), m.candidates(ctx, name, old), m.syncReplicas(name)) {
		log.Info("No endpoint can take over from a primary to be replaced yet.")
		m.postponeSwitchover(name)
		return false
	}
	after, err := m.config.Prober.RunControlCommand(ctx, old, endpoint.StepDown{Term: max(before.Term, before.FencedTerm) + 1})
	if err != nil {
		log.Info("A primary to be replaced did not confirm that it stepped down.", "error", err.Error())
		m.replacePrimary(ctx, name, old, "the primary may have stepped down")
		return true
	}
	m.config.View.RecordPromotion(name, "", false)
	deadline := m.config.Timer.Now().Add(catchUpTimeout)
	for {
		timeOver := !m.config.Timer.Now().Before(deadline)
		chosen, ok := takeover.ChooseAfterStepDown(m.candidate(old, after, old), m.candidates(ctx, name, old), m.syncReplicas(name), timeOver)
		if ok {
			log.Info("A primary stepped down.", "position", after.ReceivedPosition.String(), "successor", chosen.ID,
				"received", chosen.ReceivedPosition.String(), "complete", chosen.ReceivedPosition.Covers(after.ReceivedPosition))
			m.promote(ctx, name, chosen, cause)
			return true
		}
		if timeOver {
			log.Info("No endpoint has received the whole log of an evacuated primary yet.")
			return true
		}
		if err := timer.Sleep(ctx, m.config.Timer, pollInterval); err != nil {
			return true
		}
	}
}

// postponeSwitchover delays the next attempt to replace a draining primary.
func (m *Manager) postponeSwitchover(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.databaseState(name).switchoverAfter = m.config.Timer.SinceBoot() + switchoverRetryDelay
}

// syncReplicas returns how many replicas must confirm a commit of the database before it
// is acknowledged.
func (m *Manager) syncReplicas(name string) int {
	c := m.config.View.Configuration()
	if c == nil {
		return 0
	}
	return c.Databases[name].SyncReplicas
}

// candidates queries the log positions of all members except the old primary and those in
// evacuated data centres.
func (m *Manager) candidates(ctx context.Context, name string, old catalog.Endpoint) []takeover.Candidate {
	var (
		mu         sync.Mutex
		candidates []takeover.Candidate
		probes     sync.WaitGroup
	)
	for _, e := range m.config.View.Members(name) {
		if e.Key == old.Key || m.config.View.Access(e) != evacuation.Open {
			continue
		}
		probes.Go(func() {
			report, err := m.config.Prober.RunControlCommand(ctx, e, endpoint.Status{})
			if err != nil {
				m.config.Log.Info("Could not read an endpoint's log position.", "database", name, "endpoint", e.Key.ID, "error", err.Error())
				return
			}
			mu.Lock()
			defer mu.Unlock()
			candidates = append(candidates, m.candidate(e, report, old))
		})
	}
	probes.Wait()
	return candidates
}

// candidate returns an endpoint as a candidate to succeed the old primary.
func (m *Manager) candidate(e catalog.Endpoint, report *endpoint.Report, old catalog.Endpoint) takeover.Candidate {
	return takeover.Candidate{
		ID:               e.Key.ID,
		ReceivedPosition: report.ReceivedPosition,
		Draining:         e.Draining,
		Evacuated:        m.config.View.Access(e) != evacuation.Open,
		AllowingRoutes:   m.allowingRoutes(e),
		SameRegion:       m.config.View.Region(e.DataCentre) == m.config.View.Region(old.DataCentre),
	}
}

// promote requests a promotion, announces it to the fleet, and waits until the endpoint is
// the primary.
func (m *Manager) promote(ctx context.Context, name string, chosen takeover.Candidate, cause string) {
	token, err := m.nextFencingToken(ctx, name)
	if err != nil {
		m.config.Log.Info("Could not reserve a fencing token for a promotion.", "database", name, "error", err.Error())
		return
	}
	if !m.IsLeader() {
		m.config.Log.Info("The failover lease expired before a promotion was requested.", "database", name)
		return
	}
	m.mu.Lock()
	m.databaseState(name).promotionRequestedAt = m.config.Timer.SinceBoot()
	m.mu.Unlock()
	m.promotionRequests.Inc(1)
	child, cancel := timer.WithTimeout(ctx, m.config.Timer, promoteCallTimeout)
	defer cancel()
	err = m.config.Promoter.Promote(child, name, chosen.ID, m.config.View.Self().Name, token)
	m.config.Log.Info("Requested a promotion.", "database", name, "endpoint", chosen.ID, "received", chosen.ReceivedPosition.String(), "number", token,
		"cause", cause, "error", errorText(err))
	m.broadcastPromotion(name, chosen.ID, false)
	m.awaitPromotion(ctx, name, chosen.ID)
}

// awaitPromotion waits until the endpoint reports that it is the primary, and announces
// that to the fleet.
func (m *Manager) awaitPromotion(ctx context.Context, name, id string) {
	deadline := m.config.Timer.Now().Add(promotionTimeout)
	for m.config.Timer.Now().Before(deadline) {
		target, ok := m.config.View.Endpoints().ByID[id]
		if !ok {
			return
		}
		report, err := m.config.Prober.RunControlCommand(ctx, target, endpoint.Status{})
		if err == nil && report.Role == catalog.RolePrimary {
			m.config.Log.Info("A promotion took effect.", "database", name, "endpoint", id, "term", report.Term)
			m.broadcastPromotion(name, id, true)
			return
		}
		if err := timer.Sleep(ctx, m.config.Timer, pollInterval); err != nil {
			return
		}
	}
	m.config.Log.Info("A promotion did not take effect before the timeout.", "database", name, "endpoint", id)
}

// broadcastPromotion announces to all VMs that a promotion was requested or, with leads
// set, that it took effect.
func (m *Manager) broadcastPromotion(name, id string, leads bool) {
	promotion := &peer.PromotionNotice{
		Database: name,
		Endpoint: id,
		Leads:    leads,
	}
	m.ApplyPromotion(promotion)
	for _, vm := range m.config.View.Peers() {
		go func() {
			if err := m.config.Clients.Call(context.Background(), vm, "Promoted", promotion, &peer.Empty{}, peerCallTimeout); err != nil {
				m.config.Log.Info("Could not announce a promotion to a VM.", "peer", vm.Name, "database", name, "error", err.Error())
			}
		}()
	}
}

// nextFencingToken reserves the next fencing token for promotions in the database. The
// write is conditional on the leader's key, so it fails once another VM is the leader.
func (m *Manager) nextFencingToken(ctx context.Context, name string) (uint64, error) {
	key := store.FencingTokenPrefix + name
	var lastErr error
	for range maxTokenAttempts {
		item, found, err := m.config.Store.Get(ctx, key)
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
		_, err = m.config.Store.Commit(ctx, store.Change{
			Conditions: []store.Condition{
				{
					Key:      key,
					Revision: item.Revision,
				},
				{
					Key:      store.LeaderKey,
					Revision: m.currentLeadership().revision,
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

// isEndpointError reports whether the endpoint itself replied with an error.
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

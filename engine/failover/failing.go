package failover

import (
	"context"
	"time"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/decision/takeover"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/endpoint"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/engine/peer"
)

// maxStatusAttempts is how often the status of a failing primary is requested: it may fail that
// request, too.
const maxStatusAttempts = 3

// causeFailing is the cause of a planned replacement of a failing primary, also in its intent.
const causeFailing = "the primary fails many of its statements"

// ReportFailing records that a primary fails many of its statements although it responds, and
// notifies the leader. Endpoints that are not the primary of their database are ignored.
func (m *Manager) ReportFailing(target catalog.Endpoint) {
	primary, ok := m.config.View.Primary(target.Database)
	if !ok || primary.Key != target.Key {
		return
	}
	m.RecordFailing(target, m.config.View.Self().Name)
	m.notifyLeader(&peer.Suspicion{
		From:    m.config.View.Self().Name,
		Target:  target,
		Failing: true,
	})
}

// RecordFailing records that a VM, the home of a primary, has seen it fail many of its statements.
func (m *Manager) RecordFailing(target catalog.Endpoint, reporter string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.databaseState(target.Database)
	d.failingKey = target.Key
	d.failingReporter = reporter
	d.failingAt = m.config.Timer.SinceBoot()
}

// ServesWell reports whether an endpoint of which this VM is the home serves its statements.
func (m *Manager) ServesWell(target catalog.Endpoint) bool {
	return m.config.Prober.ServesWell(target)
}

// replaceFailing replaces a primary that fails many of its statements, like one that is draining.
// A second VM must confirm that another endpoint of the database serves its statements:
// otherwise the fault may lie in the statements. A primary that does not respond to the status
// requests either may be alive and acknowledge commits that no successor has, so other VMs have to
// confirm that it is lost.
func (m *Manager) replaceFailing(ctx context.Context, name string, primary catalog.Endpoint) {
	if !m.anotherServesWell(ctx, name, primary) {
		m.config.Log.Info("A primary fails many statements, but no other endpoint is known to serve them.", "database", name, "endpoint", primary.Key.ID)
		m.postponeSwitchover(name)
		return
	}
	m.config.Log.Info("Replacing a primary that fails many of its statements.", "database", name, "endpoint", primary.Key.ID)
	previous := m.setFailingReplacedAt(name, m.config.Timer.SinceBoot())
	for range maxStatusAttempts {
		report, err := m.config.Prober.RunControlCommand(ctx, primary, endpoint.Status{})
		if err == nil {
			if !m.handOver(ctx, name, primary, report, causeFailing) {
				m.setFailingReplacedAt(name, previous)
			}
			return
		}
		m.config.Log.Info("Could not read the status of a failing primary.", "database", name, "endpoint", primary.Key.ID, "error", err.Error())
	}
	if !m.verify(ctx, name, primary) {
		m.setFailingReplacedAt(name, previous)
		m.postponeSwitchover(name)
	}
}

// setFailingReplacedAt sets when a failing primary of a database was last replaced, and returns the
// time that was set before.
func (m *Manager) setFailingReplacedAt(name string, at time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.databaseState(name)
	previous := d.failingReplacedAt
	d.failingReplacedAt = at
	return previous
}

// anotherServesWell reports whether the home of another endpoint of the database, which could
// succeed the primary, confirms that this endpoint serves its statements. The VM that reported
// the primary does not count: the fault may lie between this VM and the primary.
func (m *Manager) anotherServesWell(ctx context.Context, name string, primary catalog.Endpoint) bool {
	m.mu.Lock()
	reporter := m.databaseState(name).failingReporter
	m.mu.Unlock()
	for _, e := range m.config.View.Members(name) {
		if e.Key == primary.Key || e.Draining || m.config.View.Access(e) != evacuation.Open {
			continue
		}
		home := m.config.View.Homes(e, 1)[0]
		if home.Name == reporter {
			continue
		}
		if home.Name == m.config.View.Self().Name {
			if m.ServesWell(e) {
				return true
			}
			continue
		}
		var response peer.ConfirmResponse
		request := &peer.Suspicion{
			From:    m.config.View.Self().Name,
			Target:  e,
			Failing: true,
		}
		if err := m.config.Clients.Call(ctx, home, "Confirm", request, &response, peerCallTimeout); err == nil && response.Reached {
			return true
		}
	}
	return false
}

// isFailing reports whether the primary was recently reported as failing, and no primary of the
// database was replaced for that reason a short time ago. The caller holds the lock.
func (d *databaseState) isFailing(primary catalog.Endpoint, now time.Duration) bool {
	cooledDown := d.failingReplacedAt == 0 || now-d.failingReplacedAt >= takeover.FailingPrimaryCooldown
	return d.failingKey == primary.Key && now-d.failingAt < takeover.SuspicionTTL && cooledDown && now >= d.switchoverAfter
}

// notifyLeader sends a suspicion to the leader, unless this VM is the leader.
func (m *Manager) notifyLeader(request *peer.Suspicion) {
	vms := m.config.View.VMs()
	leader, ok := vms.ByName[vms.Leader]
	if !ok || leader.Name == m.config.View.Self().Name {
		return
	}
	go func() {
		defer guard.Recover(m.config.Log, "suspicion")
		if err := m.config.Clients.Call(context.Background(), leader, "Suspect", request, &peer.Empty{}, peerCallTimeout); err != nil {
			m.config.Log.Info("Could not report a primary to the leader.", "peer", leader.Name, "endpoint", request.Target.Key.ID, "error", err.Error())
		}
	}()
}

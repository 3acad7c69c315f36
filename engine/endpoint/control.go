package endpoint

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/decision/evacuation"
	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/guard"
	"amaranthdock.dev/timer"
)

const (
	// ControlTimeout is the timeout of a control command. A busy endpoint gets a free slot
	// within this time, because its home leaves hardly any statements waiting there.
	ControlTimeout = 400 * time.Millisecond
	// controlWorkspace is the workspace name of connections that serve no caller.
	controlWorkspace = "-"
)

// RunControlCommand runs Status or StepDown at an endpoint and returns its report. It
// opens a separate connection, because it must work when all pooled connections are in
// use or have stopped responding. Commands to one endpoint run one after another, so that
// this VM has at most one connection beyond its limit.
func (h *Home) RunControlCommand(ctx context.Context, target catalog.Endpoint, command Command) (*Report, error) {
	end, err := h.beginControl(ctx, target)
	if err != nil {
		return nil, err
	}
	defer end()
	dialContext, cancel := timer.WithTimeout(ctx, h.config.Timer, ControlTimeout)
	defer cancel()
	c, err := h.config.Dialer.Dial(dialContext, target, controlWorkspace)
	if err != nil {
		return nil, err
	}
	// The next command opens its connection only when this one has ended.
	defer c.End(endTimeout)
	replies, err := c.Run(ControlTimeout, []Command{command})
	if err != nil {
		return nil, err
	}
	if problem := replies[0].Err; problem != nil {
		return nil, problem
	}
	if replies[0].Report == nil {
		return nil, eris.Errorf("the response of endpoint %s contains no report", target.Key.ID)
	}
	return replies[0].Report, nil
}

// beginControl waits until no other control command of this VM runs at the endpoint, and counts the
// connection of the command if the limit of this home has room for it. Otherwise it is one of
// connections.Shares.Control. The returned function ends that.
func (h *Home) beginControl(ctx context.Context, target catalog.Endpoint) (func(), error) {
	h.mu.Lock()
	turn, ok := h.control[target.Key.ID]
	if !ok {
		turn = make(chan struct{}, 1)
		h.control[target.Key.ID] = turn
	}
	client := h.clients[target.Key]
	h.mu.Unlock()
	timeout := h.config.Timer.After(ControlTimeout)
	defer timeout.Stop()
	select {
	case turn <- struct{}{}:
	case <-timeout.C():
		return nil, eris.Errorf("another control command is running at endpoint %s", target.Key.ID)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	counted := client != nil && client.countControl()
	return func() {
		if counted {
			client.uncountControl()
		}
		<-turn
	}, nil
}

// countControl counts a connection that does not belong to the pool, and returns false if the limit
// has no room.
func (e *endpointClient) countControl() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open+e.countedClosing() >= e.limit {
		return false
	}
	e.open++
	return true
}

func (e *endpointClient) uncountControl() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open--
}

// takeNeedsMore reports whether connections were needed beyond the limit since the last call.
func (e *endpointClient) takeNeedsMore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	needsMore := e.needsMore
	e.needsMore = false
	return needsMore
}

// statusOnIdle returns the endpoint's report on an unused connection; nil if there is none or it fails.
func (h *Home) statusOnIdle(client *endpointClient) *Report {
	c := client.takeAnyIdle()
	if c == nil {
		return nil
	}
	report, err := c.status()
	client.put(c, err == nil)
	return report
}

// status returns the endpoint's report; nil if it refuses the command.
func (p *pooledConnection) status() (*Report, error) {
	replies, err := p.Run(ControlTimeout, []Command{Status{}})
	if err != nil || replies[0].Err != nil {
		return nil, err
	}
	return replies[0].Report, nil
}

// countConnections asks an endpoint how many connections it has, on an unused connection or else on a
// separate one, and updates the limit: connections of an earlier home that have ended may be opened here.
func (h *Home) countConnections(client *endpointClient) {
	defer guard.Recover(h.config.Log, "count of connections")
	if h.config.access(client.target) == evacuation.Closed {
		return
	}
	askedAt, own := h.config.Timer.SinceBoot(), client.establishedConnections()
	report := h.statusOnIdle(client)
	if report == nil {
		var err error
		if report, err = h.RunControlCommand(context.Background(), client.target, Status{}); err != nil {
			return
		}
	}
	// Connections that were opened or closed meanwhile must not make the others seem fewer.
	own = min(own, client.establishedConnections())
	counted := report.Connections
	h.mu.Lock()
	if tenure, ok := h.tenures[client.target.Key.ID]; ok {
		tenure.Count(askedAt, counted-own)
	}
	h.mu.Unlock()
	h.limitConnections(client, 0)
	h.config.Log.V(1).Info("Counted the connections at an endpoint.", "endpoint", client.target.Key.ID, "database", client.target.Database,
		"counted", counted, "own", own)
}

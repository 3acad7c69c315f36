package endpoint

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/timer"
)

const (
	// ControlTimeout for the report of an endpoint, long enough for a slot of a busy one: its
	// home keeps hardly any statement waiting there.
	ControlTimeout = 400 * time.Millisecond
	// controlWorkspace under which connections without a caller are opened.
	controlWorkspace = "-"
)

// RunControlCommand runs Status or StepDown at an endpoint, on a connection
// of its own, because it must work when all others are in use or have gone silent.
func (h *Home) RunControlCommand(ctx context.Context, target catalog.Endpoint, command Command) (*Report, error) {
	child, cancel := timer.WithTimeout(ctx, h.config.Timer, ControlTimeout)
	defer cancel()
	c, err := h.config.Dialer.Dial(child, target, controlWorkspace)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	replies, err := c.Run(ControlTimeout, []Command{command})
	if err != nil {
		return nil, err
	}
	if problem := replies[0].Err; problem != nil {
		return nil, problem
	}
	if replies[0].Report == nil {
		return nil, eris.Errorf("endpoint %s answered without a report", target.Key.ID)
	}
	return replies[0].Report, nil
}

package endpoint

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/catalog"
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
// use or have stopped responding.
func (h *Home) RunControlCommand(ctx context.Context, target catalog.Endpoint, command Command) (*Report, error) {
	dialContext, cancel := timer.WithTimeout(ctx, h.config.Timer, ControlTimeout)
	defer cancel()
	c, err := h.config.Dialer.Dial(dialContext, target, controlWorkspace)
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
		return nil, eris.Errorf("the response of endpoint %s contains no report", target.Key.ID)
	}
	return replies[0].Report, nil
}

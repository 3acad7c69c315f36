package endpoint

import (
	"context"

	"amaranthdock.dev/decision/refusal"
)

// maxSetupAttempts is the number of connections on which the setup of one statement is tried. An
// endpoint may fail a part of its requests, and an idle connection may have ended.
const maxSetupAttempts = 3

// acquireSetUp acquires a connection and sets the session's values and prepared statement on it.
// The statement is sent only after that has succeeded: otherwise it could run with the values
// of another session. Further commands are sent together with the setup; their replies are
// returned. The function also returns the name of the prepared statement on the connection.
// Its errors prove that the statement has not run.
func (h *Home) acquireSetUp(ctx context.Context, a *attempts, further ...Command) (*pooledConnection, string, []Reply, error) {
	client, request, deadline := a.client, a.request, a.deadline
	for attempt := 1; ; attempt++ {
		c, err := client.acquireConnection(ctx, request, deadline)
		if err != nil {
			return nil, "", nil, err
		}
		if err := client.refusePlace(request); err != nil {
			client.put(c, true)
			return nil, "", nil, err
		}
		setup, name := c.setupCommands(request.Values, request.Prepared, false)
		if len(setup) == 0 && len(further) == 0 {
			return c, name, nil, nil
		}
		timeout := deadline.Sub(h.config.Timer.Now())
		if len(further) == 0 {
			// Leave time for the statement itself.
			timeout /= 2
		}
		replies, err := c.Run(timeout, append(setup, further...))
		var refused *refusal.Error
		switch {
		case err != nil:
			client.recordNoResponse(err)
			refused = refusal.NewNotRun(refusal.Unreachable, "the endpoint did not respond before the statement was sent: "+err.Error())
		case c.setupFailed:
			client.recordResponse()
			refused = refusal.NewNotRun(refusal.ConnectionLost, "the session's values or prepared statement could not be set at the endpoint: "+firstError(replies))
		default:
			client.recordResponse()
			if err := client.refusePlace(request); err != nil {
				client.put(c, true)
				return nil, "", nil, err
			}
			return c, name, replies[len(setup):], nil
		}
		client.put(c, false)
		h.config.Log.Info("Could not set up a connection for a statement.", "request", request.ID, "endpoint", client.target.Key.ID,
			"attempt", attempt, "problem", refused.Message)
		if attempt == maxSetupAttempts || !a.mayRetry(ctx, countRequests(further)) {
			return nil, "", nil, refused
		}
	}
}

// firstError returns the text of the first refusal among replies.
func firstError(replies []Reply) string {
	for _, r := range replies {
		if r.Err != nil {
			return r.Err.Text
		}
	}
	return ""
}

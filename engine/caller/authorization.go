package caller

import (
	"time"

	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/engine/catalog"
)

// authorization is the part of the configuration that applies to a session's
// operation: its route, database and workspace.
type authorization struct {
	route     catalog.Route
	database  catalog.Database
	workspace string
	// regions are the regions in which the statements may run; noRegion is set if the route and
	// the workspace allow none in common.
	regions              catalog.Regions
	noRegion             bool
	transactionIdle      time.Duration
	configurationVersion uint64
}

// publicWorkspace is the workspace name that endpoints receive for callers of public
// routes.
const publicWorkspace = "-"

// authorize looks the session's host and key up in the newest configuration. It refuses all
// sessions after StopWork.
func (s *Session) authorize() (authorization, *refusal.Error) {
	if s.manager.stopped.Load() {
		return authorization{}, stoppedRefusal(refusal.NotReady)
	}
	c := s.manager.config.View.Configuration()
	if c == nil {
		return authorization{}, refusal.NewNotRun(refusal.NotReady, "this VM has no configuration yet")
	}
	route, ok := c.Routes[s.host]
	if !ok {
		return authorization{}, refusal.NewNotRun(refusal.NotAllowed, "there is no route for this host name")
	}
	workspace := publicWorkspace
	if !route.Public {
		if workspace, ok = c.WorkspaceByKey[s.key]; !ok {
			return authorization{}, refusal.NewNotRun(refusal.KeyUnknown, "the key is unknown")
		}
	}
	regions, anyRegion := route.Regions.And(c.Workspaces[workspace].Regions)
	return authorization{
		route:                route,
		database:             c.Databases[route.Database],
		workspace:            workspace,
		regions:              regions,
		noRegion:             !anyRegion,
		transactionIdle:      c.TransactionIdle,
		configurationVersion: c.Version,
	}, nil
}

// reauthorize checks the open transaction against the newest configuration before a statement
// or commit. A change of the route applies from the next transaction onward, but a key that
// was withdrawn ends the transaction. The key may also have been given to another workspace.
func (s *Session) reauthorize() *refusal.Error {
	t := s.transaction
	if !t.opened {
		auth, refused := s.authorize()
		if refused == nil {
			t.auth = auth
		}
		return refused
	}
	c := s.manager.config.View.Configuration()
	if workspace, ok := c.WorkspaceByKey[s.key]; t.auth.route.Public || (ok && workspace == t.auth.workspace) {
		return nil
	}
	t.auth.configurationVersion = c.Version
	return refusal.NewNotRun(refusal.KeyRevoked, "the key was withdrawn, so the transaction was rolled back")
}

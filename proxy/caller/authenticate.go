package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	"amaranthdock.dev/decision/refusal"
	"amaranthdock.dev/declaration"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// dummyHash is compared in place of a key's hash if the key id is unknown.
var dummyHash = strings.Repeat("0", hex.EncodedLen(sha256.Size))

// principal is the workspace or public route on whose behalf a request runs.
type principal struct {
	// keyID and workspace are empty on a public route.
	keyID     string
	workspace string
	// route is nil unless the request uses a public route.
	route *declaration.Route
	// subject is the name to which rate limits apply and session tokens are bound.
	subject string
}

// authenticate returns the principal of a request and removes its key from the
// headers. A request with both a key and a route is refused, so that a wrong key is
// never ignored. For a revoked key, it returns both the principal and a refusal.
func authenticate(snapshot *declaration.Snapshot, header http.Header, route string) (principal, error) {
	values := header.Values(authorizationHeader)
	header.Del(authorizationHeader)
	if len(values) == 0 && route != "" {
		return routePrincipal(snapshot, route)
	}
	if len(values) != 1 {
		return principal{}, keyError(refusal.KeyUnknown, "the request must have exactly one key")
	}
	if route != "" {
		return principal{}, errKeyWithRoute()
	}
	key, ok := strings.CutPrefix(values[0], bearerPrefix)
	if !ok {
		return principal{}, keyError(refusal.KeyUnknown, "the key is not a bearer token")
	}
	return keyPrincipal(snapshot, key)
}

func errKeyWithRoute() error {
	return invalidRequest("route", "a request with a key must not name a route")
}

// keyPrincipal returns the principal of a key. It compares hashes in constant time, and
// also if the key id is unknown, so that the response time does not reveal which ids
// exist.
func keyPrincipal(snapshot *declaration.Snapshot, key string) (principal, error) {
	id, secret, ok := declaration.SplitKey(key)
	if !ok {
		return principal{}, keyError(refusal.KeyUnknown, "the key is malformed")
	}
	owner, known := snapshot.Key(id)
	if !known {
		owner.Key.Hash = dummyHash
	}
	if same := owner.Key.Matches(secret); !known || !same {
		return principal{}, keyError(refusal.KeyUnknown, "the key is not known")
	}
	p := principal{
		keyID:     owner.Key.ID,
		workspace: owner.Workspace,
		subject:   owner.Workspace,
	}
	if owner.Key.Revoked {
		return p, keyError(refusal.KeyRevoked, "the key is revoked")
	}
	return p, nil
}

// routePrincipal returns the principal of a request without a key.
func routePrincipal(snapshot *declaration.Snapshot, name string) (principal, error) {
	route, ok := snapshot.Route(name)
	if !ok {
		return principal{}, invalidRequest("route", "the route is not known")
	}
	return principal{
		route:   route,
		subject: declaration.RouteSubjectPrefix + route.Name,
	}, nil
}

// authorize checks that the principal may run a command on a database.
func (p principal) authorize(snapshot *declaration.Snapshot, database string, access callerv1.Access, command string) error {
	if err := p.authorizeAccess(snapshot, database, access); err != nil {
		return err
	}
	if p.route != nil && !slices.Contains(p.route.Commands, command) {
		return notAllowedError("statement.command", "the route does not allow the command")
	}
	return nil
}

// authorizeAccess checks that the principal may access a database with some command.
func (p principal) authorizeAccess(snapshot *declaration.Snapshot, database string, access callerv1.Access) error {
	if p.route == nil {
		if !snapshot.AllowsDatabase(p.workspace, database) {
			return notAllowedError("database", "the workspace may not use the database")
		}
		return nil
	}
	if database != p.route.Database {
		return notAllowedError("database", "the route belongs to another database")
	}
	if access != callerv1.Access_ACCESS_READ {
		return notAllowedError("access", "the route allows only reads")
	}
	return nil
}

// isRevoked reports whether a key is no longer valid for a workspace.
func isRevoked(snapshot *declaration.Snapshot, keyID, workspace string) bool {
	owner, ok := snapshot.Key(keyID)
	return !ok || owner.Key.Revoked || owner.Workspace != workspace
}

func keyError(reason refusal.Reason, message string) error {
	return &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  reason,
		Message: message,
		Field:   authorizationHeader,
	}
}

func notAllowedError(field, message string) error {
	return &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  refusal.NotAllowed,
		Message: message,
		Field:   field,
	}
}

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

// unknownHash stands in for the hash of a key whose id is not known.
var unknownHash = strings.Repeat("0", hex.EncodedLen(sha256.Size))

// principal is on whose behalf a request runs.
type principal struct {
	// keyID and workspace are empty on a public route.
	keyID     string
	workspace string
	// route is nil unless the request uses a public route.
	route *declaration.Route
	// subject of limits, and the name to which session tokens are bound.
	subject string
}

// authenticate finds the principal of a request and removes its key from the
// headers. A key goes before a route, so that a wrong key is never overlooked.
// The principal of a revoked key is returned with the refusal.
func authenticate(snapshot *declaration.Snapshot, header http.Header, route string) (principal, error) {
	values := header.Values(authorizationHeader)
	header.Del(authorizationHeader)
	if len(values) == 0 && route != "" {
		return publicRoute(snapshot, route)
	}
	if len(values) != 1 {
		return principal{}, keyRefused(refusal.KeyUnknown, "the request carries no key")
	}
	if route != "" {
		return principal{}, invalid("route", "a request with a key names no route")
	}
	key, ok := strings.CutPrefix(values[0], bearerPrefix)
	if !ok {
		return principal{}, keyRefused(refusal.KeyUnknown, "the key is not a bearer token")
	}
	return checkKey(snapshot, key)
}

// checkKey compares hashes in constant time, and also when the id is not known,
// so that the time tells nothing about the ids in use.
func checkKey(snapshot *declaration.Snapshot, key string) (principal, error) {
	id, secret, ok := declaration.SplitKey(key)
	if !ok {
		return principal{}, keyRefused(refusal.KeyUnknown, "the key is malformed")
	}
	owner, known := snapshot.Key(id)
	if !known {
		owner.Key.Hash = unknownHash
	}
	if same := owner.Key.Matches(secret); !known || !same {
		return principal{}, keyRefused(refusal.KeyUnknown, "the key is not known")
	}
	found := principal{
		keyID:     owner.Key.ID,
		workspace: owner.Workspace,
		subject:   owner.Workspace,
	}
	if owner.Key.Revoked {
		return found, keyRefused(refusal.KeyRevoked, "the key is revoked")
	}
	return found, nil
}

func publicRoute(snapshot *declaration.Snapshot, name string) (principal, error) {
	route, ok := snapshot.Route(name)
	if !ok {
		return principal{}, invalid("route", "the route is not known")
	}
	return principal{
		route:   route,
		subject: declaration.RouteSubjectPrefix + route.Name,
	}, nil
}

// permit checks that the principal may run a statement on a database.
func (p principal) permit(snapshot *declaration.Snapshot, database string, access callerv1.Access, command string) error {
	if p.route == nil {
		if !snapshot.AllowsDatabase(p.workspace, database) {
			return notAllowed("database", "the workspace is not served by the database")
		}
		return nil
	}
	if database != p.route.Database {
		return notAllowed("database", "the route leads to another database")
	}
	if access != callerv1.Access_ACCESS_READ {
		return notAllowed("access", "the route is for reads only")
	}
	if !slices.Contains(p.route.Commands, command) {
		return notAllowed("statement.command", "the route does not let the command through")
	}
	return nil
}

// isRevoked tells whether a key no longer works for a workspace.
func isRevoked(snapshot *declaration.Snapshot, keyID, workspace string) bool {
	owner, ok := snapshot.Key(keyID)
	return !ok || owner.Key.Revoked || owner.Workspace != workspace
}

func keyRefused(reason refusal.Reason, message string) error {
	return &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  reason,
		Message: message,
		Field:   authorizationHeader,
	}
}

func notAllowed(field, message string) error {
	return &refusal.Error{
		Outcome: refusal.NotRun,
		Reason:  refusal.NotAllowed,
		Message: message,
		Field:   field,
	}
}

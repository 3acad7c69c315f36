package routing

import (
	"time"

	"amaranthdock.dev/decision/logpos"
)

// Role is the replication role of a database member.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// String returns the role in camel case.
func (r Role) String() string {
	switch r {
	case RolePrimary:
		return "primary"
	case RoleReplica:
		return "replica"
	default:
		return "unknown"
	}
}

// DatabaseView is what a VM knows about a database's members.
type DatabaseView struct {
	Database string
	// Term is the highest term that has a known primary.
	Term uint64
	// Primary is the endpoint that is the primary of the term; empty if unknown.
	Primary string
	Members []MemberView
}

// Member returns the view of one endpoint.
func (v DatabaseView) Member(endpoint string) (MemberView, bool) {
	for _, m := range v.Members {
		if m.Endpoint == endpoint {
			return m, true
		}
	}
	return MemberView{}, false
}

// MemberView is what a VM knows about one endpoint.
type MemberView struct {
	Endpoint  string
	Role      Role
	Reachable bool
	// LastPosition is the position of the last log entry that the member applied.
	LastPosition logpos.Position
	// Age is an upper bound of the age of the member's data, if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// QueueWait is how long a new statement is expected to wait in the queue of the
	// endpoint's home.
	QueueWait time.Duration
}

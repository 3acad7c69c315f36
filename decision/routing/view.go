package routing

import (
	"time"

	"amaranthdock.dev/decision/logpos"
)

// Role of a database member.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// DatabaseView is what a VM knows of a database's members.
type DatabaseView struct {
	Database string
	// Term is the highest term that a primary is known for.
	Term uint64
	// Primary is the endpoint that leads the term; empty if unknown.
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

// MemberView is what a VM knows of one endpoint.
type MemberView struct {
	Endpoint  string
	Role      Role
	Reachable bool
	// Last is the last log entry that the member applied.
	Last logpos.Position
	// Age bounds how old the member's data is, if AgeKnown.
	Age      time.Duration
	AgeKnown bool
	// QueueWait is the wait expected for a new statement at the home.
	QueueWait time.Duration
}

// Package catalog holds what operators declare and what endpoints and VMs report
// of themselves, as values that nobody changes once they are shared.
package catalog

import (
	"net/netip"
	"time"
)

// ReadConsistency is the consistency that a route promises to its callers.
type ReadConsistency int

// The kinds of routes.
const (
	// PrimaryReads reads see every acknowledged commit.
	PrimaryReads ReadConsistency = iota + 1
	// BoundedStaleness reads may lag by the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads are bounded and see the session's own commits.
	ReadYourWrites
)

// String returns the kind in camel case.
func (k ReadConsistency) String() string {
	switch k {
	case PrimaryReads:
		return "primary"
	case BoundedStaleness:
		return "boundedStaleness"
	case ReadYourWrites:
		return "readYourWrites"
	default:
		return "unspecified"
	}
}

// Route leads from the name that callers use to a database.
type Route struct {
	Host     string
	Database string
	Kind     ReadConsistency
	Public   bool
	// Timeout of one statement.
	Timeout time.Duration
	// Priority of its statements in a queue; 0 is the most urgent.
	Priority int
	// MaxStaleness is the largest age of what a read returns; 0 where it must be new.
	MaxStaleness time.Duration
}

// Database is a group of endpoints that replicate one log.
type Database struct {
	Name           string
	MaxConnections int
	// SyncReplicas is how many replicas confirm a commit before its answer.
	SyncReplicas int
}

// Workspace is a customer with keys and a limit over all VMs.
type Workspace struct {
	Name          string
	RatePerSecond float64
	Burst         float64
}

// Configuration is one version of what operators declare.
type Configuration struct {
	Version         uint64
	Routes          map[string]Route
	Databases       map[string]Database
	Workspaces      map[string]Workspace
	WorkspaceByKey  map[string]string
	TransactionIdle time.Duration
}

// Role is how an endpoint sees itself.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// EndpointKey identifies one start of an endpoint: a restart under the same id
// knows nothing of before.
type EndpointKey struct {
	ID   string
	Born time.Time
}

// Endpoint is a member of a database as it reports itself.
type Endpoint struct {
	Key        EndpointKey
	Database   string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	Role       Role
	// Reports counts the endpoint's reports since its start.
	Reports uint64
}

// EndpointSnapshot is a revision of the endpoints' reports.
type EndpointSnapshot struct {
	Revision uint64
	ByID     map[string]Endpoint
}

// VM is a registered VM of the fleet.
type VM struct {
	Name       string
	DataCentre string
	Region     string
	Address    netip.AddrPort
	// Incarnation differs for each start of the process.
	Incarnation uint64
}

// VMSnapshot is a revision of the fleet's registrations, with the VM that holds the
// lease for ordering promotions.
type VMSnapshot struct {
	Revision uint64
	ByName   map[string]VM
	Leader   string
}

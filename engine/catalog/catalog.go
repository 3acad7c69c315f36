// Package catalog defines the configuration that operators declare and the reports of
// endpoints and VMs. The values must not be changed once they are shared.
package catalog

import (
	"net/netip"
	"time"
)

// ReadConsistency is the consistency level of the reads of a route.
type ReadConsistency int

// The consistency levels.
const (
	// PrimaryReads run at the primary and see every acknowledged commit.
	PrimaryReads ReadConsistency = iota + 1
	// BoundedStaleness reads may be stale by up to the route's MaxStaleness.
	BoundedStaleness
	// ReadYourWrites reads have bounded staleness and see the session's own commits.
	ReadYourWrites
)

// String returns the level in camel case.
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

// Route maps the host name that callers use to a database.
type Route struct {
	Host     string
	Database string
	Kind     ReadConsistency
	// Public routes need no key.
	Public bool
	// Timeout is the time limit of one statement; 0 for the default.
	Timeout time.Duration
	// Priority is the priority of the route's statements in a queue; 0 is the most
	// urgent.
	Priority int
	// MaxStaleness is the largest staleness of the data that a read returns; 0 if it must
	// not be stale.
	MaxStaleness time.Duration
	// TargetLatency is the latency of an operation up to which callers are well served; 0 if
	// there is none.
	TargetLatency time.Duration
	// Regions are the regions in which the route's statements may run.
	Regions Regions
}

// Database is a group of endpoints that replicate one log.
type Database struct {
	Name string
	// MaxConnections is the number of connections that each endpoint accepts from the
	// whole fleet.
	MaxConnections int
	// SyncReplicas is how many replicas confirm a commit before it is acknowledged.
	SyncReplicas int
	// ColdRate is the number of requests a second that a cold endpoint takes; 0 if there is no
	// limit.
	ColdRate float64
}

// Workspace is a tenant with its own keys and a rate limit that holds for all VMs
// together.
type Workspace struct {
	Name string
	// RatePerSecond and Burst are in requests.
	RatePerSecond float64
	Burst         float64
	// Regions are the regions in which the workspace's statements may run.
	Regions Regions
}

// Configuration is one version of the configuration that operators declare.
type Configuration struct {
	Version uint64
	// Routes holds the routes by host name.
	Routes map[string]Route
	// Databases and Workspaces are by name.
	Databases  map[string]Database
	Workspaces map[string]Workspace
	// WorkspaceByKey holds the name of the workspace by the caller's key.
	WorkspaceByKey map[string]string
	// TransactionIdle is the idle timeout of transactions.
	TransactionIdle time.Duration
}

// Role is the replication role that an endpoint reports.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// EndpointKey identifies one run of an endpoint's process. An endpoint that restarts
// under the same id keeps no state of its earlier run, so it gets another key.
type EndpointKey struct {
	ID string
	// Born is the start time of the process.
	Born time.Time
}

// Endpoint is the state of a member of a database as the member reports it.
type Endpoint struct {
	Key        EndpointKey
	Database   string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of statements that the endpoint runs at the same time.
	Slots int
	// Draining means that the endpoint is leaving: it is not chosen for reads, and a
	// draining primary is replaced.
	Draining bool
	Role     Role
	// ColdFor is how long the endpoint stays slow after its start, counted from the report; 0
	// if it is warm.
	ColdFor time.Duration
	// Reports counts the endpoint's reports since its start.
	Reports uint64
}

// EndpointSnapshot is one revision of the reports of all endpoints.
type EndpointSnapshot struct {
	Revision uint64
	ByID     map[string]Endpoint
}

// Evacuations is one revision of the data centres that operators have taken out of use.
type Evacuations struct {
	// Revision is the store's revision up to which the set is known.
	Revision    uint64
	DataCentres map[string]bool
}

// VMSize is what a VM can carry.
type VMSize struct {
	// Cores is the number of processor cores, or the share of one.
	Cores float64
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s.
	LinkMbps float64
}

// VM is a VM of the fleet as it registered itself.
type VM struct {
	Name       string
	DataCentre string
	Region     string
	Address    netip.AddrPort
	// Incarnation is different for each start of the process.
	Incarnation uint64
	// Size is zero if the VM does not state it.
	Size VMSize
	// Revision is the store's revision of the registration.
	Revision uint64
	// Lapsed means that the VM has no registration any more, but still a claim to its shares
	// of limits. The address of such a VM is known only if it was seen registered.
	Lapsed bool
	// Unclaimed means that the VM is registered, but has no claim to shares of limits yet.
	Unclaimed bool
}

// Same reports whether two registrations differ in their revisions at most.
func (v VM) Same(other VM) bool {
	v.Revision = other.Revision
	return v == other
}

// VMSnapshot is one revision of the registrations of all VMs.
type VMSnapshot struct {
	Revision uint64
	// ByName holds the VMs by name, also those whose registration has lapsed.
	ByName map[string]VM
	// Leader is the name of the VM that holds the failover lease and so requests
	// promotions; empty if there is none.
	Leader string
}

// WithoutLapsed returns the VMs that are registered; the snapshot itself if all of them are.
func (v *VMSnapshot) WithoutLapsed() *VMSnapshot {
	registered := make(map[string]VM, len(v.ByName))
	for name, vm := range v.ByName {
		if !vm.Lapsed {
			registered[name] = vm
		}
	}
	if len(registered) == len(v.ByName) {
		return v
	}
	return &VMSnapshot{
		Revision: v.Revision,
		ByName:   registered,
		Leader:   v.Leader,
	}
}

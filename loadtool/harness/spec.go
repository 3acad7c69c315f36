package harness

import (
	"time"
)

// Spec describes the layout and the size of a deployment.
type Spec struct {
	Name        string
	Regions     []RegionSpec
	StoreRegion string
	Service     string
	Databases   []string
	// Slots and Connections are the limits of each endpoint.
	Slots       int
	Connections int
	// ConnectionCost is the time that a member needs to open a connection.
	ConnectionCost time.Duration
	// StatementTime is the time that a member needs to run a statement.
	StatementTime time.Duration
	// ReplicationLag is the delay of the replication.
	ReplicationLag time.Duration
	// ResponseDelay is the maximum random delay of each piece of a response; 0 for no delay.
	ResponseDelay time.Duration
	// PieceRows is the number of rows in each piece of a response; 0 for the member's default.
	PieceRows  int
	Workspaces []WorkspaceSpec
	// VMs holds the data centre of each VM.
	VMs []string
	// RegionDelay is the one-way latency between regions.
	RegionDelay time.Duration
	// RegionRate is the bandwidth from one region to another, in bytes per second.
	RegionRate int64
}

// RegionSpec describes a region and its data centres.
type RegionSpec struct {
	Name        string
	DataCentres []string
}

// WorkspaceSpec describes a workspace and its rate limit. Worth is its scheduling weight.
type WorkspaceSpec struct {
	Name  string
	Worth int
	Rate  float64
	Burst int64
}

const (
	regionDelay = 20 * time.Millisecond
	// regionRate is 30 Mbit/s.
	regionRate = 30_000_000 / 8
)

// Hladnik returns the layout used by the certification register.
func Hladnik() Spec {
	return Spec{
		Name: "hladnik",
		Regions: []RegionSpec{
			{
				Name:        "ljubljana",
				DataCentres: []string{"lj-bezigrad", "lj-vic"},
			},
			{
				Name:        "maribor",
				DataCentres: []string{"mb-tezno"},
			},
		},
		StoreRegion:    "ljubljana",
		Service:        "register-db",
		Databases:      []string{"register-1", "register-2", "register-3"},
		Slots:          5,
		Connections:    55,
		ConnectionCost: 25 * time.Millisecond,
		StatementTime:  2 * time.Millisecond,
		ReplicationLag: 5 * time.Millisecond,
		Workspaces: workspaceSpecs([]string{
			"inspectors", "wholesalers", "installers", "certificates",
			"logbooks", "training", "audits", "archive",
		}),
		VMs: []string{
			"lj-bezigrad", "lj-bezigrad", "lj-bezigrad", "lj-vic", "lj-vic",
			"mb-tezno", "mb-tezno",
		},
		RegionDelay: regionDelay,
		RegionRate:  regionRate,
	}
}

// Saltmyri returns the layout used by the grazing cooperative.
func Saltmyri() Spec {
	return Spec{
		Name: "saltmyri",
		Regions: []RegionSpec{
			{
				Name:        "sudurland",
				DataCentres: []string{"olfusa", "thjorsa"},
			},
			{
				Name:        "vesturland",
				DataCentres: []string{"hvitarosar"},
			},
		},
		StoreRegion:    "sudurland",
		Service:        "flock-ledger",
		Databases:      []string{"flock-1", "flock-2", "flock-3"},
		Slots:          5,
		Connections:    30,
		ConnectionCost: 10 * time.Millisecond,
		StatementTime:  2 * time.Millisecond,
		ReplicationLag: 5 * time.Millisecond,
		Workspaces: workspaceSpecs([]string{
			"shepherds-east", "intake-desk", "registry-office", "shepherds-west",
			"lambing", "pasture-office", "veterinary", "accounts",
		}),
		VMs: []string{
			"olfusa", "olfusa", "olfusa", "thjorsa", "thjorsa",
			"hvitarosar", "hvitarosar",
		},
		RegionDelay: regionDelay,
		RegionRate:  regionRate,
	}
}

// workspaceSpecs returns two workspaces with a high rate and the others with a low one.
func workspaceSpecs(names []string) []WorkspaceSpec {
	const largeCount = 2
	specs := make([]WorkspaceSpec, 0, len(names))
	for i, name := range names {
		spec := WorkspaceSpec{
			Name:  name,
			Worth: 1 + (len(names)-i)/2,
			Rate:  60,
			Burst: 60,
		}
		if i < largeCount {
			spec.Rate = 300
			spec.Burst = 300
		}
		specs = append(specs, spec)
	}
	return specs
}

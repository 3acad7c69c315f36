package harness

import (
	"time"
)

// Spec is the size and the layout of a deployment.
type Spec struct {
	Name        string
	Regions     []RegionShape
	StoreRegion string
	Service     string
	Databases   []string
	Slots       int
	Connections int
	// ConnectionCost is the time that a member takes for a new connection.
	ConnectionCost time.Duration
	// StatementTime is the time that a member takes for a statement.
	StatementTime time.Duration
	// ReplicationLag of the replication.
	ReplicationLag time.Duration
	// ResponseDelay is the longest random delay of a piece of an answer; 0 for none.
	ResponseDelay time.Duration
	// PieceRows is the number of rows in a piece; 0 for the member's default.
	PieceRows  int
	Workspaces []WorkspaceSpec
	// VMs holds the data centre of each VM.
	VMs []string
	// RegionDelay is the one-way latency between regions.
	RegionDelay time.Duration
	// RegionRate in bytes per second bounds the link between regions.
	RegionRate int64
}

// RegionShape is a region and its data centres.
type RegionShape struct {
	Name        string
	DataCentres []string
}

// WorkspaceSpec is a workspace and its limits.
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

// Hladnik returns the shape of the certification register.
func Hladnik() Spec {
	return Spec{
		Name: "hladnik",
		Regions: []RegionShape{
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
		Workspaces: workspaces([]string{
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

// Saltmyri returns the shape of the grazing cooperative.
func Saltmyri() Spec {
	return Spec{
		Name: "saltmyri",
		Regions: []RegionShape{
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
		Workspaces: workspaces([]string{
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

// workspaces makes two large workspaces and small ones for the other names.
func workspaces(names []string) []WorkspaceSpec {
	const largeCount = 2
	shapes := make([]WorkspaceSpec, 0, len(names))
	for i, name := range names {
		shape := WorkspaceSpec{
			Name:  name,
			Worth: 1 + (len(names)-i)/2,
			Rate:  60,
			Burst: 60,
		}
		if i < largeCount {
			shape.Rate = 300
			shape.Burst = 300
		}
		shapes = append(shapes, shape)
	}
	return shapes
}

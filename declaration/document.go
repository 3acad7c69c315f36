// Package declaration holds the operators' document: its types, its checks and
// the immutable snapshot under which requests are decided.
package declaration

import (
	"net/netip"
	"time"
)

// Change names one accepted change of the document.
type Change struct {
	// ID is unique for each operator's call, so that a call whose answer was
	// lost can find out whether it was accepted.
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Summary string `json:"summary"`
}

// Database is a group of endpoints that replicate one log.
type Database struct {
	Name      string     `json:"name" yaml:"name"`
	Endpoints []Endpoint `json:"endpoints" yaml:"endpoints"`
}

// Document is the whole configuration, one value in the store.
type Document struct {
	// Version is 1 for the first document and rises by 1 with each change.
	Version uint64 `json:"version" yaml:"-"`
	// Changes are the latest changes, oldest first, at most maxChanges.
	Changes []Change `json:"changes,omitempty" yaml:"-"`

	PresetInForce string      `json:"presetInForce" yaml:"presetInForce"`
	Presets       []Preset    `json:"presets" yaml:"presets"`
	Regions       []Region    `json:"regions" yaml:"regions"`
	Routes        []Route     `json:"routes,omitempty" yaml:"routes,omitempty"`
	Services      []Service   `json:"services" yaml:"services"`
	StoreRegion   string      `json:"storeRegion" yaml:"storeRegion"`
	Workspaces    []Workspace `json:"workspaces" yaml:"workspaces"`
}

// Endpoint is one member of a database.
type Endpoint struct {
	Name       string         `json:"name" yaml:"name"`
	DataCentre string         `json:"dataCentre" yaml:"dataCentre"`
	Address    netip.AddrPort `json:"address" yaml:"address"`
	// Slots is the number of statements that run at once.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the limit over all proxies together.
	Connections int `json:"connections" yaml:"connections"`
	// Leaving endpoints get no new work.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Key is a caller's key at rest.
type Key struct {
	ID string `json:"id" yaml:"id"`
	// Hash is the SHA-256 of the secret in hexadecimal.
	Hash string `json:"hash" yaml:"hash"`
	// Revoked keys are kept so that their callers get a clear error.
	Revoked bool `json:"revoked,omitempty" yaml:"revoked,omitempty"`
}

// Limit is the strict bound on what a subject is admitted: at most
// Burst + Rate x t requests in any window of t seconds.
type Limit struct {
	// Rate in requests per second.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst in requests.
	Burst int64 `json:"burst" yaml:"burst"`
}

// Preset overlays the document for a kind of day.
type Preset struct {
	Name string `json:"name" yaml:"name"`
	// Deadline of a request that states none.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// MaxAge that reads accept if they state none; 0 for none.
	MaxAge time.Duration `json:"maxAge,omitempty" yaml:"maxAge,omitempty"`
	// MaxQueueWait sheds requests that would wait longer at a home.
	MaxQueueWait time.Duration `json:"maxQueueWait" yaml:"maxQueueWait"`
	// Overrides replace the limits and worth of single workspaces.
	Overrides []Override `json:"overrides,omitempty" yaml:"overrides,omitempty"`
}

// Override replaces the settings of one workspace under a preset. Fields that
// are absent leave the workspace's own value in force.
type Override struct {
	Workspace string   `json:"workspace" yaml:"workspace"`
	Rate      *float64 `json:"rate,omitempty" yaml:"rate,omitempty"`
	Burst     *int64   `json:"burst,omitempty" yaml:"burst,omitempty"`
	Worth     *int     `json:"worth,omitempty" yaml:"worth,omitempty"`
}

// Region is a group of data centres with short distances.
type Region struct {
	Name        string   `json:"name" yaml:"name"`
	DataCentres []string `json:"dataCentres" yaml:"dataCentres"`
}

// Route is a way into one database for reads without a key.
type Route struct {
	Name     string `json:"name" yaml:"name"`
	Database string `json:"database" yaml:"database"`
	// Commands that the route lets through.
	Commands []string `json:"commands" yaml:"commands"`
	Rate     float64  `json:"rate" yaml:"rate"`
	Burst    int64    `json:"burst" yaml:"burst"`
	Worth    int      `json:"worth" yaml:"worth"`
}

// Service is a group of databases of one application.
type Service struct {
	Name      string     `json:"name" yaml:"name"`
	Databases []Database `json:"databases" yaml:"databases"`
}

// Workspace is a customer of the system.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// Worth is the weight of the workspace's requests, from 1.
	Worth int     `json:"worth" yaml:"worth"`
	Rate  float64 `json:"rate" yaml:"rate"`
	Burst int64   `json:"burst" yaml:"burst"`
	// Databases that serve the workspace.
	Databases []string `json:"databases" yaml:"databases"`
	Keys      []Key    `json:"keys,omitempty" yaml:"keys,omitempty"`
}

// Package declaration defines the configuration document that operators write, its
// validation and editing, and the immutable, indexed snapshot that requests are served
// with.
package declaration

import (
	"net/netip"
	"time"
)

// Change describes one accepted change of the document.
type Change struct {
	// ID is unique for each change. If the response to a change was lost, the change was
	// accepted if its ID is among the Changes of the document.
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Summary string `json:"summary"`
}

// Database is a group of endpoints that replicate the same log.
type Database struct {
	Name      string     `json:"name" yaml:"name"`
	Endpoints []Endpoint `json:"endpoints" yaml:"endpoints"`
}

// Document is the whole configuration. The store keeps it as one value.
type Document struct {
	// Version is 1 for the first document and increases by 1 with each change.
	Version uint64 `json:"version" yaml:"-"`
	// Changes are the latest changes, oldest first, at most MaxChanges.
	Changes []Change `json:"changes,omitempty" yaml:"-"`

	// PresetInForce is the name of the active preset.
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
	// Slots is the maximum number of concurrent statements.
	Slots int `json:"slots" yaml:"slots"`
	// Connections is the connection limit of all proxies together.
	Connections int `json:"connections" yaml:"connections"`
	// Leaving endpoints are draining: they get no new work.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Key is the stored form of a caller's key, without its secret.
type Key struct {
	ID string `json:"id" yaml:"id"`
	// Hash is the SHA-256 of the secret in hexadecimal.
	Hash string `json:"hash" yaml:"hash"`
	// Revoked keys remain in the document, so that their callers get a clear error.
	Revoked bool `json:"revoked,omitempty" yaml:"revoked,omitempty"`
}

// Limit is a token bucket's rate limit: a subject is admitted at most Burst + Rate x t
// requests in any window of t seconds.
type Limit struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate" yaml:"rate"`
	// Burst is in requests.
	Burst int64 `json:"burst" yaml:"burst"`
}

// Preset is a set of settings for a mode of operation, such as peak load or maintenance.
// It applies while the preset is active.
type Preset struct {
	Name string `json:"name" yaml:"name"`
	// Deadline is the default timeout of requests.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
	// MaxAge is the default maximum age of the data that reads accept. If it is 0, reads
	// without a maximum age of their own and without a session token are served by the
	// primary.
	MaxAge time.Duration `json:"maxAge,omitempty" yaml:"maxAge,omitempty"`
	// MaxQueueWait is the longest wait in the queue of an endpoint's home VM. Requests
	// that are expected to wait longer are rejected.
	MaxQueueWait time.Duration `json:"maxQueueWait" yaml:"maxQueueWait"`
	// Overrides replace the rate limits and weights of some workspaces.
	Overrides []Override `json:"overrides,omitempty" yaml:"overrides,omitempty"`
}

// Override replaces settings of one workspace while a preset is active. Where a field is
// nil, the workspace's own value applies.
type Override struct {
	Workspace string   `json:"workspace" yaml:"workspace"`
	Rate      *float64 `json:"rate,omitempty" yaml:"rate,omitempty"`
	Burst     *int64   `json:"burst,omitempty" yaml:"burst,omitempty"`
	// Worth is the scheduling weight.
	Worth *int `json:"worth,omitempty" yaml:"worth,omitempty"`
}

// Region is a group of data centres with low latency between them.
type Region struct {
	Name        string   `json:"name" yaml:"name"`
	DataCentres []string `json:"dataCentres" yaml:"dataCentres"`
}

// Route gives callers without a key read access to one database.
type Route struct {
	Name     string `json:"name" yaml:"name"`
	Database string `json:"database" yaml:"database"`
	// Commands are the commands that the route allows.
	Commands []string `json:"commands" yaml:"commands"`
	// Rate (in requests per second) and Burst (in requests) are the rate limit of all
	// callers of the route together.
	Rate  float64 `json:"rate" yaml:"rate"`
	Burst int64   `json:"burst" yaml:"burst"`
	// Worth is the scheduling weight of the route's requests, at least 1.
	Worth int `json:"worth" yaml:"worth"`
}

// Service is a group of databases of one application.
type Service struct {
	Name      string     `json:"name" yaml:"name"`
	Databases []Database `json:"databases" yaml:"databases"`
}

// Workspace is a tenant of the system.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// Worth is the scheduling weight of the workspace's requests, at least 1.
	Worth int `json:"worth" yaml:"worth"`
	// Rate (in requests per second) and Burst (in requests) are the rate limit of the
	// workspace.
	Rate  float64 `json:"rate" yaml:"rate"`
	Burst int64   `json:"burst" yaml:"burst"`
	// Databases are the databases that the workspace may use.
	Databases []string `json:"databases" yaml:"databases"`
	Keys      []Key    `json:"keys,omitempty" yaml:"keys,omitempty"`
}

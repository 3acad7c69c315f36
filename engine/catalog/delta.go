package catalog

import (
	"maps"
	"time"
)

// MapDelta is the difference between two maps.
type MapDelta[V comparable] struct {
	// Set holds the entries that were added or changed.
	Set     map[string]V
	Removed []string
}

// diffMaps returns the difference that turns one map into another.
func diffMaps[V comparable](from, to map[string]V) MapDelta[V] {
	delta := MapDelta[V]{Set: map[string]V{}}
	for name, value := range to {
		if before, ok := from[name]; !ok || before != value {
			delta.Set[name] = value
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			delta.Removed = append(delta.Removed, name)
		}
	}
	return delta
}

func (d MapDelta[V]) len() int { return len(d.Set) + len(d.Removed) }

// apply returns a copy of the map with the difference applied.
func (d MapDelta[V]) apply(from map[string]V) map[string]V {
	to := make(map[string]V, len(from)+len(d.Set))
	maps.Copy(to, from)
	for _, name := range d.Removed {
		delete(to, name)
	}
	maps.Copy(to, d.Set)
	return to
}

// ConfigurationDelta is the difference between two versions of the configuration.
type ConfigurationDelta struct {
	// From is the version to which the difference applies, and Version the one that results.
	From            uint64
	Version         uint64
	Routes          MapDelta[Route]
	Databases       MapDelta[Database]
	Workspaces      MapDelta[Workspace]
	WorkspaceByKey  MapDelta[string]
	TransactionIdle time.Duration
}

// Len returns the number of entries that were added, changed or removed.
func (d *ConfigurationDelta) Len() int {
	return d.Routes.len() + d.Databases.len() + d.Workspaces.len() + d.WorkspaceByKey.len()
}

// Since returns the difference from an older configuration to this one.
func (c *Configuration) Since(older *Configuration) *ConfigurationDelta {
	return &ConfigurationDelta{
		From:            older.Version,
		Version:         c.Version,
		Routes:          diffMaps(older.Routes, c.Routes),
		Databases:       diffMaps(older.Databases, c.Databases),
		Workspaces:      diffMaps(older.Workspaces, c.Workspaces),
		WorkspaceByKey:  diffMaps(older.WorkspaceByKey, c.WorkspaceByKey),
		TransactionIdle: c.TransactionIdle,
	}
}

// Apply returns the newer configuration; false if the difference applies to another version.
func (d *ConfigurationDelta) Apply(older *Configuration) (*Configuration, bool) {
	if older == nil || older.Version != d.From {
		return nil, false
	}
	return &Configuration{
		Version:         d.Version,
		Routes:          d.Routes.apply(older.Routes),
		Databases:       d.Databases.apply(older.Databases),
		Workspaces:      d.Workspaces.apply(older.Workspaces),
		WorkspaceByKey:  d.WorkspaceByKey.apply(older.WorkspaceByKey),
		TransactionIdle: d.TransactionIdle,
	}, true
}

// VMDelta is the difference between the registrations at two revisions of the store.
type VMDelta struct {
	Revision uint64
	VMs      MapDelta[VM]
	Leader   string
	// Digest is the digest of the registrations that result.
	Digest uint64
}

// Apply returns the newer registrations; false if they are not those that the sender of the
// difference has.
func (d *VMDelta) Apply(older *VMSnapshot) (*VMSnapshot, bool) {
	newer := &VMSnapshot{
		Revision: d.Revision,
		ByName:   d.VMs.apply(older.ByName),
		Leader:   d.Leader,
	}
	return newer, newer.Digest() == d.Digest
}

package failover

import (
	"slices"
	"strings"

	"amaranthdock.dev/decision/routing"
)

// Dump is the state of a Manager, as included in the state dump for operators.
type Dump struct {
	Databases []DatabaseDump `json:"databases"`
}

// DatabaseDump is the state of one watched database.
type DatabaseDump struct {
	Database  string       `json:"database"`
	Term      uint64       `json:"term"`
	Primary   string       `json:"primary"`
	Claimants []string     `json:"claimants"`
	Members   []MemberDump `json:"members"`
}

// MemberDump is the state of one member.
type MemberDump struct {
	Endpoint  string `json:"endpoint"`
	Primary   bool   `json:"primary"`
	Reachable bool   `json:"reachable"`
	Term      uint64 `json:"term"`
	Index     uint64 `json:"index"`
	// AgeMilliseconds is the age of the member's data, or -1 if it is unknown.
	AgeMilliseconds int64 `json:"ageMilliseconds"`
}

// Dump returns the state of the watched databases.
func (m *Manager) Dump() any {
	m.mu.Lock()
	var watched []*databaseWatch
	for _, d := range m.databases {
		watched = append(watched, d)
	}
	m.mu.Unlock()
	slices.SortFunc(watched, func(a, b *databaseWatch) int { return strings.Compare(a.name, b.name) })
	dump := Dump{Databases: []DatabaseDump{}}
	for _, d := range watched {
		dump.Databases = append(dump.Databases, d.dump())
	}
	return dump
}

func (d *databaseWatch) dump() DatabaseDump {
	view := d.view()
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := DatabaseDump{
		Database:  d.name,
		Term:      view.Term,
		Primary:   view.Primary,
		Claimants: slices.Clone(d.claimants),
	}
	for _, m := range view.Members {
		age := int64(-1)
		if m.AgeKnown {
			age = m.Age.Milliseconds()
		}
		dump.Members = append(dump.Members, MemberDump{
			Endpoint:        m.Endpoint,
			Primary:         m.Role == routing.RolePrimary,
			Reachable:       m.Reachable,
			Term:            m.LastPosition.Term,
			Index:           m.LastPosition.Index,
			AgeMilliseconds: age,
		})
	}
	return dump
}

package gossip

import (
	"slices"
	"strings"
)

// Dump is the state of the part for the state dump.
type Dump struct {
	VM                   string `json:"vm"`
	Ready                bool   `json:"ready"`
	Leaving              bool   `json:"leaving"`
	Watching             bool   `json:"watching"`
	Authorized           bool   `json:"authorized"`
	AuthorityAge         string `json:"authorityAge"`
	ConfigurationVersion uint64 `json:"configurationVersion"`
	HighestVersionHeard  uint64 `json:"highestVersionHeard"`
	// PresetInForce is the one of ConfigurationVersion.
	PresetInForce string       `json:"presetInForce,omitempty"`
	StoreRevision uint64       `json:"storeRevision"`
	Members       []MemberDump `json:"members"`
}

// MemberDump is one member of the fleet.
type MemberDump struct {
	VM          string `json:"vm"`
	DataCentre  string `json:"dataCentre"`
	Region      string `json:"region"`
	PeerAddress string `json:"peerAddress"`
	Incarnation uint64 `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	State       string `json:"state"`
}

// Dump returns the state of the part.
func (p *Service) Dump() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Timer.Now()
	dump := Dump{
		VM:                   p.config.Self.Name,
		Ready:                p.ready.Load(),
		Leaving:              p.left,
		Watching:             p.versions.IsWatcher(),
		Authorized:           p.authorized(now),
		AuthorityAge:         "unknown",
		ConfigurationVersion: p.versions.Version(),
		HighestVersionHeard:  p.versions.HighestSeenVersion(),
		StoreRevision:        p.stored.revision,
	}
	if snapshot := p.current.Load(); snapshot != nil {
		dump.ConfigurationVersion = snapshot.Version()
		dump.PresetInForce = snapshot.Preset().Name
	}
	if age, ok := p.versions.AuthorityAge(now); ok {
		dump.AuthorityAge = age.String()
	}
	for _, m := range p.table.Members() {
		dump.Members = append(dump.Members, MemberDump{
			VM:          m.VM,
			DataCentre:  m.DataCentre,
			Region:      p.regionOf(m.DataCentre),
			PeerAddress: m.Address.String(),
			Incarnation: m.Incarnation,
			Sequence:    m.Sequence,
			State:       m.State.String(),
		})
	}
	slices.SortFunc(dump.Members, func(a, b MemberDump) int { return strings.Compare(a.VM, b.VM) })
	return dump
}

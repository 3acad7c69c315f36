package gossip

import (
	"slices"
	"strings"
)

// Dump is the state of a Service, as included in the state dump for operators.
type Dump struct {
	VM                   string `json:"vm"`
	Ready                bool   `json:"ready"`
	Leaving              bool   `json:"leaving"`
	Watching             bool   `json:"watching"`
	Authorized           bool   `json:"authorized"`
	AuthorityAge         string `json:"authorityAge"`
	ConfigurationVersion uint64 `json:"configurationVersion"`
	// HighestVersionHeard is the highest version that this VM or a peer has had.
	HighestVersionHeard uint64 `json:"highestVersionHeard"`
	// PresetInForce is the name of the active preset in ConfigurationVersion.
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

// Dump returns the current state as a Dump.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Timer.Now()
	dump := Dump{
		VM:                   s.config.Self.Name,
		Ready:                s.ready.Load(),
		Leaving:              s.isLeaving,
		Watching:             s.syncState.IsWatcher(),
		Authorized:           s.authorized(now),
		AuthorityAge:         "unknown",
		ConfigurationVersion: s.syncState.Version(),
		HighestVersionHeard:  s.syncState.HighestSeenVersion(),
		StoreRevision:        s.newestStored.revision,
	}
	if snapshot := s.current.Load(); snapshot != nil {
		dump.ConfigurationVersion = snapshot.Version()
		dump.PresetInForce = snapshot.Preset().Name
	}
	if age, ok := s.syncState.AuthorityAge(now); ok {
		dump.AuthorityAge = age.String()
	}
	for _, m := range s.table.Members() {
		dump.Members = append(dump.Members, MemberDump{
			VM:          m.VM,
			DataCentre:  m.DataCentre,
			Region:      s.regionOf(m.DataCentre),
			PeerAddress: m.Address.String(),
			Incarnation: m.Incarnation,
			Sequence:    m.Sequence,
			State:       m.State.String(),
		})
	}
	slices.SortFunc(dump.Members, func(a, b MemberDump) int { return strings.Compare(a.VM, b.VM) })
	return dump
}

package store

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/catalog"
)

// registration is the value that is stored under a VM's key.
type registration struct {
	DataCentre  string         `json:"dataCentre"`
	Region      string         `json:"region"`
	Address     netip.AddrPort `json:"address"`
	Incarnation uint64         `json:"incarnation"`
	// Cores and LinkMbps are the size of the VM. VMs of older builds neither state nor read them.
	Cores    float64 `json:"cores,omitempty"`
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

// decodeRegistration decodes a registration. One that is not complete does not name a VM.
func decodeRegistration(name string, value []byte) (registration, error) {
	var r registration
	if err := json.Unmarshal(value, &r); err != nil {
		return registration{}, eris.Wrap(err, "decode the registration")
	}
	if name == "" || r.DataCentre == "" || r.Region == "" || r.Address.Port() == 0 || r.Incarnation == 0 {
		return registration{}, eris.New("a field of the registration is missing")
	}
	return r, nil
}

// decodeRegistrations returns the VMs and the leader. It skips registrations that cannot
// be decoded.
func (s *Syncer) decodeRegistrations(items []Item, revision uint64) *catalog.VMSnapshot {
	vms := &catalog.VMSnapshot{
		Revision: revision,
		ByName:   map[string]catalog.VM{},
	}
	for _, item := range items {
		if item.Key == LeaderKey {
			vms.Leader = string(item.Value)
			continue
		}
		name, ok := strings.CutPrefix(item.Key, vmPrefix)
		if !ok {
			continue
		}
		r, err := decodeRegistration(name, item.Value)
		if err != nil {
			s.config.Log.Info("Could not decode a registration.", "key", item.Key, "error", err.Error())
			continue
		}
		vms.ByName[name] = catalog.VM{
			Name:        name,
			DataCentre:  r.DataCentre,
			Region:      r.Region,
			Address:     r.Address,
			Incarnation: r.Incarnation,
			Size: catalog.VMSize{
				Cores:    max(r.Cores, 0),
				LinkMbps: max(r.LinkMbps, 0),
			},
			Revision: item.Revision,
		}
	}
	return vms
}

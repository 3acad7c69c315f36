package store

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/catalog"
)

// The keys that the fleet keeps in the store.
const (
	fleetPrefix = "amaranthdock/"
	vmPrefix    = fleetPrefix + "vms/"
	// LeaderKey holds the name of the VM that orders promotions.
	LeaderKey = fleetPrefix + "leader"
	// OrderPrefix is followed by a database's name and holds the number of its last
	// order of a promotion.
	OrderPrefix = fleetPrefix + "orders/"
)

const (
	// registrationLife is the lease of a VM's registration. A VM that is gone stays a
	// candidate for homes and limits for this long; others pass over it meanwhile.
	registrationLife = 4 * time.Second
	// renewals in one life of a lease.
	renewals = 3
)

// registration is the value of a VM's key.
type registration struct {
	DataCentre  string         `json:"dataCentre"`
	Region      string         `json:"region"`
	Address     netip.AddrPort `json:"address"`
	Incarnation uint64         `json:"incarnation"`
}

// Register keeps this VM registered until the context ends, and then removes the
// registration.
func (s *Sync) Register(ctx context.Context) {
	var (
		lease uint64
		once  sync.Once
	)
	backoff := s.newBackoff()
	for ctx.Err() == nil {
		var err error
		if lease == 0 {
			lease, err = s.register(ctx)
			if err == nil {
				once.Do(func() { close(s.registered) })
			}
		} else {
			err = s.config.Store.RenewLease(ctx, lease)
		}
		switch {
		case errors.Is(err, ErrLeaseExpired):
			lease = 0
			s.config.Log.Info("The registration has lapsed.")
			continue
		case err != nil:
			s.note(err)
			backoff.sleep(ctx)
			continue
		}
		s.note(nil)
		backoff.reset()
		s.pause(ctx, s.jittered(registrationLife/renewals))
	}
	if lease == 0 {
		return
	}
	last, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.config.Store.RevokeLease(last, lease); err != nil {
		s.config.Log.Info("The registration could not be removed.", "error", err.Error())
	}
}

func (s *Sync) register(ctx context.Context) (uint64, error) {
	self := s.config.View.Self()
	value, err := json.Marshal(registration{
		DataCentre:  self.DataCentre,
		Region:      self.Region,
		Address:     self.Address,
		Incarnation: self.Incarnation,
	})
	if err != nil {
		return 0, eris.Wrap(err, "encode the registration")
	}
	lease, _, err := s.config.Store.GrantLease(ctx, registrationLife)
	if err != nil {
		return 0, err
	}
	_, err = s.config.Store.Commit(ctx, Change{
		Writes: []Write{{
			Key:   vmPrefix + self.Name,
			Value: value,
			Lease: lease,
		}},
	})
	if err != nil {
		return 0, err
	}
	s.config.Log.Info("Registered this VM.", "lease", lease)
	return lease, nil
}

// FollowFleet reads the registrations in intervals until the context ends, while this
// VM reads the store itself. The first read waits for this VM's own registration.
func (s *Sync) FollowFleet(ctx context.Context) {
	first := s.config.Timer.After(placeWait / 2)
	select {
	case <-s.registered:
	case <-first.C():
	case <-ctx.Done():
	}
	first.Stop()
	backoff := s.newBackoff()
	stale := false
	for ctx.Err() == nil {
		if !s.Reads() {
			s.pause(ctx, restInterval)
			continue
		}
		boot := s.config.Timer.SinceBoot()
		items, revision, err := s.config.Store.Range(ctx, fleetPrefix, stale)
		s.note(err)
		if err == nil && stale && s.shown.behind(boot, revision) {
			items, revision, err = s.config.Store.Range(ctx, fleetPrefix, false)
			s.note(err)
		}
		if err != nil {
			backoff.sleep(ctx)
			continue
		}
		backoff.reset()
		s.shown.add(s.config.Timer.SinceBoot(), revision)
		vms := s.decodeFleet(items, revision)
		s.config.View.AcceptVMs(vms, "store")
		// Before this VM sees itself, it waits for its own registration.
		_, stale = vms.ByName[s.config.View.Self().Name]
		s.pause(ctx, s.interval())
	}
}

// decodeFleet passes over entries that cannot be read.
func (s *Sync) decodeFleet(items []Item, revision uint64) *catalog.VMSnapshot {
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
		var r registration
		if err := json.Unmarshal(item.Value, &r); err != nil {
			s.config.Log.Info("A registration cannot be read.", "key", item.Key, "error", err.Error())
			continue
		}
		vms.ByName[name] = catalog.VM{
			Name:        name,
			DataCentre:  r.DataCentre,
			Region:      r.Region,
			Address:     r.Address,
			Incarnation: r.Incarnation,
		}
	}
	return vms
}

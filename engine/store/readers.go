package store

import (
	"math"
	"time"

	"amaranthdock.dev/decision/confsync"
	"amaranthdock.dev/decision/routing"
	"amaranthdock.dev/engine/catalog"
)

const (
	// readersPerRegion is the least number of readers, so that the loss of one delays
	// no news.
	readersPerRegion = 2
	// vmsPerReader of a region. Each VM asks its readers twice a second, so that a
	// reader answers about 40 questions a second in a fleet of any size.
	vmsPerReader = 20
	// relayLimit is the age of the news from the readers, above which a VM reads the
	// store itself. It is more than the 1.5 s between two renewals of a reader's
	// registration, each of which shows that the reader reaches the store, and leaves
	// half of the 4 s in which a configuration has to be in force.
	relayLimit = 2 * time.Second
	// restInterval between two looks whether this VM has to read the store.
	restInterval = 250 * time.Millisecond
	// unknownAge stands for knowledge that the store has never confirmed.
	unknownAge = time.Duration(math.MaxInt64)
)

// Readers returns the other VMs from which this VM learns what the store holds; none
// if this VM is a reader of its region.
func (s *Sync) Readers() []catalog.VM {
	v := s.config.View
	self, vms := v.Self(), v.VMs()
	region := sameRegion(v.Live(), self.Region)
	count := max((len(region)+vmsPerReader-1)/vmsPerReader, readersPerRegion)
	var readers []catalog.VM
	for _, r := range confsync.Watchers(LeaderKey, region, count) {
		if r.Name == self.Name {
			return nil
		}
		readers = append(readers, vms.ByName[r.Name])
	}
	return readers
}

func sameRegion(vms []routing.VM, region string) []routing.VM {
	var found []routing.VM
	for _, vm := range vms {
		if vm.Region == region {
			found = append(found, vm)
		}
	}
	return found
}

// Reads tells whether this VM reads the store itself: as a reader of its region, as
// the leader, until it sees its own registration, and while the readers' news is old.
func (s *Sync) Reads() bool {
	v := s.config.View
	name, vms := v.Self().Name, v.VMs()
	if _, registered := vms.ByName[name]; !registered || vms.Leader == name {
		return true
	}
	return s.since(s.relayed.Load()) > relayLimit || len(s.Readers()) == 0
}

// Relayed records that a reader has told all that the store held at a reading of the
// clock that goes on while the VM is suspended.
func (s *Sync) Relayed(at time.Duration) {
	raise(&s.relayed, int64(at))
}

// Age returns how long ago the store confirmed what this VM knows, to this VM or to
// one that passed it on.
func (s *Sync) Age() time.Duration {
	age := s.since(s.relayed.Load())
	if s.following.Load() && s.lost.Load() == 0 {
		age = min(age, s.since(s.reached.Load()))
	}
	return age
}

// since returns the time since a reading of the clock; unknownAge for 0.
func (s *Sync) since(reading int64) time.Duration {
	if reading == 0 {
		return unknownAge
	}
	return s.config.Timer.Boot() - time.Duration(reading)
}

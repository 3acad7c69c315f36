package store

import (
	"math"
	"slices"
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
	// startStep for each VM of the region, after which the next VMs of the ranking do not
	// wait for the readers of a fleet that has just started. A large configuration that
	// all VMs of a region read at once reaches none of them in time, since the link
	// between regions is shared.
	startStep = 50 * time.Millisecond
	// startLimit bounds that wait.
	startLimit = 6 * time.Second
	// restInterval between two looks whether this VM has to read the store.
	restInterval = 250 * time.Millisecond
	// unknownAge stands for knowledge that the store has never confirmed.
	unknownAge = time.Duration(math.MaxInt64)
)

// ranking returns the live VMs of this VM's region, the readers first, and how many of
// them are readers.
func (s *Sync) ranking() ([]routing.VM, int) {
	v := s.config.View
	region := sameRegion(v.Live(), v.Self().Region)
	count := max((len(region)+vmsPerReader-1)/vmsPerReader, readersPerRegion)
	return confsync.Watchers(LeaderKey, region, len(region)), count
}

// Readers returns the other VMs from which this VM learns what the store holds; none
// if this VM is a reader of its region.
func (s *Sync) Readers() []catalog.VM {
	v := s.config.View
	ranked, count := s.ranking()
	var readers []catalog.VM
	for _, r := range ranked[:min(count, len(ranked))] {
		if r.Name == v.Self().Name {
			return nil
		}
		readers = append(readers, v.VMs().ByName[r.Name])
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
	ranked, count := s.ranking()
	place := slices.IndexFunc(ranked, func(vm routing.VM) bool { return vm.Name == name })
	switch {
	case place < count:
		return true
	case s.relayed.Load() == 0:
		return s.since(s.began) > min(time.Duration(place/count*len(ranked))*startStep, startLimit)
	default:
		return s.since(s.relayed.Load()) > relayLimit
	}
}

// Relayed records that a reader has told all that the store held at a reading of the
// clock that goes on while the VM is suspended, and the configuration up to a revision
// of the store.
func (s *Sync) Relayed(at time.Duration, revision uint64) {
	raise(&s.relayed, int64(at))
	raise(&s.followed, int64(revision))
	if int64(at) >= s.began && s.config.View.Configuration() != nil {
		s.read.Store(true)
	}
}

// Followed returns the revision of the store up to which this VM knows the
// configuration; 0 for none.
func (s *Sync) Followed() uint64 { return uint64(s.followed.Load()) }

// Lacking returns for how long this VM has had no news from the store.
func (s *Sync) Lacking() time.Duration { return min(s.Age(), s.since(s.began)) }

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

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
	// restInterval between two looks whether this VM has to read the store.
	restInterval = 250 * time.Millisecond
	// unknownAge stands for knowledge that the store has never confirmed.
	unknownAge = time.Duration(math.MaxInt64)
)

// ranking returns the live VMs of this VM's region, the readers first.
func (s *Sync) ranking() []routing.VM {
	v := s.config.View
	region := slices.DeleteFunc(v.Live(), func(vm routing.VM) bool { return vm.Region != v.Self().Region })
	return routing.Rank(LeaderKey, region)
}

// Readers returns the other VMs from which this VM learns what the store holds; none
// if this VM is a reader of its region.
func (s *Sync) Readers() []catalog.VM {
	v := s.config.View
	ranked := s.ranking()
	var readers []catalog.VM
	for _, r := range ranked[:min(confsync.ReaderCount(len(ranked)), len(ranked))] {
		if r.Name == v.Self().Name {
			return nil
		}
		readers = append(readers, v.VMs().ByName[r.Name])
	}
	return readers
}

// Reads tells whether this VM reads the store itself.
func (s *Sync) Reads() bool {
	v := s.config.View
	name, vms, ranked := v.Self().Name, v.VMs(), s.ranking()
	_, registered := vms.ByName[name]
	news := s.relayed.Load()
	reading := confsync.SourceInput{
		Registered:       registered,
		IsLeader:         vms.Leader == name,
		Rank:             slices.IndexFunc(ranked, func(vm routing.VM) bool { return vm.Name == name }),
		RegionSize:       len(ranked),
		HasUpdate:        news != 0,
		UpdateAge:        s.since(news),
		Uptime:           s.since(s.began),
		StoreUnreachable: s.lost.Load() != 0,
	}
	source, reads := reading.ChooseSource().(confsync.ReadStore)
	if s.reads.Swap(reads) != reads {
		s.config.Log.Info("Where this VM learns what the store holds has changed.", "readsStore", reads, "reason", source.Reason,
			"place", reading.Rank, "region", reading.RegionSize, "newsAge", reading.UpdateAge.String())
	}
	return reads
}

// RecordReaderUpdate records that a reader has told all that the store held at a reading of the
// clock that goes on while the VM is suspended, and the configuration up to a revision
// of the store.
func (s *Sync) RecordReaderUpdate(at time.Duration, revision uint64) {
	raise(&s.relayed, int64(at))
	raise(&s.followed, int64(revision))
	if int64(at) >= s.began && s.config.View.Configuration() != nil {
		s.read.Store(true)
	}
}

// ConfigurationRevision returns the revision of the store up to which this VM knows the
// configuration; 0 for none.
func (s *Sync) ConfigurationRevision() uint64 { return uint64(s.followed.Load()) }

// SinceLastUpdate returns for how long this VM has had no news from the store.
func (s *Sync) SinceLastUpdate() time.Duration { return min(s.DataAge(), s.since(s.began)) }

// DataAge returns how long ago the store confirmed what this VM knows, to this VM or to
// one that passed it on.
func (s *Sync) DataAge() time.Duration {
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
	return s.config.Timer.SinceBoot() - time.Duration(reading)
}

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
	// readerCheckInterval is how often a VM that does not read the store checks whether
	// it has to.
	readerCheckInterval = 250 * time.Millisecond
	// unknownAge is the age of data that the store has never confirmed.
	unknownAge = time.Duration(math.MaxInt64)
)

// ranking returns the live VMs of this VM's region in rank order. The first of them are
// the readers.
func (s *Syncer) ranking() []routing.VM {
	v := s.config.View
	region := slices.DeleteFunc(v.LiveVMs(), func(vm routing.VM) bool { return vm.Region != v.Self().Region })
	return routing.Rank(LeaderKey, region)
}

// Readers returns the VMs from which this VM obtains the store's data; none if this VM
// is itself a reader of its region.
func (s *Syncer) Readers() []catalog.VM {
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

// ReadsStore reports whether this VM has to read the store itself, and logs a change.
func (s *Syncer) ReadsStore() bool {
	v := s.config.View
	name, vms, ranked := v.Self().Name, v.VMs(), s.ranking()
	_, registered := vms.ByName[name]
	asOf := s.readerDataAsOf.Load()
	input := confsync.SourceInput{
		Registered:       registered,
		IsLeader:         vms.Leader == name,
		Rank:             slices.IndexFunc(ranked, func(vm routing.VM) bool { return vm.Name == name }),
		RegionSize:       len(ranked),
		HasUpdate:        asOf != 0,
		UpdateAge:        s.since(asOf),
		Uptime:           s.since(s.startedAt),
		StoreUnreachable: s.failingSince.Load() != 0,
	}
	source, reads := input.ChooseSource().(confsync.ReadStore)
	if s.readsStore.Swap(reads) != reads {
		s.config.Log.Info("The source of the store's data changed.", "readsStore", reads, "reason", source.Reason,
			"place", input.Rank, "region", input.RegionSize, "newsAge", input.UpdateAge.String())
	}
	return reads
}

// RecordReaderUpdate records that a reader has sent all data that the store held at
// asOf, a reading of SinceBoot, and the configuration up to a revision of the store.
func (s *Syncer) RecordReaderUpdate(asOf time.Duration, revision uint64) {
	storeMax(&s.readerDataAsOf, int64(asOf))
	storeMax(&s.configurationRevision, int64(revision))
	if int64(asOf) >= s.startedAt && s.config.View.Configuration() != nil {
		s.configurationLoaded.Store(true)
	}
}

// ConfigurationRevision returns the store revision up to which this VM knows the
// configuration; 0 for none.
func (s *Syncer) ConfigurationRevision() uint64 { return uint64(s.configurationRevision.Load()) }

// SinceLastUpdate returns the time since this VM last received data from the store,
// directly or from a reader, or since its start if it has received none.
func (s *Syncer) SinceLastUpdate() time.Duration { return min(s.DataAge(), s.since(s.startedAt)) }

// DataAge returns the age of this VM's copy of the store's data: the time since the store
// confirmed it, to this VM or to the reader that sent it.
func (s *Syncer) DataAge() time.Duration {
	age := s.since(s.readerDataAsOf.Load())
	if s.caughtUp.Load() && s.failingSince.Load() == 0 {
		age = min(age, s.since(s.lastContact.Load()))
	}
	return age
}

// since returns the time since a reading of SinceBoot; unknownAge for 0.
func (s *Syncer) since(timestamp int64) time.Duration {
	if timestamp == 0 {
		return unknownAge
	}
	return s.config.Timer.SinceBoot() - time.Duration(timestamp)
}

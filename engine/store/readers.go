package store

import (
	"math"
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

// regionRanking holds the VMs of this VM's region in rank order for one snapshot of the
// registrations. The first live ones are the readers.
type regionRanking struct {
	vms    *catalog.VMSnapshot
	ranked []catalog.VM
}

// ranking returns the VMs of this VM's region in rank order, live or not. VMs with a faster
// link rank first more often: a reader receives whole configurations from the store, where they
// are not compressed, and sends them to 30 VMs. The order is computed once for each change of the
// fleet.
func (s *Syncer) ranking() []catalog.VM {
	v := s.config.View
	vms := v.VMs()
	if cached := s.regionRanking.Load(); cached != nil && cached.vms == vms {
		return cached.ranked
	}
	var candidates []routing.VM
	linkSpeeds := map[string]float64{}
	for name, vm := range vms.ByName {
		if vm.Region == v.Self().Region {
			candidates = append(candidates, routing.VM{Name: name})
			linkSpeeds[name] = vm.Size.LinkMbps
		}
	}
	ranked := make([]catalog.VM, 0, len(candidates))
	for _, r := range routing.RankWeighted(LeaderKey, candidates, linkSpeeds) {
		ranked = append(ranked, vms.ByName[r.Name])
	}
	s.regionRanking.Store(&regionRanking{
		vms:    vms,
		ranked: ranked,
	})
	return ranked
}

// liveRank returns this VM's place among the live VMs of its region, -1 if it is not one of
// them, and their number.
func (s *Syncer) liveRank() (rank, liveCount int) {
	v := s.config.View
	rank = -1
	for _, vm := range s.ranking() {
		if !v.IsAvailable(vm) {
			continue
		}
		if vm.Name == v.Self().Name {
			rank = liveCount
		}
		liveCount++
	}
	return rank, liveCount
}

// Readers returns the VMs from which this VM obtains the store's data; none if this VM
// is itself a reader of its region.
func (s *Syncer) Readers() []catalog.VM {
	v := s.config.View
	rank, liveCount := s.liveRank()
	count := min(confsync.ReaderCount(liveCount), liveCount)
	if rank >= 0 && rank < count {
		return nil
	}
	readers := make([]catalog.VM, 0, count)
	for _, vm := range s.ranking() {
		if len(readers) < count && v.IsAvailable(vm) {
			readers = append(readers, vm)
		}
	}
	return readers
}

// ReadsStore reports whether this VM has to read the store itself, and logs a change.
func (s *Syncer) ReadsStore() bool {
	v := s.config.View
	name, vms := v.Self().Name, v.VMs()
	rank, liveCount := s.liveRank()
	_, registered := vms.ByName[name]
	asOf := s.readerDataAsOf.Load()
	input := confsync.SourceInput{
		Registered:       registered,
		IsSeed:           s.config.IsSeed,
		Spread:           s.spread,
		IsLeader:         vms.Leader == name,
		Rank:             rank,
		RegionSize:       liveCount,
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

// RecordConfigurationRevision records that this VM knows the configuration up to a revision of the
// store, so that it need not read it whole before it watches for the next one.
func (s *Syncer) RecordConfigurationRevision(revision uint64) {
	storeMax(&s.configurationRevision, int64(revision))
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

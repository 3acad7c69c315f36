package confsync

import "time"

const (
	// MinReadersPerRegion is the minimum number of readers in a region, so that the loss of
	// one reader does not delay updates.
	MinReadersPerRegion = 2
	// VMsPerReader is the number of VMs of a region per reader. Each VM polls its readers
	// twice a second, so a reader serves about 60 requests a second in a fleet of any
	// size. At a start it sends each of them all data, over a link of 20 Mbit/s.
	VMsPerReader = 30
	// MaxUpdateAge is the age of the latest update from the readers above which a VM reads
	// the store itself. It is more than the 1.5 s between two renewals of a reader's
	// registration, each of which shows that the reader can reach the store. It leaves
	// half of the 4 s within which a configuration has to become active.
	MaxUpdateAge = 2 * time.Second
	// UpdateAgeSpreadPerVM is added to MaxUpdateAge for each VM that ranks before a VM, at most
	// MaxUpdateAgeSpread in all. With 150 VMs in a region whose readers were slow, all others read the
	// store at the same time and filled the link between regions, so that the readers stayed slow.
	UpdateAgeSpreadPerVM = 20 * time.Millisecond
	// MaxUpdateAgeSpread leaves 2 s until a configuration has to be in force.
	MaxUpdateAgeSpread = 2 * time.Second
	// LapseRetention is how long after an outage of the store a VM whose registration is
	// missing stays in the fleet. The leases of all VMs may expire during the outage, and
	// the VMs register again within one interval between two renewals and the longest
	// delay between two failed calls.
	LapseRetention = 3 * time.Second
	// StartDelayPerVM staggers the VMs of a fleet that has just started, whose readers
	// have not sent an update yet. In the order of their rank, the VMs stop waiting for
	// the readers in groups of as many VMs as there are readers. Each group waits longer
	// than the one before by StartDelayPerVM times the number of VMs in the region. If all
	// VMs of a region read a large configuration from the store at once, none of them
	// gets it in time, since they share the link between regions.
	StartDelayPerVM = 50 * time.Millisecond
	// MaxStartDelay is the longest time that a VM of a small region waits in this way.
	MaxStartDelay = 6 * time.Second
	// MaxStartDelayPerVM is that time for each VM of a large region. With 6 s, 145 of 150 VMs began
	// to read 4 MB at the same time if the readers were slow, and none got it within the 10 s of a
	// call. Meanwhile they request the configuration from VMs of other regions, compressed.
	MaxStartDelayPerVM = 200 * time.Millisecond
	// MinUnknownFleetDelay is the shortest time for which a VM that has just started and does not
	// know the fleet yet leaves the store to others. With 301 VMs and 3,600 routes, all VMs of a
	// region read the configuration over the link between regions at once, none of them got it
	// within the timeout of a call, and all began again.
	MinUnknownFleetDelay = 6 * time.Second
	// MaxUnknownFleetDelay is the longest such time. The VMs draw their times at random.
	MaxUnknownFleetDelay = 30 * time.Second
)

// ReaderCount returns how many VMs of a region of the given size read the store for the
// others.
func ReaderCount(regionSize int) int {
	return max((regionSize+VMsPerReader-1)/VMsPerReader, MinReadersPerRegion)
}

// SourceInput is the input of the decision whether a VM reads the store itself.
type SourceInput struct {
	// Registered is true if the VM is in its own list of the registered VMs.
	Registered bool
	// IsSeed is true if other VMs contact this VM at their start.
	IsSeed bool
	// Spread is a random number from 0 to 1 that the VM draws at its start. It spreads the VMs that
	// read the store because they do not learn the fleet.
	Spread float64
	// IsLeader is true if the VM is the leader, which requests promotions.
	IsLeader bool
	// Rank is the VM's place, from 0, in the ranking of the live VMs of its region, and
	// RegionSize is their number.
	Rank, RegionSize int
	// HasUpdate is true if the VM has received an update from a reader since the
	// process started. UpdateAge is the age of the data in the latest one.
	HasUpdate bool
	UpdateAge time.Duration
	// Uptime is the time since the process started.
	Uptime time.Duration
	// StoreUnreachable is true if the VM's last call of the store failed.
	StoreUnreachable bool
}

// Source is where a VM reads the content of the store from: ReadStore or AskReaders.
type Source interface{ source() }

// ReadStore means that the VM reads the store itself.
type ReadStore struct {
	// Reason is a text for the log.
	Reason string
}

// AskReaders means that the VM gets updates from the readers of its region.
type AskReaders struct{}

func (ReadStore) source()  {}
func (AskReaders) source() {}

// ChooseSource returns where the VM reads the content of the store from.
func (in SourceInput) ChooseSource() Source {
	readers := ReaderCount(in.RegionSize)
	switch {
	case in.HasUpdate && in.StoreUnreachable && !in.IsLeader && (!in.Registered || in.Rank >= readers):
		// The renewals of the VM's registration show when the store responds again. In a
		// large fleet, the VMs would otherwise send more requests during an outage of the
		// store than at any other time. This includes VMs that the store turns away until
		// their registration has expired.
		return AskReaders{}
	case !in.Registered && !in.HasUpdate && !in.IsSeed && in.Uptime < in.unknownFleetDelay():
		return AskReaders{}
	case !in.Registered:
		return ReadStore{Reason: "the VM is not registered"}
	case in.Rank < readers:
		return ReadStore{Reason: "the VM is a reader"}
	case in.IsLeader:
		return ReadStore{Reason: "the VM is the leader"}
	case in.HasUpdate && in.UpdateAge > MaxUpdateAge+min(time.Duration(in.Rank)*UpdateAgeSpreadPerVM, MaxUpdateAgeSpread):
		return ReadStore{Reason: "the latest update from the readers is too old"}
	case !in.HasUpdate && in.Uptime > in.startDelay(readers):
		return ReadStore{Reason: "no update from the readers since the start"}
	default:
		return AskReaders{}
	}
}

// unknownFleetDelay returns how long after its start a VM that does not know the fleet leaves the
// store to the seeds and to the VMs that know that they are readers.
func (in SourceInput) unknownFleetDelay() time.Duration {
	return MinUnknownFleetDelay + time.Duration(in.Spread*float64(MaxUnknownFleetDelay-MinUnknownFleetDelay))
}

// startDelay returns how long after its start a VM waits for the first update from the readers.
func (in SourceInput) startDelay(readers int) time.Duration {
	regionSize := time.Duration(in.RegionSize)
	return min(time.Duration(in.Rank/readers)*regionSize*StartDelayPerVM, max(MaxStartDelay, regionSize*MaxStartDelayPerVM))
}

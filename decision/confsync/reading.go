package confsync

import "time"

const (
	// ReadersPerRegion is the least number of readers, so that the loss of one delays
	// no news.
	ReadersPerRegion = 2
	// VMsPerReader of a region. Each VM asks its readers twice a second, so that a
	// reader answers about 40 questions a second in a fleet of any size.
	VMsPerReader = 20
	// NewsLimit is the age of the news from the readers, above which a VM reads the
	// store itself. It is more than the 1.5 s between two renewals of a reader's
	// registration, each of which shows that the reader reaches the store, and leaves
	// half of the 4 s in which a configuration has to be in force.
	NewsLimit = 2 * time.Second
	// StartStep for each VM of the region, after which the next VMs of the ranking do not
	// wait for the readers of a fleet that has just started. A large configuration that
	// all VMs of a region read at once reaches none of them in time, since the link
	// between regions is shared.
	StartStep = 50 * time.Millisecond
	// StartLimit bounds that wait.
	StartLimit = 6 * time.Second
)

// ReaderCount returns how many VMs of a region read the store for the others.
func ReaderCount(region int) int {
	return max((region+VMsPerReader-1)/VMsPerReader, ReadersPerRegion)
}

// SourceInput is what decides whether a VM reads the store itself.
type SourceInput struct {
	// Registered tells whether the VM sees itself in the fleet.
	Registered bool
	// IsLeader tells whether it orders promotions.
	IsLeader bool
	// Place in the ranking of the region's VMs, from 0, and their number.
	Rank, RegionSize int
	// HasUpdate tells whether a reader has told news since the start of the process, as
	// of NewsAge ago.
	HasUpdate bool
	UpdateAge time.Duration
	Uptime    time.Duration
	// StoreUnreachable tells whether the store did not answer the VM's last call.
	StoreUnreachable bool
}

// Source is ReadStore or AskReaders.
type Source interface{ source() }

// ReadStore has the VM read the store itself.
type ReadStore struct {
	Reason string
}

// AskReaders has the VM ask the readers of its region.
type AskReaders struct{}

func (ReadStore) source()  {}
func (AskReaders) source() {}

// ChooseSource returns where the VM learns what the store holds.
func (r SourceInput) ChooseSource() Source {
	readers := ReaderCount(r.RegionSize)
	switch {
	case !r.Registered:
		return ReadStore{Reason: "the VM is not registered"}
	case r.Rank < readers:
		return ReadStore{Reason: "the VM is a reader"}
	case r.IsLeader:
		return ReadStore{Reason: "the VM leads"}
	case r.HasUpdate && r.StoreUnreachable:
		// The renewals of its registration tell when the store answers again. In an
		// outage, a large fleet would otherwise make its most calls.
		return AskReaders{}
	case r.HasUpdate && r.UpdateAge > NewsLimit:
		return ReadStore{Reason: "the news of the readers is old"}
	case !r.HasUpdate && r.Uptime > min(time.Duration(r.Rank/readers*r.RegionSize)*StartStep, StartLimit):
		return ReadStore{Reason: "the readers have told nothing"}
	default:
		return AskReaders{}
	}
}

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

// Readers returns how many VMs of a region read the store for the others.
func Readers(region int) int {
	return max((region+VMsPerReader-1)/VMsPerReader, ReadersPerRegion)
}

// Reading is what decides whether a VM reads the store itself.
type Reading struct {
	// Registered tells whether the VM sees itself in the fleet.
	Registered bool
	// Leads tells whether it orders promotions.
	Leads bool
	// Place in the ranking of the region's VMs, from 0, and their number.
	Place, Region int
	// NewsKnown tells whether a reader has told news since the start of the process, as
	// of NewsAge ago.
	NewsKnown  bool
	NewsAge    time.Duration
	SinceStart time.Duration
	// Lost tells whether the store did not answer the VM's last call.
	Lost bool
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

// Decide returns where the VM learns what the store holds.
func (r Reading) Decide() Source {
	readers := Readers(r.Region)
	switch {
	case !r.Registered:
		return ReadStore{Reason: "the VM is not registered"}
	case r.Place < readers:
		return ReadStore{Reason: "the VM is a reader"}
	case r.Leads:
		return ReadStore{Reason: "the VM leads"}
	case r.NewsKnown && r.Lost:
		// The renewals of its registration tell when the store answers again. In an
		// outage, a large fleet would otherwise make its most calls.
		return AskReaders{}
	case r.NewsKnown && r.NewsAge > NewsLimit:
		return ReadStore{Reason: "the news of the readers is old"}
	case !r.NewsKnown && r.SinceStart > min(time.Duration(r.Place/readers*r.Region)*StartStep, StartLimit):
		return ReadStore{Reason: "the readers have told nothing"}
	default:
		return AskReaders{}
	}
}

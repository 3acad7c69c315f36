package platform

import (
	"net/netip"
	"sync"
	"time"

	"amaranthdock.dev/timer"
)

// VM is one VM of the VM list.
type VM struct {
	Name        string         `json:"name"`
	DataCentre  string         `json:"dataCentre"`
	PeerAddress netip.AddrPort `json:"peerAddress"`
	Leaving     bool           `json:"leaving,omitempty"`
}

// VMList is a version of the VM list in the format of the admin pages.
type VMList struct {
	VMs []VM `json:"vms"`
	// Immediate makes the list visible without the lag.
	Immediate bool `json:"immediate,omitempty"`
}

// vmList makes each version of the VM list visible after a lag.
type vmList struct {
	timer timer.Service

	mu       sync.Mutex
	lag      time.Duration
	revision uint64
	visible  []VM
	pending  []pendingVersion
}

type pendingVersion struct {
	vms       []VM
	visibleAt time.Time
}

func newVMList(service timer.Service, lag time.Duration) *vmList {
	return &vmList{
		timer: service,
		lag:   lag,
	}
}

func (l *vmList) get() ([]VM, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for len(l.pending) > 0 && !now.Before(l.pending[0].visibleAt) {
		l.visible = l.pending[0].vms
		l.revision++
		l.pending = l.pending[1:]
	}
	return l.visible, l.revision
}

// set replaces the list. An immediate list also discards the versions that are still
// pending.
func (l *vmList) set(list VMList) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if list.Immediate {
		l.pending = nil
		l.visible = list.VMs
		l.revision++
		return
	}
	l.pending = append(l.pending, pendingVersion{
		vms:       list.VMs,
		visibleAt: l.timer.Now().Add(l.lag),
	})
}
